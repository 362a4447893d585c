#include "store/era.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::store;

// Guards against a faulty header that makes a VM take the store for a restored one, or miss a real restore.
BOOST_AUTO_TEST_CASE(invalidErasCountAsKnownEra)
{
    EraTracker eras;
    BOOST_TEST(eras.observe({}, {}).value == 0U);
    BOOST_TEST(eras.observe("2", {}).value == 2U);
    BOOST_TEST(eras.invalidAnswers() == 0U);
    for (const auto stated : { "1", "", "-3", "3.5", "0x3", " 3", "99999999999999999999999" })
        BOOST_TEST(eras.observe(stated, { 2 }).value == 2U, stated);
    BOOST_TEST(eras.observe({}, { 2 }).value == 2U);
    BOOST_TEST(eras.invalidAnswers() == 8U);
    BOOST_TEST((eras.lastProblem().kind == ErrorKind::MalformedMessage));
    BOOST_TEST(eras.current().value == 2U);
    BOOST_TEST(eras.observe("3", { 2 }).value == 3U);
    BOOST_TEST(eras.current().value == 3U);
}

// Guards against an answer of the old era that was on its way during the restore and counts as a new one.
BOOST_AUTO_TEST_CASE(answerOnItsWayKeepsItsEra)
{
    EraTracker eras;
    eras.learn({ 4 });
    BOOST_TEST(eras.observe("3", { 3 }).value == 3U);
    BOOST_TEST(eras.observe({}, {}).value == 0U);
    BOOST_TEST(eras.invalidAnswers() == 0U);
    // Without a valid era, it is not known whether the answer is from before the restore.
    BOOST_TEST(eras.observe("x", { 3 }).value == 3U);
    BOOST_TEST(eras.current().value == 4U);
}
