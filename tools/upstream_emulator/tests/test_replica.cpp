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

// Books that miss an over-limit send would let a daemon that breaks the limit pass.
BOOST_AUTO_TEST_CASE(RequestsBeyondTheLimitAreBookedAndSlow)
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

// A cold start that ends too early would hide sends beyond the cold limit.
BOOST_AUTO_TEST_CASE(ColdStartLastsForItsAnswersAndItsTime)
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
    replica.end(false); // no answer, so it does not count
    BOOST_TEST(replica.cold(start + 1s));
    replica.begin(Replica::RequestKind::Search, start);
    replica.end(true);
    BOOST_TEST(replica.cold(start));
    BOOST_TEST(!replica.cold(start + 1s));
    BOOST_TEST(replica.limit(start + 1s) == 2U);
}

// An answer at a version that nobody asked for would make correct daemons look wrong.
BOOST_AUTO_TEST_CASE(VersionsAreTheOnesAskedFor)
{
    BOOST_TEST(Replica::selectVersion({ 3, 5 }, 0) == 5U);
    BOOST_TEST(Replica::selectVersion({ 3, 5 }, 3) == 3U);
    BOOST_TEST(Replica::selectVersion({ 3, 5 }, 4) == 0U);
    BOOST_TEST(Replica::selectVersion({}, 0) == 0U);
}

// Runs with one seed must be comparable, and a misread setting would measure something else.
BOOST_AUTO_TEST_CASE(ServiceTimesAreSeededAndChecked)
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
