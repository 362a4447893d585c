#include "attempts.h"
#include "gather_response.h"
#include "membership.h"
#include "reach_tracker.h"
#include "readiness.h"
#include "request_log.h"
#include "response_timing.h"
#include "upstream_response.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::gateway;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };

Dialect testDialect()
{
    Dialect dialect;
    dialect.headers = { "Request-Id", "Deadline", "Signature", "Expect", "Load", "Not-Run", "Retry-After",
        "Upstream", "Cold", "Parts", "Lacking" };
    return dialect;
}

http::ResponseHead head(unsigned status, const std::vector<std::pair<std::string, std::string>>& fields)
{
    http::ResponseHead result;
    result.status = status;
    for (const auto& [name, value] : fields)
        result.fields.add(name, value);
    return result;
}

std::string fieldOf(const http::Response& response, std::string_view name)
{
    for (const auto& [key, value] : response.fields) {
        if (key == name)
            return value;
    }
    return "";
}

} // namespace

BOOST_AUTO_TEST_CASE(onlyASignedSuccessIsAResult)
{
    const auto dialect = testDialect();
    const auto kind = [&](unsigned status, const auto& fields) {
        return classifyResponse(head(status, fields), dialect);
    };
    using Fields = std::vector<std::pair<std::string, std::string>>;
    BOOST_TEST((kind(200, Fields { { "Signature", "s" } }) == ResponseKind::Result));
    BOOST_TEST((kind(200, Fields {}) == ResponseKind::Failure));
    BOOST_TEST((kind(200, Fields { { "Signature", "" } }) == ResponseKind::Failure));
    BOOST_TEST((
        kind(200, Fields { { "Signature", "s" }, { "Content-Encoding", "gzip" } }) == ResponseKind::Failure));
    BOOST_TEST((kind(500, Fields { { "Signature", "s" } }) == ResponseKind::Failure));
    BOOST_TEST((kind(503, Fields { { "Not-Run", "1" } }) == ResponseKind::Refused));
    // Without the replica's own word the request may have run.
    BOOST_TEST((kind(503, Fields {}) == ResponseKind::Failure));
    BOOST_TEST((kind(421, Fields {}) == ResponseKind::Misdirected));
}

// A 503 of a replica that gave no promise must not reach the caller as a promise.
BOOST_AUTO_TEST_CASE(aFailureThatWouldPromiseTooMuchBecomesABadGateway)
{
    const auto dialect = testDialect();
    for (const unsigned status : { 408U, 421U, 429U, 503U }) {
        const auto response = forwardedResponse(head(status, { { "Signature", "s" } }), "text", dialect);
        BOOST_TEST(response.status == 502U);
        // A failure with a signature has to bear the replica's own status.
        BOOST_TEST(fieldOf(response, "Signature").empty());
    }
    const auto own = forwardedResponse(head(500, { { "Signature", "s" } }), "text", dialect);
    BOOST_TEST(own.status == 500U);
    BOOST_TEST(fieldOf(own, "Signature") == "s");
    BOOST_TEST(own.body == "text");
}

BOOST_AUTO_TEST_CASE(aResultIsPassedOnWithoutTheGatewaysOwnFields)
{
    const auto response
        = forwardedResponse(head(200,
                                { { "Signature", "s" }, { "Load", "1,2,3" }, { "Upstream", "u" },
                                    { "Connection", "close" }, { "Content-Length", "4" }, { "X", "y" } }),
            "body", testDialect());
    BOOST_TEST(response.fields.size() == 2U);
    BOOST_TEST(fieldOf(response, "X") == "y");
}

BOOST_AUTO_TEST_CASE(aGatherTellsItsPartsAndWhatItLacks)
{
    const std::string record(16, 'r');
    const std::vector<ShardResult> parts { { "s1", record }, { "", "" }, { "s2", record + record },
        { "s1", record } };
    const auto response = mergeShardResults(parts, 10, testDialect().headers);
    BOOST_TEST(fieldOf(response, "Parts") == "s1, s2");
    // The second part with the same signature counts as lacking, not as another part.
    BOOST_TEST(fieldOf(response, "Lacking") == "2");
    BOOST_TEST(response.body.size() == 48U);
}

BOOST_AUTO_TEST_CASE(coverageIsRoundedUpToWholeParts)
{
    BOOST_TEST(requiredShards(10, 0.89) == 9U);
    BOOST_TEST(requiredShards(15, 0.89) == 14U);
    BOOST_TEST(requiredShards(10, 0.9) == 9U);
    BOOST_TEST(requiredShards(10, 0.75) == 8U);
    BOOST_TEST(requiredShards(36, 1.0) == 36U);
    BOOST_TEST(requiredShards(10, 0.0) == 1U);
}

BOOST_AUTO_TEST_CASE(aVmIsReadyOnceItKnowsWhereToSend)
{
    ReadinessInputs inputs;
    BOOST_TEST(!isReady(inputs));
    inputs.hasConfiguration = true;
    BOOST_TEST(!isReady(inputs));
    inputs.hasRegistrations = true;
    BOOST_TEST(isReady(inputs));
    inputs.isCutOff = true;
    BOOST_TEST(!isReady(inputs));
    inputs.isCutOff = false;
    inputs.isStopping = true;
    BOOST_TEST(!isReady(inputs));
}

// Guards against connections that are refused before the balancer has noticed the stop.
BOOST_AUTO_TEST_CASE(aStoppingVmAcceptsUntilTheBalancerHasNoticedAndThenFinishes)
{
    BOOST_TEST((stopStep(100ms, 6s, 0) == StopStep::KeepAccepting));
    BOOST_TEST((stopStep(2s, 6s, 0) == StopStep::KeepAccepting));
    BOOST_TEST((stopStep(3s, 6s, 2) == StopStep::Finish));
    BOOST_TEST((stopStep(3s, 6s, 0) == StopStep::Exit));
    BOOST_TEST((stopStep(5500ms, 6s, 2) == StopStep::Exit));
}

BOOST_AUTO_TEST_CASE(aVmThatFailsItsRequestsAndHearsNoOtherZoneIsCutOff)
{
    ReachTracker reach;
    reach.otherZoneAnswered(start);
    for (int i = 0; i < 8; ++i)
        reach.unserved(start + 500ms + i * 20ms);
    BOOST_TEST(reach.isCutOff(start + 700ms));
    // It stays so without traffic, until a replica of another zone gives a sign.
    BOOST_TEST(reach.isCutOff(start + 20s));
    reach.otherZoneAnswered(start + 21s);
    BOOST_TEST(!reach.isCutOff(start + 21s));
}

// All replicas of one shard are down: every VM fails alike, and none may leave the balancer.
BOOST_AUTO_TEST_CASE(aShardThatIsDownEverywhereIsNoPartition)
{
    ReachTracker reach;
    for (int i = 0; i < 50; ++i) {
        reach.unserved(start + i * 20ms);
        reach.otherZoneAnswered(start + i * 20ms);
    }
    BOOST_TEST(!reach.isCutOff(start + 1s));
}

BOOST_AUTO_TEST_CASE(aVmThatServesFromItsOwnZoneStaysInUse)
{
    ReachTracker reach;
    for (int i = 0; i < 50; ++i)
        i % 3 == 0 ? reach.unserved(start + i * 20ms) : reach.served(start + i * 20ms);
    BOOST_TEST(!reach.isCutOff(start + 1s));
    BOOST_TEST(!ReachTracker().isCutOff(start));
}

BOOST_AUTO_TEST_CASE(callersOfACutOffVmReturnWhenTheBalancerHasNoticed)
{
    BOOST_TEST((returnAfterCutOff(0ms, 50ms) > 2s));
    BOOST_TEST((returnAfterCutOff(2s, 50ms) < 300ms));
    BOOST_TEST((returnAfterCutOff(10s, 50ms) == 50ms));
}

// A shard with one replica left failed every request that this replica refused for a moment.
BOOST_AUTO_TEST_CASE(aReplicaThatRefusedMayGetTheRequestAgainForAWhile)
{
    const auto attempt = [](std::uint64_t number, bool refused, TimePoint endedAt) {
        auto result = std::make_shared<Attempt>();
        result->upstream = std::make_shared<upstreams::Upstream>();
        result->upstream->number = number;
        result->sent = result->ended = true;
        result->wasRefused = refused;
        result->endedAt = endedAt;
        return result;
    };
    std::vector<AttemptPointer> attempts { attempt(1, true, start) };
    BOOST_TEST((nextResendTime(attempts, 0, false) == start + 20ms));
    BOOST_TEST(!nextResendTime(attempts, 1, true));
    BOOST_TEST(triedUpstreams(attempts, 0).size() == 1U);
    BOOST_TEST(excludedUpstreams(attempts, 0, false).empty());
    attempts.push_back(attempt(1, true, start + 25ms));
    attempts.back()->toSameUpstream = true;
    BOOST_TEST((nextResendTime(attempts, 0, false) == start + 65ms));
    for (int i = 0; i < 2; ++i) {
        attempts.push_back(attempt(1, true, start + 70ms));
        attempts.back()->toSameUpstream = true;
    }
    BOOST_TEST(!nextResendTime(attempts, 0, false));

    // A lost answer of a request that may not run twice is never followed by another send.
    const std::vector<AttemptPointer> lost { attempt(2, false, start) };
    BOOST_TEST(!nextResendTime(lost, 0, false));
    BOOST_TEST(excludedUpstreams(lost, 0, false).size() == 1U);
    BOOST_TEST((nextResendTime(lost, 0, true) == start + 20ms));
    attempts.push_back(std::make_shared<Attempt>());
    attempts.back()->upstream = std::make_shared<upstreams::Upstream>();
    BOOST_TEST(isOpen(attempts, 0));
    BOOST_TEST(!isOpen(lost, 0));
}

// Answers that were due left while a small VM was sending another request's sub-requests, and were late.
BOOST_AUTO_TEST_CASE(answersLeaveEarlyEnoughForASmallVm)
{
    ResponseTimingInputs inputs;
    inputs.arrivedAt = start;
    inputs.objective = 80ms;
    inputs.callerDelay = 3ms;
    inputs.shards = 54;
    inputs.processors = 0.12;
    const auto small = partialResponseTime(inputs);
    // Way to the VM and back, 3 ms to write, and 540 us of a core at an eighth of its speed.
    BOOST_TEST((small < start + 80ms - 6ms - 3ms - 4ms));
    BOOST_TEST((small > start + 60ms));
    inputs.openedConnection = true;
    BOOST_TEST((partialResponseTime(inputs) == small - 6ms));
    inputs.openedConnection = false;
    inputs.previousAttemptsTime = 20ms;
    BOOST_TEST((partialResponseTime(inputs) == small - 20ms));
    inputs.previousAttemptsTime = 0ms;
    inputs.processors = 4;
    inputs.shards = 10;
    BOOST_TEST((partialResponseTime(inputs) > start + 70ms));
    BOOST_TEST((responseDelay(inputs) == 9ms));
}

// Shares of a limit must never add up to more than the whole while VMs come and go.
BOOST_AUTO_TEST_CASE(aVmThatLeftCountsForSomeSeconds)
{
    MemberCount members(VmId("a"));
    BOOST_TEST(members.live(start).size() == 1U);
    members.listed({ { VmId("a"), {} }, { VmId("b"), {} }, { VmId("c"), {} } }, start);
    BOOST_TEST(members.live(start).size() == 3U);
    members.joined(VmId("d"), {});
    BOOST_TEST(members.live(start + 1s).size() == 4U);
    members.left(VmId("b"), start + 2s);
    BOOST_TEST(members.live(start + 3s).size() == 4U);
    BOOST_TEST(members.live(start + 8s).size() == 3U);
    members.joined(VmId("b"), {});
    BOOST_TEST(members.live(start + 9s).size() == 4U);
    // The own entry may lapse; the VM still counts itself.
    members.listed({}, start + 10s);
    BOOST_TEST(members.live(start + 20s).size() == 1U);
}

// When many requests fail at once their steps must not use up the lines that tell their ends.
BOOST_AUTO_TEST_CASE(stepsLeaveLogLinesForTheEndsOfRequests)
{
    telemetry::Counter dropped;
    RequestLog log(100, dropped);
    for (int i = 0; i < 500; ++i)
        log.logStep(start, "step", {});
    BOOST_TEST(dropped.value() == 450U);
    for (int i = 0; i < 50; ++i)
        log.logOutcome(start, "end", {});
    BOOST_TEST(dropped.value() == 450U);
    log.logOutcome(start, "end", {});
    BOOST_TEST(dropped.value() == 451U);
    // The bound is a rate: lines come back with time.
    BOOST_TEST(log.availableLines(start + 500ms) == 50);
}
