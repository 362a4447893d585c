#include "upstream_emulator/replica.h"
#include "upstream_emulator/service_time.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::tools;
using namespace std::chrono_literals;

namespace {

Replica makeReplica()
{
    Replica::Settings settings;
    settings.id = "u-1";
    settings.slots = 2;
    settings.coldLimit = 1;
    settings.serviceTime = { ServiceTime::Shape::Fixed, 5ms, 0 };
    return Replica(settings);
}

const TimePoint start { 1h };

} // namespace

// If over-limit requests were not counted, a daemon that exceeds the limit would go undetected.
BOOST_AUTO_TEST_CASE(requestsOverTheLimitAreCountedAndSlow)
{
    auto replica = makeReplica();
    BOOST_TEST((replica.begin(Replica::RequestKind::Search, start) == 5ms));
    BOOST_TEST((replica.begin(Replica::RequestKind::Submit, start) == 5ms));
    BOOST_TEST(replica.counters().overLimit == 0U);
    BOOST_TEST((replica.begin(Replica::RequestKind::Search, start) > 5ms));
    BOOST_TEST(replica.counters().overLimit == 1U);
    BOOST_TEST(replica.counters().overColdLimit == 0U);
    BOOST_TEST(replica.counters().maxRunning == 3U);
    replica.end(true);
    replica.end(true);
    replica.begin(Replica::RequestKind::Search, start);
    BOOST_TEST(replica.counters().overLimit == 1U);
}

// If the cold start ended too early, requests over the cold limit would go undetected.
BOOST_AUTO_TEST_CASE(coldStartLastsForItsAnswersAndItsDuration)
{
    auto replica = makeReplica();
    const auto boot = replica.bootId();
    replica.begin(Replica::RequestKind::Search, start);
    replica.restart(2, 1s, start);
    BOOST_TEST(replica.bootId() != boot);
    BOOST_TEST(replica.running() == 0U);
    replica.begin(Replica::RequestKind::Search, start);
    replica.begin(Replica::RequestKind::Search, start);
    BOOST_TEST(replica.counters().overColdLimit == 1U);
    replica.end(true);
    replica.end(false); // unanswered, does not count
    BOOST_TEST(replica.cold(start + 1s));
    replica.begin(Replica::RequestKind::Search, start);
    replica.end(true);
    BOOST_TEST(replica.cold(start));
    BOOST_TEST(!replica.cold(start + 1s));
    BOOST_TEST(replica.limit(start + 1s) == 2U);
}

// An answer at another version than requested would make a correct daemon fail the checks.
BOOST_AUTO_TEST_CASE(answersHaveTheRequestedVersion)
{
    BOOST_TEST(Replica::selectVersion({ 3, 5 }, 0) == 5U);
    BOOST_TEST(Replica::selectVersion({ 3, 5 }, 3) == 3U);
    BOOST_TEST(Replica::selectVersion({ 3, 5 }, 4) == 0U);
    BOOST_TEST(Replica::selectVersion({}, 0) == 0U);
}

// Runs with equal seeds must be comparable, and an invalid setting must not fall back to another
// distribution.
BOOST_AUTO_TEST_CASE(serviceTimesAreDeterministicAndInvalidTextIsRejected)
{
    Error reason;
    const auto parsed = parseServiceTime("lognormal:2.5ms:0.8", reason);
    BOOST_REQUIRE(parsed.has_value());
    std::mt19937_64 one(7);
    std::mt19937_64 two(7);
    for (int count = 0; count < 100; ++count)
        BOOST_TEST((parsed->draw(one) == parsed->draw(two)));
    for (const auto* wrong :
        { "", "fixed", "fixed:5", "fixed:-1ms", "lognormal:5ms", "lognormal:5ms:x", "uniform:5ms" }) {
        reason = {};
        BOOST_TEST(!parseServiceTime(wrong, reason).has_value());
        BOOST_TEST((reason.kind == ErrorKind::InvalidInput));
    }
}
