#include "claims_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::claims;
using Kind = ClaimAnswer::Kind;

namespace {

Kind kindOf(const std::optional<ClaimAnswer>& answer)
{
    BOOST_REQUIRE(answer.has_value());
    return answer->kind;
}

/** Forwards calls, but can delay one swap and report it as timed out, as on a slow network. */
class DelayingStore : public store::Store {
public:
    explicit DelayingStore(store::FakeStore& store)
        : store_(store)
    {
    }

    void delayNextSwap() { delayNext_ = true; }
    void deliverDelayedSwap()
    {
        store_.compareAndSwap(*delayedSwap_, [](auto&&...) {});
    }

    void get(std::string_view key, store::Callback<store::Listing> callback) override
    {
        store_.get(key, std::move(callback));
    }
    void list(std::string_view prefix, store::Callback<store::Listing> callback) override
    {
        store_.list(prefix, std::move(callback));
    }
    void compareAndSwap(store::Swap swap, store::Callback<store::SwapResult> callback) override
    {
        if (!std::exchange(delayNext_, false))
            return store_.compareAndSwap(std::move(swap), std::move(callback));
        delayedSwap_ = std::move(swap);
        callback(std::nullopt, { ErrorKind::TimedOut, "no answer", "read back" });
    }
    void grantLease(Duration duration, store::Callback<store::LeaseGrant> callback) override
    {
        store_.grantLease(duration, std::move(callback));
    }
    void renewLease(store::LeaseId lease, store::Callback<store::LeaseGrant> callback) override
    {
        store_.renewLease(lease, std::move(callback));
    }
    void revokeLease(store::LeaseId lease, store::Callback<bool> callback) override
    {
        store_.revokeLease(lease, std::move(callback));
    }
    void watch(std::string_view prefix, store::Revision after,
        std::function<void(std::span<const store::KeyValue>)> onChange,
        std::function<void(const Error&)> onEnd) override
    {
        store_.watch(prefix, after, std::move(onChange), std::move(onEnd));
    }

private:
    store::FakeStore& store_;
    std::optional<store::Swap> delayedSwap_;
    bool delayNext_ = false;
};

} // namespace

// Two daemons that receive the same key must not both send its request.
BOOST_AUTO_TEST_CASE(onlyOneOfTwoDaemonsClaimsAKey)
{
    ClaimsFixture fixture(2);
    BOOST_TEST((kindOf(fixture.claim(0, "c-17")) == Kind::Held));
    BOOST_TEST((kindOf(fixture.claim(1, "c-17")) == Kind::Unknown));
}

// The write took effect but its reply was lost. Without reading back, the daemon would refuse a claim that
// blocks the key for all daemons, or another daemon would claim it again.
BOOST_AUTO_TEST_CASE(lostReplyIsResolvedByReadingTheKeyBack)
{
    ClaimsFixture fixture(2);
    fixture.store().loseNextResponses(1);
    BOOST_TEST((kindOf(fixture.claim(0, "c-17")) == Kind::Held));
    BOOST_TEST((kindOf(fixture.claim(1, "c-17")) == Kind::Unknown));
}

// A request must not be sent without a claim.
BOOST_AUTO_TEST_CASE(claimIsRefusedDuringAStoreOutage)
{
    ClaimsFixture fixture(1);
    fixture.store().setDown(true);
    const auto answer = fixture.claim(0, "c-17");
    BOOST_TEST((kindOf(answer) == Kind::Refused));
    BOOST_TEST((answer->reason == Reason::ClaimUnavailable));
}

// A repeated request returns the recorded result instead of running again.
BOOST_AUTO_TEST_CASE(repeatedRequestReturnsTheRecordedResult)
{
    ClaimsFixture fixture(2);
    auto first = fixture.claim(0, "c-17");
    fixture.claims(0).finish(*first->held, Outcome::Done, R"({"ok":1})", {});
    fixture.runStore();
    const auto second = fixture.claim(1, "c-17");
    BOOST_TEST((kindOf(second) == Kind::AlreadyDone));
    BOOST_TEST(second->result == R"({"ok":1})");
}

// NotRun releases the key; Unknown must not, since the request may have run.
BOOST_AUTO_TEST_CASE(onlyNotRunReleasesTheKey)
{
    ClaimsFixture fixture(2);
    auto refused = fixture.claim(0, "a");
    fixture.claims(0).finish(*refused->held, Outcome::NotRun, {}, {});
    auto unclear = fixture.claim(0, "b");
    fixture.claims(0).finish(*unclear->held, Outcome::Unknown, {}, {});
    fixture.runStore();
    BOOST_TEST((kindOf(fixture.claim(1, "a")) == Kind::Held));
    BOOST_TEST((kindOf(fixture.claim(1, "b")) == Kind::Unknown));
}

// A key that is reused for a different request by mistake must not return the result of the first one.
BOOST_AUTO_TEST_CASE(keyReusedForADifferentPayloadIsRejected)
{
    ClaimsFixture fixture(1);
    fixture.claim(0, "c-17", R"({"amount":5})");
    BOOST_TEST((kindOf(fixture.claim(0, "c-17", R"({"amount":6})")) == Kind::Mismatch));
}

// An outcome that cannot be recorded during an outage is recorded when the store is available again.
BOOST_AUTO_TEST_CASE(outcomeIsRecordedAfterAStoreOutage)
{
    ClaimsFixture fixture(2);
    auto held = fixture.claim(0, "c-17");
    fixture.store().setDown(true);
    bool recorded = false;
    fixture.claims(0).finish(*held->held, Outcome::Done, "7", [&recorded] { recorded = true; });
    fixture.advance(std::chrono::seconds(3));
    BOOST_TEST(!recorded);
    BOOST_TEST(fixture.claims(0).unrecorded() == 1U);
    fixture.store().setDown(false);
    fixture.advance(std::chrono::seconds(10));
    BOOST_TEST(recorded);
    BOOST_TEST(fixture.claims(0).unrecorded() == 0U);
    BOOST_TEST((kindOf(fixture.claim(1, "c-17")) == Kind::AlreadyDone));
}

// A write that reaches the store after its claim was refused blocks the key until it is found and released.
// Until then, no request with the key may run.
BOOST_AUTO_TEST_CASE(lateWriteOfARefusedClaimIsReleased)
{
    ClaimsFixture fixture(1);
    DelayingStore delaying(fixture.store());
    std::vector<std::function<void()>> timers;
    std::uint64_t random = 100;
    Claims slow(delaying, "claims/",
        { [&fixture] { return fixture.now(); },
            [&timers](Duration, std::function<void()> function) { timers.push_back(std::move(function)); },
            [&random] { return ++random; } });
    delaying.delayNextSwap();
    std::optional<ClaimAnswer> answer;
    slow.claim(ServiceId("ledger"), IdempotencyKey("c-17"), fingerprintOf("credit", "{}"),
        fixture.now() + std::chrono::seconds(2),
        [&answer](ClaimAnswer result) { answer = std::move(result); });
    fixture.runStore();
    BOOST_TEST((kindOf(answer) == Kind::Refused));
    delaying.deliverDelayedSwap();
    fixture.runStore();
    BOOST_TEST((kindOf(fixture.claim(0, "c-17")) == Kind::Unknown));
    BOOST_REQUIRE(timers.size() == 1U);
    timers.front()();
    fixture.runStore();
    BOOST_TEST((kindOf(fixture.claim(0, "c-17")) == Kind::Held));
}

// A malformed record does not show what happened, so the request is treated as possibly run.
BOOST_AUTO_TEST_CASE(malformedRecordIsAnsweredAsUnknown)
{
    ClaimsFixture fixture(1);
    fixture.store().put("claims/ledger/c-17", "{\"state\":");
    BOOST_TEST((kindOf(fixture.claim(0, "c-17")) == Kind::Unknown));
}

// A store that returns to an older state loses claims that it had confirmed. A second daemon that gets the
// key right after that must not run its request again, and must find the outcome once it is written back.
BOOST_AUTO_TEST_CASE(claimLostByARestoredStoreIsNotGivenAgain)
{
    ClaimsFixture fixture(2);
    const auto snapshot = fixture.store().snapshot();
    const auto revision = fixture.store().revision();
    auto held = fixture.claim(0, "c-17");
    BOOST_TEST((kindOf(fixture.claim(1, "other")) == Kind::Held));
    fixture.store().restore(snapshot, revision);
    BOOST_TEST((kindOf(fixture.claim(1, "c-17")) == Kind::Refused));
    BOOST_TEST((kindOf(fixture.claim(1, "c-17")) == Kind::Refused));
    fixture.claims(0).finish(*held->held, Outcome::Done, "7", {});
    fixture.advance(std::chrono::seconds(10));
    const auto again = fixture.claim(1, "c-17");
    BOOST_TEST((kindOf(again) == Kind::AlreadyDone));
    BOOST_TEST(again->result == "7");
}

// A daemon that makes no calls of its own must still write its claims back, or the key would be free again
// after the time in which keys are refused.
BOOST_AUTO_TEST_CASE(outcomeLostByARestoredStoreIsWrittenBack)
{
    ClaimsFixture fixture(2);
    const auto snapshot = fixture.store().snapshot();
    const auto revision = fixture.store().revision();
    auto held = fixture.claim(0, "c-17");
    fixture.claims(0).finish(*held->held, Outcome::Done, "7", {});
    fixture.runStore();
    fixture.store().restore(snapshot, revision);
    fixture.claims(0).revisionSeen(fixture.store().revision());
    fixture.runStore();
    BOOST_TEST((kindOf(fixture.claim(0, "other")) == Kind::Refused));
    BOOST_TEST((kindOf(fixture.claim(1, "c-17")) == Kind::AlreadyDone));
    fixture.advance(std::chrono::seconds(10));
    BOOST_TEST((kindOf(fixture.claim(0, "other")) == Kind::Held));
}

// An answer that was overtaken by a newer one has a lower revision too; submits must not be refused for it.
BOOST_AUTO_TEST_CASE(lateAnswerDoesNotCountAsARestore)
{
    ClaimsFixture fixture(1);
    const auto revision = fixture.store().revision();
    fixture.claim(0, "c-17");
    fixture.claims(0).revisionSeen(revision);
    fixture.runStore();
    BOOST_TEST((kindOf(fixture.claim(0, "other")) == Kind::Held));
}

// Other daemons write to a restored store before this one asks it, so its revision may have passed the last
// one that this daemon knew. The daemon must write its claims back nevertheless.
BOOST_AUTO_TEST_CASE(restoreIsNoticedAfterTheRevisionHasRisenAgain)
{
    ClaimsFixture fixture(2);
    const auto snapshot = fixture.store().snapshot();
    const auto revision = fixture.store().revision();
    fixture.claim(0, "c-17");
    fixture.store().restore(snapshot, revision);
    for (const auto* key : { "a", "b", "c" })
        fixture.store().put(key, "");
    fixture.claims(0).revisionSeen(fixture.store().revision());
    fixture.runStore();
    BOOST_TEST((kindOf(fixture.claim(1, "c-17")) == Kind::Unknown));
}
