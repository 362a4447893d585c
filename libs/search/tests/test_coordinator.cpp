#include "fixture.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::search;
using namespace banyancroft::search::test;

// A query that waits although everything is answered, or counts a shard without its rows.
BOOST_AUTO_TEST_CASE(CompleteAnswerHasTheRowsOfEveryShard)
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

// An answer at another index version mixed into the rows; a group given up although another upstream serves.
BOOST_AUTO_TEST_CASE(AnswerAtAnotherVersionIsDiscardedAndAskedElsewhere)
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

// A query stuck at a version that a whole group has dropped, or one that keeps rows of the old version.
BOOST_AUTO_TEST_CASE(QueryRestartsOnceAtTheVersionThatAllGroupsServe)
{
    Fixture f(2);
    for (const char* upstream : { "g0-a", "g0-b", "g0-c", "g0-d", "g1-a", "g1-b", "g1-c", "g1-d" })
        f.learn(upstream, 0, false, { { 7 } });
    f.begin();
    auto items = f.sends();
    auto first = Fixture::done(items[0], 7);
    first.servedIndexes = { { 7 }, { 8 } };
    f.reply(first);
    // The other group serves only 8, as one upstream after the other tells.
    std::size_t asked = 0;
    for (auto item = items[1]; item.snapshot.index.value != 8; ++asked) {
        auto refusal = Fixture::refused(item, Reason::IndexVersionMismatch);
        refusal.servedIndexes = { { 8 } };
        f.reply(refusal);
        items = f.sends();
        item = items[0];
    }
    BOOST_TEST(asked == 4U);
    BOOST_REQUIRE(items.size() == 2U);
    for (const auto& item : items)
        f.reply(Fixture::done(item, 8));
    const auto answer = f.search->answer();
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.counters.restarts == 1U);
    BOOST_TEST(answer.rows[0] == "s0@8\n");
}

// A restart that meets more failures than the attempt before it must not make the answer worse.
BOOST_AUTO_TEST_CASE(EarlierAttemptStandsWhenTheRestartCoversLess)
{
    Fixture f(2);
    f.begin();
    auto items = f.sends();
    f.reply(Fixture::done(items[0], 7));
    f.learn("g0-b", 0, false, { { 7 }, { 8 } });
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

// A repartition under a running query: rows of two layouts mixed, or shards of the old one reported.
BOOST_AUTO_TEST_CASE(RepartitionDuringAQueryRestartsItAtTheNewLayout)
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
    const auto again = f.sends();
    for (std::size_t i = again.size() - 3; i < again.size(); ++i)
        f.reply(Fixture::done(again[i], 7, 2));
    const auto answer = f.search->answer();
    BOOST_TEST(answer.complete);
    BOOST_TEST(answer.snapshot.layout.value == 2U);
    BOOST_TEST(answer.coveredShards == 3U);
    BOOST_TEST(answer.rowCount == 3U);
}

// A partial answer that hides what it lacks, one that comes after the deadline, and a partial answer given
// to a caller that asked for all.
BOOST_AUTO_TEST_CASE(AnswerGoesOutBeforeTheDeadlineAndNamesWhatItLacks)
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

// Duplicate, late and foreign replies that add rows twice, or after the answer was decided.
BOOST_AUTO_TEST_CASE(DuplicateLateAndForeignRepliesAreDroppedAndCounted)
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

// A hedge to the zone that is slow already, a loser that goes on working, a loser's reply that counts twice.
BOOST_AUTO_TEST_CASE(HedgeGoesToAnotherZoneAndTheLoserIsCancelled)
{
    Fixture f(1);
    f.begin();
    const auto first = f.sends().front();
    f.timer();
    const auto hedge = f.sends().front();
    BOOST_TEST(hedge.hedge);
    // The zone's second upstream would be slow for the same reason.
    BOOST_TEST(f.zoneOf(first) != f.zoneOf(hedge));
    f.reply(Fixture::done(hedge, 7));
    BOOST_REQUIRE(f.actions.cancels.size() == 1U);
    BOOST_TEST(f.actions.cancels[0].sequence.value == first.sequence.value);
    f.reply(Fixture::done(first, 7));
    BOOST_TEST(f.search->counters().lateReplies == 1U);
    BOOST_TEST(f.search->answer().rowCount == 1U);
}

// A hedge at a quantile that stragglers moved to the deadline would come too late to be answered.
BOOST_AUTO_TEST_CASE(HedgeLeavesTimeForItsAnswer)
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

// Hedges or retries beyond their share, which would double the load of a fleet that is slow already.
BOOST_AUTO_TEST_CASE(HedgesAndRetriesStayWithinTheirBudgets)
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

// A restarted daemon that meets a hand-over would use up its budget on homes without authority, and then
// lack shards that other upstreams serve. Such refusals put no load on upstreams; they are bounded per group.
BOOST_AUTO_TEST_CASE(RefusalsBeforeTheUpstreamAreFreeButBounded)
{
    constexpr unsigned groups = 100;
    Fixture f(groups);
    f.begin();
    for (const auto& item : f.sends())
        f.reply(Fixture::refused(item, Reason::WrongHome), 0ms);
    auto again = f.sends();
    BOOST_TEST(again.size() == groups);
    BOOST_TEST(f.policyState.retryBudget().denied() == 0U);
    unsigned rounds = 1;
    while (!again.empty() && rounds < 100) {
        for (const auto& item : again)
            f.reply(Fixture::refused(item, Reason::WrongHome), 0ms);
        again = f.sends();
        ++rounds;
    }
    BOOST_TEST(rounds <= 16U);
    BOOST_TEST(f.actions.finished);
}

// A retry without a wait would hit an upstream that just refused for overload.
BOOST_AUTO_TEST_CASE(RetryAfterARefusalWaits)
{
    Fixture f(1);
    f.begin();
    f.reply(Fixture::refused(f.sends().front(), Reason::QueueFull));
    BOOST_TEST(f.actions.sends.empty());
    BOOST_TEST((f.search->nextTimer() > f.now && f.search->nextTimer() < f.now + 2ms));
    f.timer();
    BOOST_TEST(f.sends().size() == 1U);
}

// Hedges and retries of a running query that still go to a zone taken out or an upstream that drains.
BOOST_AUTO_TEST_CASE(TakeOutAndDrainDuringAQueryAreFollowed)
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
