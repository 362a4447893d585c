#include "base/outcome.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace banyancroft;

// Guards against a reason without its own text, for which a caller would find no remedy.
BOOST_AUTO_TEST_CASE(everyReasonHasAUniqueName)
{
    std::set<std::string_view> names;
    std::uint64_t number = 0;
    while (auto reason = reasonFromNumber(number)) {
        BOOST_TEST(names.insert(toString(*reason)).second);
        ++number;
    }
    BOOST_TEST(number == static_cast<std::uint64_t>(Reason::Overloaded) + 1);
}

// A number received from the network must not be converted to an enumerator that does not exist.
BOOST_AUTO_TEST_CASE(numbersOutsideTheEnumerationAreRejected)
{
    BOOST_TEST(!outcomeFromNumber(3).has_value());
    BOOST_TEST(!reasonFromNumber(10'000).has_value());
}
