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
        "Upstream", "Cold", "Parts", "Lacking", "Leaving", "Authorization", "Customer" };
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

BOOST_AUTO_TEST_CASE(onlySignedSuccessIsResult)
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
    // Without the header of the replica that the request was not executed, it may have run.
    BOOST_TEST((kind(503, Fields {}) == ResponseKind::Failure));
    BOOST_TEST((kind(421, Fields {}) == ResponseKind::Misdirected));
}

// A 503 without the replica's header that the request was not executed must not reach the caller as a 503,
// which would say that the request did not run.
BOOST_AUTO_TEST_CASE(statusImplyingNotExecutedBecomesBadGateway)
{
    const auto dialect = testDialect();
    for (const unsigned status : { 408U, 421U, 429U, 503U }) {
        const auto response = forwardedResponse(head(status, { { "Signature", "s" } }), "text", dialect);
        BOOST_TEST(response.status == 502U);
        // The signature is dropped, since a signed failure must carry the replica's own status.
        BOOST_TEST(fieldOf(response, "Signature").empty());
    }
    const auto own = forwardedResponse(head(500, { { "Signature", "s" } }), "text", dialect);
    BOOST_TEST(own.status == 500U);
    BOOST_TEST(fieldOf(own, "Signature") == "s");
    BOOST_TEST(own.body == "text");
}

BOOST_AUTO_TEST_CASE(resultIsForwardedWithoutInternalHeaders)
{
    const auto response
        = forwardedResponse(head(200,
                                { { "Signature", "s" }, { "Load", "1,2,3" }, { "Upstream", "u" },
                                    { "Connection", "close" }, { "Content-Length", "4" }, { "X", "y" } }),
            "body", testDialect());
    BOOST_TEST(response.fields.size() == 2U);
    BOOST_TEST(fieldOf(response, "X") == "y");
}

BOOST_AUTO_TEST_CASE(gatherResponseListsPartsAndCountsMissingOnes)
{
    const std::string record(16, 'r');
    const std::vector<ShardResult> parts { { "s1", record }, { "", "" }, { "s2", record + record },
        { "s1", record } };
    const auto response = mergeShardResults(parts, 10, testDialect().headers);
    BOOST_TEST(fieldOf(response, "Parts") == "s1, s2");
    // A second part with the same signature counts as missing, not as another part.
    BOOST_TEST(fieldOf(response, "Lacking") == "2");
    BOOST_TEST(response.body.size() == 48U);
}

BOOST_AUTO_TEST_CASE(requiredCoverageIsRoundedUpToWholeParts)
{
    BOOST_TEST(requiredShards(10, 0.89) == 9U);
    BOOST_TEST(requiredShards(15, 0.89) == 14U);
    BOOST_TEST(requiredShards(10, 0.9) == 9U);
    BOOST_TEST(requiredShards(10, 0.75) == 8U);
    BOOST_TEST(requiredShards(36, 1.0) == 36U);
    BOOST_TEST(requiredShards(10, 0.0) == 1U);
}

BOOST_AUTO_TEST_CASE(vmIsReadyWithConfigurationAndRegistrationsUnlessStoppingOrCutOff)
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

// Guards against refusing connections before the load balancer has detected the shutdown.
BOOST_AUTO_TEST_CASE(stoppingVmAcceptsUntilBalancerDetectsShutdownThenDrains)
{
    BOOST_TEST((shutdownPhase(100ms, 6s, 0, {}) == ShutdownPhase::KeepAccepting));
    BOOST_TEST((shutdownPhase(2s, 6s, 0, {}) == ShutdownPhase::KeepAccepting));
    // A connection that was just accepted may still bring a request.
    BOOST_TEST((shutdownPhase(3s, 6s, 2, {}) == ShutdownPhase::AwaitLastRequests));
    BOOST_TEST((shutdownPhase(3s, 6s, 0, {}) == ShutdownPhase::AwaitLastRequests));
    BOOST_TEST((shutdownPhase(3s, 6s, 0, 20ms) == ShutdownPhase::AwaitLastRequests));
    BOOST_TEST((shutdownPhase(3s, 6s, 0, 100ms) == ShutdownPhase::Exit));
    BOOST_TEST((shutdownPhase(3s, 6s, 1, 100ms) == ShutdownPhase::Drain));
    BOOST_TEST((shutdownPhase(5500ms, 6s, 2, 2s) == ShutdownPhase::Exit));
}

BOOST_AUTO_TEST_CASE(vmFailingRequestsWithoutResponsesFromOtherZonesIsCutOff)
{
    ReachTracker reach;
    reach.recordOtherZoneContact(start);
    for (int i = 0; i < 8; ++i)
        reach.recordFailure(start + 500ms + i * 20ms);
    BOOST_TEST(reach.isCutOff(start + 700ms));
    // It stays cut off without traffic, until a replica of another zone responds.
    BOOST_TEST(reach.isCutOff(start + 20s));
    reach.recordOtherZoneContact(start + 21s);
    BOOST_TEST(!reach.isCutOff(start + 21s));
}

// Guards against a VM that stays unready for good after a burst of refusals, since no replica is in another
// zone.
BOOST_AUTO_TEST_CASE(vmWithoutReplicasInOtherZonesIsNotCutOff)
{
    ReachTracker reach;
    for (int i = 0; i < 8; ++i)
        reach.recordFailure(start + 500ms + i * 20ms);
    reach.restart(start + 660ms);
    for (int i = 0; i < 8; ++i)
        reach.recordFailure(start + 2s + i * 20ms);
    BOOST_TEST(!reach.isCutOff(start + 2200ms));
    reach.recordOtherZoneSend(start + 2200ms);
    BOOST_TEST(reach.isCutOff(start + 2210ms));
}

// All replicas of one shard are down, so all VMs fail the same requests and none may become unready.
BOOST_AUTO_TEST_CASE(shardDownInAllZonesIsNotCutOff)
{
    ReachTracker reach;
    for (int i = 0; i < 50; ++i) {
        reach.recordFailure(start + i * 20ms);
        reach.recordOtherZoneContact(start + i * 20ms);
    }
    BOOST_TEST(!reach.isCutOff(start + 1s));
}

BOOST_AUTO_TEST_CASE(vmServingMostRequestsFromItsOwnZoneIsNotCutOff)
{
    ReachTracker reach;
    for (int i = 0; i < 50; ++i)
        i % 3 == 0 ? reach.recordFailure(start + i * 20ms) : reach.recordSuccess(start + i * 20ms);
    BOOST_TEST(!reach.isCutOff(start + 1s));
    BOOST_TEST(!ReachTracker().isCutOff(start));
}

// A zone is cut off while requests are under way: they wait for their deadlines, so none has failed yet.
BOOST_AUTO_TEST_CASE(unansweredSendsToOtherZonesShowSilence)
{
    ReachTracker reach;
    reach.recordOtherZoneContact(start);
    for (int i = 0; i < 7; ++i)
        reach.recordOtherZoneSend(start + 10ms);
    // A few sends may have met paused replicas.
    BOOST_TEST(!reach.areOtherZonesSilent(start + 2s));
    reach.recordOtherZoneSend(start + 20ms);
    BOOST_TEST(!reach.areOtherZonesSilent(start + 300ms));
    BOOST_TEST(reach.areOtherZonesSilent(start + 420ms));
    BOOST_TEST(!reach.isCutOff(start + 420ms));
    reach.setCutOff(start + 420ms);
    BOOST_TEST(reach.isCutOff(start + 430ms));
    reach.recordOtherZoneContact(start + 5s);
    BOOST_TEST(!reach.areOtherZonesSilent(start + 5s));
    BOOST_TEST(!reach.isCutOff(start + 5s));
}

// After a suspension the responses of other zones wait to be read, which is no silence.
BOOST_AUTO_TEST_CASE(stalledVmDoesNotTakeOtherZonesForSilent)
{
    ReachTracker reach;
    for (int i = 0; i < 20; ++i)
        reach.recordOtherZoneSend(start);
    reach.restart(start + 3s);
    BOOST_TEST(!reach.areOtherZonesSilent(start + 3s));
}

BOOST_AUTO_TEST_CASE(callersOfCutOffVmRetryAfterBalancerDetectsIt)
{
    BOOST_TEST((retryDelayAfterCutOff(0ms, 50ms) > 2s));
    BOOST_TEST((retryDelayAfterCutOff(2s, 50ms) < 300ms));
    BOOST_TEST((retryDelayAfterCutOff(10s, 50ms) == 50ms));
}

// Guards against failing all requests of a shard whose only remaining replica refuses requests briefly.
BOOST_AUTO_TEST_CASE(refusedRequestIsRetriedAtSameReplicaLimitedTimes)
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

    // A non-idempotent request whose response was lost is never sent again.
    const std::vector<AttemptPointer> lost { attempt(2, false, start) };
    BOOST_TEST(!nextResendTime(lost, 0, false));
    BOOST_TEST(excludedUpstreams(lost, 0, false).size() == 1U);
    BOOST_TEST((nextResendTime(lost, 0, true) == start + 20ms));
    attempts.push_back(std::make_shared<Attempt>());
    attempts.back()->upstream = std::make_shared<upstreams::Upstream>();
    BOOST_TEST(isOpen(attempts, 0));
    BOOST_TEST(!isOpen(lost, 0));
}

// On a small VM, a response that falls due while the VM sends another request's sub-requests is late. The
// time at which responses are due must leave room for that.
BOOST_AUTO_TEST_CASE(responsesAreDueEarlierOnSmallVm)
{
    ResponseTimingInputs inputs;
    inputs.arrivedAt = start;
    inputs.objective = 80ms;
    inputs.callerDelay = 3ms;
    inputs.shards = 54;
    inputs.processors = 0.12;
    const auto small = partialResponseTime(inputs);
    // Network delay both ways, 3 ms to write, and 540 us of CPU time at an eighth of a core.
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

// Shares of a limit must never add up to more than the whole limit while VMs join and leave.
BOOST_AUTO_TEST_CASE(removedVmCountsForSomeSeconds)
{
    MemberTracker members(VmId("a"));
    BOOST_TEST(members.liveVms(start).size() == 1U);
    members.replaceAll({ { VmId("a"), {} }, { VmId("b"), {} }, { VmId("c"), {} } }, start);
    BOOST_TEST(members.liveVms(start).size() == 3U);
    members.add(VmId("d"), {});
    BOOST_TEST(members.liveVms(start + 1s).size() == 4U);
    members.remove(VmId("b"), start + 2s);
    BOOST_TEST(members.liveVms(start + 3s).size() == 4U);
    BOOST_TEST(members.liveVms(start + 8s).size() == 3U);
    members.add(VmId("b"), {});
    BOOST_TEST(members.liveVms(start + 9s).size() == 4U);
    // The VM counts itself even when its own registration has lapsed.
    members.replaceAll({}, start + 10s);
    BOOST_TEST(members.liveVms(start + 20s).size() == 1U);
}

// When many requests fail at once, the log lines of their steps must not use up the quota for their outcomes.
BOOST_AUTO_TEST_CASE(stepLinesLeaveLogQuotaForOutcomes)
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
    // The limit is a rate, so the quota recovers over time.
    BOOST_TEST(log.availableLines(start + 500ms) == 50);
}
