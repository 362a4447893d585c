#include "scripted_replicas.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::upstreams;
using namespace banyancroft::upstreams::test;
using namespace std::chrono_literals;

namespace {

/** Results of the same scripted load with and without capacity estimates. */
struct Comparison {
    explicit Comparison(const Script& script)
        : leastDelay(run(script, false))
        , capacity(run(script, true))
    {
        BOOST_TEST_MESSAGE("least delay alone: mean " << leastDelay.mean << " ms, p99 " << leastDelay.p99
                                                      << " ms; with capacity: mean " << capacity.mean
                                                      << " ms, p99 " << capacity.p99 << " ms");
    }

    Result leastDelay;
    Result capacity;
};

/** Slowness that changes ten times a second: 4 for a third of the time. */
double fluctuating(std::size_t replica, TimePoint now)
{
    const auto period = static_cast<std::uint64_t>((now - start) / 100ms);
    return (period * 2654435761U + replica * 40503U) % 97 < 32 ? 4 : 1;
}

} // namespace

// Guards against replicas that differ in speed being overloaded or left idle, and against changing their
// order when no latency rises with load and no slowness is reported.
BOOST_AUTO_TEST_CASE(fastAndSlowReplicasAreUsedAsBefore)
{
    Script script { .requestsPerSecond = 900 };
    script.replicas[2].slowness = [](TimePoint) { return 3.0; };
    const Comparison result(script);
    BOOST_TEST(result.capacity.mean <= 1.02 * result.leastDelay.mean);
    BOOST_TEST(result.capacity.p99 <= 1.02 * result.leastDelay.p99);
    const Comparison equal(Script { .requestsPerSecond = 1200 });
    BOOST_TEST((equal.capacity.choices == equal.leastDelay.choices));
}

// Guards against filling all slots of a replica that slows down at half of them.
BOOST_AUTO_TEST_CASE(replicaThatSlowsDownEarlyGetsLess)
{
    Script script { .requestsPerSecond = 1700 };
    script.replicas[0].fullSpeedUpTo = 4;
    const Comparison result(script);
    BOOST_TEST(result.capacity.mean < result.leastDelay.mean);
    BOOST_TEST(result.capacity.p99 < result.leastDelay.p99);
}

// Guards against taking the pile-up during a pause for latency that rises with load.
BOOST_AUTO_TEST_CASE(pausesDoNotReduceTheCapacity)
{
    Script script { .requestsPerSecond = 900 };
    script.replicas[1].slowness = [](TimePoint now) { return (now - start) % 2s < 150ms ? 1e6 : 1.0; };
    const Comparison result(script);
    BOOST_TEST(result.capacity.mean <= 1.02 * result.leastDelay.mean);
    BOOST_TEST(result.capacity.p99 <= 1.02 * result.leastDelay.p99);
}

// Guards against ignoring machines that report that they are slow at the moment.
BOOST_AUTO_TEST_CASE(reportedSlownessIsAvoidedAtOnce)
{
    Script script { .requestsPerSecond = 900 };
    for (std::size_t i = 0; i < script.replicas.size(); ++i) {
        script.replicas[i].slowness = [i](TimePoint now) { return fluctuating(i, now); };
        script.replicas[i].reportsSlowness = true;
    }
    const Comparison result(script);
    BOOST_TEST(result.capacity.mean < 0.95 * result.leastDelay.mean);
    BOOST_TEST(result.capacity.p99 < 0.95 * result.leastDelay.p99);
}

// Guards against believing reports that latency contradicts, and against keeping the last of reports that
// stop.
BOOST_AUTO_TEST_CASE(falseAndMissingReportsDoNoHarm)
{
    using Falsify = decltype(ScriptedReplica::falsify);
    const std::vector<Falsify> cases {
        [](ReportedLoad load, TimePoint now) -> std::optional<ReportedLoad> {
            load.slowness = fluctuating(0, now) * 2;
            return load;
        },
        [](ReportedLoad load, TimePoint now) -> std::optional<ReportedLoad> {
            load.slowness = 8;
            return now > start + 3s ? std::optional<ReportedLoad>() : load;
        },
        [](ReportedLoad, TimePoint) -> std::optional<ReportedLoad> {
            return ReportedLoad { 0, 0, 8 };
        },
        [](ReportedLoad, TimePoint) -> std::optional<ReportedLoad> {
            return ReportedLoad { 8, 0, 8 };
        },
    };
    for (const auto& falsify : cases) {
        for (const double fullSpeedUpTo : { 8.0, 4.0 }) {
            Script script { .requestsPerSecond = 1300 };
            script.replicas[0].fullSpeedUpTo = fullSpeedUpTo;
            script.replicas[0].falsify = falsify;
            const Comparison result(script);
            BOOST_TEST(result.capacity.mean <= 1.02 * result.leastDelay.mean);
            BOOST_TEST(result.capacity.p99 <= 1.05 * result.leastDelay.p99);
        }
    }
}

// Guards against estimates that spiral down when all replicas are slow at once, and stay low afterwards.
BOOST_AUTO_TEST_CASE(slownessOfAllReplicasDoesNotReduceTheCapacity)
{
    Script script { .requestsPerSecond = 600 };
    for (auto& replica : script.replicas)
        replica.slowness = [](TimePoint now) { return now > start + 3s && now < start + 6s ? 3.5 : 1.0; };
    const Comparison result(script);
    BOOST_TEST(result.capacity.mean <= 1.02 * result.leastDelay.mean);
    BOOST_TEST(result.capacity.p99 <= 1.02 * result.leastDelay.p99);
    BOOST_TEST(result.capacity.leastUseful > 4);
    BOOST_TEST(result.capacity.lastUseful > 7);
}

// Guards against an estimate that follows neither the onset nor the end of a slowdown under load within two
// seconds, and against one that stays low when requests end.
BOOST_AUTO_TEST_CASE(estimateFollowsChangesWithinTwoSeconds)
{
    CapacityEstimate estimate;
    auto now = start;
    const auto feed = [&](Duration duration, double usefulConcurrency) {
        const auto end = now + duration;
        for (int i = 0; now < end; now += 5ms, ++i) {
            const double inProgress = i % 7 + 1;
            const double noise = i % 3 == 0 ? 1.2 : 0.9;
            estimate.observe(
                { noise * std::max(1.0, inProgress / usefulConcurrency), inProgress, 1, 8 }, now);
        }
        return estimate.usefulConcurrency(8, now);
    };
    BOOST_TEST(feed(3s, 8) == 8);
    BOOST_TEST(feed(2s, 3) < 4.5);
    BOOST_TEST(feed(2s, 8) > 6.5);
    BOOST_TEST(feed(2s, 1) >= 1);
    BOOST_TEST(estimate.usefulConcurrency(8, now + 20s) > 7.9);
}
