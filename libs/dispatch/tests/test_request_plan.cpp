#include "dispatch/record_merge.h"
#include "dispatch/request_plan.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <set>
#include <vector>

using namespace banyancroft;
using namespace banyancroft::dispatch;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };

PlanRules gatherRules()
{
    PlanRules rules;
    rules.idempotent = true;
    rules.maxUpstreams = 2;
    rules.shards = 10;
    rules.requiredParts = 9;
    rules.partialAnswerAt = start + 110ms;
    rules.deadline = start + 1190ms;
    return rules;
}

PlanRules singleRules(bool idempotent)
{
    PlanRules rules;
    rules.idempotent = idempotent;
    rules.maxUpstreams = 2;
    rules.deadline = start + 4900ms;
    return rules;
}

RequestPlan planOf(const PlanRules& rules)
{
    return RequestPlan(rules, [](std::size_t) { return Duration(30ms); });
}

/** Reports all due sends as written and returns their shards. */
std::multiset<std::size_t> sendAll(RequestPlan& plan, TimePoint now)
{
    std::multiset<std::size_t> shards;
    for (auto step = plan.next(now); step.kind == StepKind::Send; step = plan.next(now)) {
        plan.sent(step.shard, false, now);
        shards.insert(step.shard);
    }
    return shards;
}

} // namespace

BOOST_AUTO_TEST_CASE(completeAnswerIsSentAtOnce)
{
    auto plan = planOf(gatherRules());
    BOOST_TEST(sendAll(plan, start).size() == 10U);
    for (std::size_t shard = 0; shard < 10; ++shard)
        plan.answered(shard);
    BOOST_TEST((plan.next(start + 20ms).kind == StepKind::Answer));
}

// One of ten shards has a paused replica: the answer to the hedged request completes the request.
BOOST_AUTO_TEST_CASE(lateShardIsHedgedOnce)
{
    auto plan = planOf(gatherRules());
    sendAll(plan, start);
    for (std::size_t shard = 1; shard < 10; ++shard)
        plan.answered(shard);
    const auto wait = plan.next(start + 20ms);
    BOOST_TEST((wait.kind == StepKind::Wait));
    BOOST_TEST((wait.until == start + 30ms));
    const auto hedge = plan.next(start + 30ms);
    BOOST_TEST((hedge.kind == StepKind::Send));
    BOOST_TEST(hedge.shard == 0U);
    BOOST_TEST(hedge.repeat);
    // Nine parts suffice, so the hedge must leave budget for other requests.
    BOOST_TEST(hedge.optional);
    plan.sent(0, false, start + 30ms);
    BOOST_TEST(sendAll(plan, start + 80ms).empty());
    plan.answered(0);
    BOOST_TEST((plan.next(start + 81ms).kind == StepKind::Answer));
}

// An answer after the latency objective loses nine tenths of its value, more than the last part is worth.
BOOST_AUTO_TEST_CASE(partialAnswerIsSentBeforeTheLatencyObjective)
{
    auto plan = planOf(gatherRules());
    sendAll(plan, start);
    for (std::size_t shard = 1; shard < 10; ++shard)
        plan.answered(shard);
    sendAll(plan, start + 40ms);
    BOOST_TEST((plan.next(start + 109ms).kind == StepKind::Wait));
    BOOST_TEST((plan.next(start + 110ms).kind == StepKind::Answer));
}

BOOST_AUTO_TEST_CASE(missingRequiredPartsAreAwaitedAfterTheObjective)
{
    auto plan = planOf(gatherRules());
    sendAll(plan, start);
    for (std::size_t shard = 2; shard < 10; ++shard)
        plan.answered(shard);
    sendAll(plan, start + 40ms);
    BOOST_TEST((plan.next(start + 500ms).kind == StepKind::Wait));
    plan.answered(1);
    BOOST_TEST((plan.next(start + 501ms).kind == StepKind::Answer));
}

BOOST_AUTO_TEST_CASE(requestThatCannotGetRequiredPartsFailsAtOnce)
{
    auto plan = planOf(gatherRules());
    plan.unavailable(3);
    sendAll(plan, start);
    plan.refused(4);
    BOOST_TEST((plan.next(start + 1ms).kind == StepKind::Send));
    plan.sent(4, false, start + 1ms);
    BOOST_TEST((plan.next(start + 1ms).kind == StepKind::Wait));
    plan.refused(4);
    // The maximum number of replicas has refused; the owner decides whether one of them is tried again.
    const auto step = plan.next(start + 2ms);
    BOOST_TEST((step.kind == StepKind::Send));
    BOOST_TEST(step.sameUpstream);
    plan.unavailable(4);
    // Two of ten shards are unavailable and nine parts are required.
    BOOST_TEST((plan.next(start + 2ms).kind == StepKind::Fail));
}

BOOST_AUTO_TEST_CASE(requestThatWasNeverSentIsRefused)
{
    auto plan = planOf(gatherRules());
    plan.unavailable(0);
    plan.unavailable(1);
    BOOST_TEST((plan.next(start).kind == StepKind::Refuse));
    BOOST_TEST(!plan.wasSent());
}

// A refused request did not run, so it is sent to the next replica without delay.
BOOST_AUTO_TEST_CASE(refusedNonIdempotentRequestIsRetriedAtOnce)
{
    auto plan = planOf(singleRules(false));
    BOOST_TEST(sendAll(plan, start).size() == 1U);
    plan.refused(0);
    const auto step = plan.next(start + 1ms);
    BOOST_TEST((step.kind == StepKind::Send));
    BOOST_TEST(step.repeat);
    plan.sent(0, false, start + 1ms);
    plan.refused(0);
    BOOST_TEST(plan.next(start + 2ms).sameUpstream);
    plan.unavailable(0);
    // Both replicas refused, so the request certainly did not run.
    BOOST_TEST((plan.next(start + 2ms).kind == StepKind::Refuse));
}

// A repeated send to the same replica does not count as another replica. No further send is due while it is
// open.
BOOST_AUTO_TEST_CASE(replicaThatRefusedMayReceiveTheRequestAgain)
{
    auto rules = singleRules(false);
    rules.maxUpstreams = 1;
    auto plan = planOf(rules);
    BOOST_TEST(!sendAll(plan, start).empty());
    plan.refused(0);
    plan.blocked(0, start + 20ms);
    BOOST_TEST((plan.next(start + 1ms).kind == StepKind::Wait));
    BOOST_TEST((plan.next(start + 20ms).kind == StepKind::Send));
    BOOST_TEST(plan.next(start + 20ms).repeat);
    plan.sent(0, false, start + 20ms);
    plan.sentToSameUpstream(0);
    BOOST_TEST((plan.next(start + 21ms).kind == StepKind::Wait));
    // The outcome of a non-idempotent request is now unknown, so it must not be sent again.
    plan.failed(0);
    BOOST_TEST((plan.next(start + 22ms).kind == StepKind::Fail));
}

// A shard without another replica is blocked while its send is open. When that send ends without an
// answer, the request must not stay blocked until its deadline.
BOOST_AUTO_TEST_CASE(endOfOpenSendUnblocksTheShard)
{
    const std::vector<std::function<void(RequestPlan&)>> sendEndings {
        [](RequestPlan& plan) { plan.refused(0); },
        [](RequestPlan& plan) { plan.failed(0); },
        [](RequestPlan& plan) { plan.misdirected(0); },
    };
    for (const auto& endSend : sendEndings) {
        auto plan = planOf(singleRules(true));
        BOOST_TEST(!sendAll(plan, start).empty());
        plan.blocked(0, plan.rules().deadline);
        endSend(plan);
        BOOST_TEST((plan.next(start + 1ms).kind == StepKind::Send));
    }
    auto plan = planOf(singleRules(true));
    BOOST_TEST((plan.next(start).kind == StepKind::Send));
    plan.connecting(0, start);
    plan.blocked(0, plan.rules().deadline);
    plan.connectFailed(0);
    BOOST_TEST((plan.next(start + 1ms).kind == StepKind::Send));
}

// Guards against more executions than allowed when a replica that failed a request receives it again.
BOOST_AUTO_TEST_CASE(repeatedSendsToOneReplicaCountAsSeparateRuns)
{
    auto plan = planOf(singleRules(true));
    BOOST_TEST(!sendAll(plan, start).empty());
    plan.failed(0);
    // The only replica may receive the request a second time, which reaches the limit of possible executions.
    BOOST_TEST((plan.next(start + 1ms).kind == StepKind::Send));
    plan.sent(0, false, start + 1ms);
    plan.sentToSameUpstream(0);
    BOOST_TEST((plan.next(start + 900ms).kind != StepKind::Send));
    plan.failed(0);
    BOOST_TEST((plan.next(start + 901ms).kind == StepKind::Fail));
}

// Addresses of removed replicas are reused by others: two stale entries must not make a request fail.
BOOST_AUTO_TEST_CASE(misdirectedSendDoesNotCountAsTriedReplica)
{
    auto plan = planOf(singleRules(false));
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST(sendAll(plan, start + i * 1ms).size() == 1U);
        plan.misdirected(0);
    }
    // The next send still needs retry budget, because the request was sent before.
    const auto step = plan.next(start + 4ms);
    BOOST_TEST((step.kind == StepKind::Send));
    BOOST_TEST(step.repeat);
    plan.sent(0, false, start + 4ms);
    plan.answered(0);
    BOOST_TEST((plan.next(start + 5ms).kind == StepKind::Answer));
}

// A non-idempotent request whose answer was lost may have run and must not run again.
BOOST_AUTO_TEST_CASE(nonIdempotentRequestIsNotRetriedAfterUnknownOutcome)
{
    auto plan = planOf(singleRules(false));
    sendAll(plan, start);
    BOOST_TEST((plan.next(start + 3s).kind == StepKind::Wait));
    plan.failed(0);
    BOOST_TEST((plan.next(start + 3s).kind == StepKind::Fail));

    auto unanswered = planOf(singleRules(false));
    sendAll(unanswered, start);
    BOOST_TEST((unanswered.next(start + 4900ms).kind == StepKind::Fail));
    BOOST_TEST(unanswered.mayHaveRun());
}

BOOST_AUTO_TEST_CASE(idempotentRequestIsRetriedAfterFailure)
{
    auto plan = planOf(singleRules(true));
    sendAll(plan, start);
    plan.failed(0);
    BOOST_TEST(sendAll(plan, start + 5ms).size() == 1U);
    plan.answered(0);
    BOOST_TEST((plan.next(start + 20ms).kind == StepKind::Answer));
}

// When a connection cannot be opened, nothing reached a replica: neither retry budget nor an attempt is used.
BOOST_AUTO_TEST_CASE(failedConnectionDoesNotCountAsSend)
{
    auto plan = planOf(singleRules(false));
    for (int i = 0; i < 5; ++i) {
        const auto step = plan.next(start + i * 1ms);
        BOOST_TEST((step.kind == StepKind::Send));
        BOOST_TEST(!step.repeat);
        plan.connecting(0, start);
        BOOST_TEST((plan.next(start + i * 1ms).kind == StepKind::Wait));
        plan.connectFailed(0);
    }
    BOOST_TEST(!plan.wasSent());
    BOOST_TEST(!plan.mayHaveRun());
}

BOOST_AUTO_TEST_CASE(blockedShardIsRetriedAtItsRetryTime)
{
    auto plan = planOf(singleRules(true));
    plan.blocked(0, start + 3ms);
    const auto wait = plan.next(start);
    BOOST_TEST((wait.kind == StepKind::Wait));
    BOOST_TEST((wait.until == start + 3ms));
    BOOST_TEST((plan.next(start + 3ms).kind == StepKind::Send));
}

BOOST_AUTO_TEST_CASE(newRequestPastItsDeadlineIsRefused)
{
    auto plan = planOf(singleRules(true));
    BOOST_TEST((plan.next(start + 5s).kind == StepKind::Refuse));
}

BOOST_AUTO_TEST_CASE(recordsAreMergedInDescendingByteOrder)
{
    const std::string low(16, '\x01');
    const std::string high(16, '\xff');
    const std::string middle(16, 'm');
    const std::string first = low + high + "short remainder";
    const std::string second = middle + high;
    const std::vector<std::string_view> parts { first, second };
    BOOST_TEST(mergeTopRecords(parts, 3) == high + high + middle);
    BOOST_TEST(mergeTopRecords(parts, 10) == high + high + middle + low);
    BOOST_TEST(mergeTopRecords(parts, 0).empty());
    BOOST_TEST(mergeTopRecords({}, 5).empty());
}
