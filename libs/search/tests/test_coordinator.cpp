#include "fixture.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::search;
using namespace banyancroft::search::test;

// Guards against a query that waits although all groups have answered, or that counts a shard without its
// rows.
BOOST_AUTO_TEST_CASE(completeAnswerContainsTheRowsOfEveryShard)
{
    Fixture f(3);
    f.begin();
    for (const auto& item : f.sends())
        f.reply(Fixture::done(item, 7));
    BOOST_REQUIRE(f.actions.finished);
    const auto answer = f.search->answer();
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.rowCount == 3U);
    BOOST_TEST(answer.coveredShards == 3U);
    BOOST_TEST(answer.snapshot.index.value == 7U);
}

// Guards against rows of different index versions in one answer, and against giving up a group although
// another upstream serves the pinned version.
BOOST_AUTO_TEST_CASE(answerAtAnotherVersionIsDiscardedAndRetriedElsewhere)
{
    Fixture f(2);
    f.begin();
    const auto items = f.sends();
    f.reply(Fixture::done(items[0], 7));
    f.reply(Fixture::done(items[1], 8));
    const auto retries = f.sends();
    BOOST_REQUIRE(retries.size() == 1U);
    BOOST_TEST(*retries[0].upstream != *items[1].upstream);
    BOOST_TEST(retries[0].snapshot.index.value == 7U);
    f.reply(Fixture::done(retries[0], 7));
    const auto answer = f.search->answer();
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.rows[1] == "s1@7\n");
}

// Guards against a query that stays at a version that no upstream of a group serves any more, or that keeps
// rows of the old version.
BOOST_AUTO_TEST_CASE(queryRestartsOnceAtTheVersionServedByAllGroups)
{
    Fixture f(2);
    for (const char* upstream : { "g0-a", "g0-b", "g0-c", "g0-d", "g1-a", "g1-b", "g1-c", "g1-d" })
        f.observeRefusal(upstream, 0, false, { { 7 } });
    f.begin();
    auto items = f.sends();
    auto first = Fixture::done(items[0], 7);
    first.servedIndexes = { { 7 }, { 8 } };
    f.reply(first);
    // Each upstream of the other group refuses the sub-request and reports that it serves only 8.
    std::size_t refusals = 0;
    for (auto item = items[1]; item.snapshot.index.value != 8; ++refusals) {
        auto refusal = Fixture::refused(item, Reason::IndexVersionMismatch);
        refusal.servedIndexes = { { 8 } };
        f.reply(refusal);
        items = f.sends();
        item = items[0];
    }
    BOOST_TEST(refusals == 4U);
    BOOST_REQUIRE(items.size() == 2U);
    for (const auto& item : items)
        f.reply(Fixture::done(item, 8));
    const auto answer = f.search->answer();
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.counters.restarts == 1U);
    BOOST_TEST(answer.rows[0] == "s0@8\n");
}

// A restart that covers fewer shards than the previous attempt must not make the answer worse.
BOOST_AUTO_TEST_CASE(previousAttemptIsUsedWhenTheRestartCoversFewerShards)
{
    Fixture f(2);
    f.begin();
    auto items = f.sends();
    f.reply(Fixture::done(items[0], 7));
    f.observeRefusal("g0-b", 0, false, { { 7 }, { 8 } });
    for (auto item = items[1]; item.snapshot.index.value != 8; item = f.actions.sends.back()) {
        auto refusal = Fixture::refused(item, Reason::IndexVersionMismatch);
        refusal.servedIndexes = { { 8 } };
        f.reply(refusal);
    }
    while (!f.actions.finished)
        f.timer();
    const auto answer = f.search->answer();
    BOOST_TEST(answer.counters.restarts == 1U);
    BOOST_TEST(answer.snapshot.index.value == 7U);
    BOOST_TEST(answer.rows.at(0) == "s0@7\n");
    BOOST_TEST((answer.coverage[1].missingReason == Reason::IndexVersionMismatch));
}

// Guards against an answer that, after a repartition during the query, mixes rows of two layouts or reports
// the shards of the old one.
BOOST_AUTO_TEST_CASE(repartitionDuringAQueryRestartsItAtTheNewLayout)
{
    Fixture f(2);
    f.begin();
    const auto items = f.sends();
    f.reply(Fixture::done(items[0], 7));
    f.configuration = document(3, 2);
    f.cluster.apply(f.configuration, f.now);
    for (auto item = items[1]; item.snapshot.layout.value == 1;) {
        auto refusal = Fixture::refused(item, Reason::LayoutVersionMismatch);
        refusal.servedLayouts = { { 2 } };
        f.reply(refusal);
        item = f.actions.sends.back();
    }
    const auto resent = f.sends();
    for (std::size_t i = resent.size() - 3; i < resent.size(); ++i)
        f.reply(Fixture::done(resent[i], 7, 2));
    const auto answer = f.search->answer();
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.snapshot.layout.value == 2U);
    BOOST_TEST(answer.coveredShards == 3U);
    BOOST_TEST(answer.rowCount == 3U);
}

// Guards against a partial answer that omits its missing shards, that is sent after the deadline, or that
// goes to a caller that requires all shards.
BOOST_AUTO_TEST_CASE(answerIsSentBeforeTheDeadlineAndListsMissingShards)
{
    for (const bool requireAll : { false, true }) {
        Fixture f(2);
        const auto deadline = f.now + 150ms;
        f.begin(150ms, requireAll);
        f.reply(Fixture::done(f.sends()[0], 7));
        while (!f.actions.finished)
            f.timer();
        BOOST_TEST((f.now == deadline - f.configuration.policy.answerReserve));
        const auto answer = f.search->answer();
        BOOST_TEST(!answer.complete);
        BOOST_TEST(answer.coveredShards == 1U);
        BOOST_TEST((answer.coverage[1].missingReason == Reason::DeadlineExceeded));
        BOOST_TEST((answer.refusal == (requireAll ? Reason::DeadlineExceeded : Reason::None)));
        BOOST_TEST(answer.rows.size() == (requireAll ? 0U : 1U));
    }
}

// Guards against duplicate, late or unmatched replies that add rows twice or after the query has finished.
BOOST_AUTO_TEST_CASE(duplicateLateAndUnmatchedRepliesAreDroppedAndCounted)
{
    Fixture f(2);
    f.begin();
    const auto items = f.sends();
    f.reply(Fixture::done(items[0], 7));
    f.reply(Fixture::done(items[0], 7));
    auto foreign = Fixture::done(items[1], 7);
    foreign.upstream = UpstreamId("g0-b");
    f.reply(foreign);
    foreign.sequence = { 1000 };
    f.reply(foreign);
    f.reply(Fixture::refused(items[1], Reason::None, Outcome::NotRun), 200ms);
    f.reply(Fixture::done(items[1], 7));
    BOOST_TEST(f.search->counters().duplicateReplies == 2U);
    BOOST_TEST(f.search->counters().unmatchedReplies == 2U);
    BOOST_TEST(f.search->counters().lateReplies == 1U);
    BOOST_TEST(f.search->answer().rowCount == 1U);
}

// Guards against a hedge to the zone that is already slow, a slower sub-request that is not cancelled, and
// rows that are counted twice because of its late reply.
BOOST_AUTO_TEST_CASE(hedgeIsSentToAnotherZoneAndTheSlowerSubrequestIsCancelled)
{
    Fixture f(1);
    f.begin();
    const auto first = f.sends().front();
    f.timer();
    const auto hedge = f.sends().front();
    BOOST_TEST(hedge.hedge);
    // The second upstream of the same zone is likely to be slow for the same reason.
    BOOST_TEST(f.zoneOf(first) != f.zoneOf(hedge));
    f.reply(Fixture::done(hedge, 7));
    BOOST_REQUIRE(f.actions.cancels.size() == 1U);
    BOOST_TEST(f.actions.cancels[0].sequence.value == first.sequence.value);
    f.reply(Fixture::done(first, 7));
    BOOST_TEST(f.search->counters().lateReplies == 1U);
    BOOST_TEST(f.search->answer().rowCount == 1U);
}

// Stragglers can move the latency quantile close to the deadline; a hedge sent then could not be answered in
// time.
BOOST_AUTO_TEST_CASE(hedgeIsSentEarlyEnoughToBeAnswered)
{
    Fixture f(1);
    for (int i = 0; i < 640; ++i)
        f.policyState.hedgePolicy(0).observe(i % 5 == 0 ? 140ms : 2ms);
    f.begin(150ms);
    f.sends();
    f.timer();
    BOOST_REQUIRE(f.sends().size() == 1U);
    BOOST_TEST((f.search->answerDeadline() - f.now > 3ms));
}

// Hedges and retries beyond their budgets would double the load on upstreams that are already slow.
BOOST_AUTO_TEST_CASE(hedgesAndRetriesStayWithinTheirBudgets)
{
    constexpr unsigned groups = 100;
    Fixture hedging(groups);
    hedging.begin();
    hedging.sends();
    while (!hedging.actions.finished)
        hedging.timer();
    BOOST_TEST(hedging.search->counters().hedges == 16U + groups * 5 / 100);

    Fixture retrying(groups);
    retrying.begin();
    for (const auto& item : retrying.sends())
        retrying.reply(Fixture::refused(item, Reason::UpstreamShed), 0ms);
    while (!retrying.actions.finished)
        retrying.timer();
    BOOST_TEST(retrying.search->counters().retries == 32U + groups * 10 / 100);
    BOOST_TEST(retrying.policyState.retryBudget().denied() > 0U);
}

// A daemon restarted while upstreams change their home would use up its retry budget on homes without
// authority, and then miss shards that other upstreams serve. Such refusals put no load on upstreams, so
// their retries are not charged to the budget but limited per group.
BOOST_AUTO_TEST_CASE(retriesOfRefusalsBeforeTheUpstreamAreNotChargedButLimited)
{
    constexpr unsigned groups = 100;
    Fixture f(groups);
    f.begin();
    for (const auto& item : f.sends())
        f.reply(Fixture::refused(item, Reason::WrongHome), 0ms);
    auto retries = f.sends();
    BOOST_TEST(retries.size() == groups);
    BOOST_TEST(f.policyState.retryBudget().denied() == 0U);
    unsigned rounds = 1;
    while (!retries.empty() && rounds < 100) {
        for (const auto& item : retries)
            f.reply(Fixture::refused(item, Reason::WrongHome), 0ms);
        retries = f.sends();
        ++rounds;
    }
    BOOST_TEST(rounds <= 16U);
    BOOST_TEST(f.actions.finished);
}

// An immediate retry would add load to upstreams that have just refused due to overload.
BOOST_AUTO_TEST_CASE(retryAfterAnOverloadRefusalWaits)
{
    Fixture f(1);
    f.begin();
    f.reply(Fixture::refused(f.sends().front(), Reason::QueueFull));
    BOOST_TEST(f.actions.sends.empty());
    BOOST_TEST((f.search->nextTimer() > f.now && f.search->nextTimer() < f.now + 2ms));
    f.timer();
    BOOST_TEST(f.sends().size() == 1U);
}

// Guards against hedges and retries of a running query to a zone taken out of service or a draining upstream.
BOOST_AUTO_TEST_CASE(zoneOutAndDrainDuringAQueryTakeEffect)
{
    Fixture f(2);
    f.begin();
    const auto items = f.sends();
    f.configuration.zones[1].serving = false;
    f.configuration.services[0].groups[1].upstreams[2].draining = true;
    f.cluster.apply(f.configuration, f.now);
    for (const auto& item : items)
        f.reply(Fixture::refused(item, Reason::UpstreamUnreachable, Outcome::Unknown), 0ms);
    while (!f.actions.finished) {
        for (const auto& item : f.sends()) {
            BOOST_TEST(*item.upstream != UpstreamId("g0-b"));
            BOOST_TEST(*item.upstream != UpstreamId("g1-b"));
            BOOST_TEST(*item.upstream != UpstreamId("g1-c"));
            f.reply(Fixture::refused(item, Reason::QueueFull), 0ms);
        }
        f.timer();
    }
    BOOST_TEST(f.search->counters().retries > 2U);
    BOOST_TEST((f.search->answer().coverage[0].missingReason == Reason::QueueFull));
}
