#include "base/outcome.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace banyancroft;

// A reason without a text of its own would leave a caller without a remedy.
BOOST_AUTO_TEST_CASE(EveryReasonHasItsOwnName)
{
    std::set<std::string_view> names;
    std::uint64_t number = 0;
    while (auto reason = reasonFromNumber(number)) {
        BOOST_TEST(names.insert(toString(*reason)).second);
        ++number;
    }
    BOOST_TEST(number == static_cast<std::uint64_t>(Reason::Overloaded) + 1);
}

// A number from the network outside the enumeration must not become an enumerator.
BOOST_AUTO_TEST_CASE(NumbersOutsideTheEnumerationAreRejected)
{
    BOOST_TEST(!outcomeFromNumber(3).has_value());
    BOOST_TEST(!reasonFromNumber(10'000).has_value());
}
