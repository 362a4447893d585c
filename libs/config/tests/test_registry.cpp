#include "config/registry.h"

#include "example.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::config;

namespace {

Document withVersion(std::uint64_t version, unsigned slots = 3)
{
    Document document = pilakBalik();
    document.version = { version };
    document.services[0].slots = slots;
    return document;
}

TimePoint atSeconds(int seconds) { return TimePoint(std::chrono::seconds(seconds)); }

} // namespace

// Guards against a store that was restored from an old copy and would revert the configuration of all
// daemons.
BOOST_AUTO_TEST_CASE(olderDocumentIsNotAdoptedAndMarksStoreBehind)
{
    ConfigurationRegistry registry;
    BOOST_TEST((registry.offer(withVersion(3), DocumentSource::Peer, atSeconds(1)) == OfferResult::Adopted));
    BOOST_TEST((registry.offer(withVersion(3), DocumentSource::Store, atSeconds(2)) == OfferResult::Same));
    BOOST_TEST((registry.offer(withVersion(2), DocumentSource::Peer, atSeconds(3)) == OfferResult::Older));
    BOOST_TEST(!registry.storeBehind());
    BOOST_TEST((registry.offer(withVersion(2), DocumentSource::Store, atSeconds(4)) == OfferResult::Older));
    BOOST_TEST((registry.offer(withVersion(1), DocumentSource::Store, atSeconds(5)) == OfferResult::Older));
    BOOST_TEST((registry.storeBehindSince() == atSeconds(4)));
    BOOST_TEST(registry.version().value == 3U);
    BOOST_TEST((registry.adoptedAt() == atSeconds(1)));
    BOOST_TEST((registry.offer(withVersion(4), DocumentSource::Store, atSeconds(6)) == OfferResult::Adopted));
    BOOST_TEST(!registry.storeBehind());
}

// Guards against daemons that keep different configurations after they receive two documents with the same
// version in different order.
BOOST_AUTO_TEST_CASE(divergedDocumentsConvergeInEitherOrder)
{
    ConfigurationRegistry first;
    ConfigurationRegistry second;
    first.offer(withVersion(3, 3), DocumentSource::Store, atSeconds(1));
    second.offer(withVersion(3, 4), DocumentSource::Store, atSeconds(1));
    const OfferResult firstResult = first.offer(withVersion(3, 4), DocumentSource::Store, atSeconds(2));
    const OfferResult secondResult = second.offer(withVersion(3, 3), DocumentSource::Store, atSeconds(2));
    BOOST_TEST((firstResult == OfferResult::DivergedReplaced));
    BOOST_TEST((secondResult == OfferResult::DivergedKept));
    BOOST_TEST(first.text() == second.text());
    BOOST_TEST(first.divergences() == 1U);
    BOOST_TEST(!first.storeBehind());
    BOOST_TEST(second.storeBehind());
}
