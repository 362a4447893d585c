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

TimePoint at(int seconds) { return TimePoint(std::chrono::seconds(seconds)); }

} // namespace

// A store restored from an old copy must not revert the fleet.
BOOST_AUTO_TEST_CASE(OnlyHigherVersionsAreAdopted)
{
    ConfigurationRegistry registry;
    BOOST_TEST((registry.offer(withVersion(3), DocumentSource::Peer, at(1)) == OfferResult::Adopted));
    BOOST_TEST((registry.offer(withVersion(3), DocumentSource::Store, at(2)) == OfferResult::Same));
    BOOST_TEST((registry.offer(withVersion(2), DocumentSource::Peer, at(3)) == OfferResult::Older));
    BOOST_TEST(!registry.storeBehind());
    BOOST_TEST((registry.offer(withVersion(2), DocumentSource::Store, at(4)) == OfferResult::Older));
    BOOST_TEST((registry.offer(withVersion(1), DocumentSource::Store, at(5)) == OfferResult::Older));
    BOOST_TEST((registry.storeBehindSince() == at(4)));
    BOOST_TEST(registry.version().value == 3U);
    BOOST_TEST((registry.adoptedAt() == at(1)));
    BOOST_TEST((registry.offer(withVersion(4), DocumentSource::Store, at(6)) == OfferResult::Adopted));
    BOOST_TEST(!registry.storeBehind());
}

// Two daemons that see two documents of one version in different order must end with the same one.
BOOST_AUTO_TEST_CASE(DivergedDocumentsConverge)
{
    ConfigurationRegistry first;
    ConfigurationRegistry second;
    first.offer(withVersion(3, 3), DocumentSource::Store, at(1));
    second.offer(withVersion(3, 4), DocumentSource::Store, at(1));
    const OfferResult atFirst = first.offer(withVersion(3, 4), DocumentSource::Store, at(2));
    const OfferResult atSecond = second.offer(withVersion(3, 3), DocumentSource::Store, at(2));
    BOOST_TEST((atFirst == OfferResult::DivergedReplaced));
    BOOST_TEST((atSecond == OfferResult::DivergedKept));
    BOOST_TEST(first.text() == second.text());
    BOOST_TEST(first.divergences() == 1U);
    BOOST_TEST(!first.storeBehind());
    BOOST_TEST(second.storeBehind());
}
