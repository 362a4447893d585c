#include "claims_world.h"

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

/** Passes calls on, but holds the next swap back and reports it as timed out, as a slow network does. */
class HoldingStore : public store::Store {
public:
    explicit HoldingStore(store::FakeStore& store)
        : store_(store)
    {
    }

    void holdNextSwap() { holdNext_ = true; }
    void deliverHeldSwap()
    {
        store_.compareAndSwap(*held_, [](auto&&...) {});
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
        if (!std::exchange(holdNext_, false))
            return store_.compareAndSwap(std::move(swap), std::move(callback));
        held_ = std::move(swap);
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
    std::optional<store::Swap> held_;
    bool holdNext_ = false;
};

} // namespace

// Two daemons that get the same key must not both run it.
BOOST_AUTO_TEST_CASE(OneOfTwoDaemonsHoldsTheKey)
{
    ClaimsWorld world(2);
    BOOST_TEST((kindOf(world.claim(0, "c-17")) == Kind::Held));
    BOOST_TEST((kindOf(world.claim(1, "c-17")) == Kind::Unknown));
}

// The write took effect but its reply was lost: without reading back, the daemon would refuse a claim that
// blocks the key for everybody, or claim it again elsewhere.
BOOST_AUTO_TEST_CASE(LostReplyIsResolvedByReadingBack)
{
    ClaimsWorld world(2);
    world.store().loseNextResponses(1);
    BOOST_TEST((kindOf(world.claim(0, "c-17")) == Kind::Held));
    BOOST_TEST((kindOf(world.claim(1, "c-17")) == Kind::Unknown));
}

// Without a claim nothing may be sent.
BOOST_AUTO_TEST_CASE(StoreOutageRefuses)
{
    ClaimsWorld world(1);
    world.store().setDown(true);
    const auto answer = world.claim(0, "c-17");
    BOOST_TEST((kindOf(answer) == Kind::Refused));
    BOOST_TEST((answer->reason == Reason::ClaimUnavailable));
}

// A result that was recorded is given again instead of running the request again.
BOOST_AUTO_TEST_CASE(RecordedResultIsRepeated)
{
    ClaimsWorld world(2);
    auto first = world.claim(0, "c-17");
    world.claims(0).finish(*first->held, Outcome::Done, R"({"ok":1})", {});
    world.settle();
    const auto second = world.claim(1, "c-17");
    BOOST_TEST((kindOf(second) == Kind::AlreadyDone));
    BOOST_TEST(second->result == R"({"ok":1})");
}

// NotRun frees the key; Unknown must not, since the request may have run.
BOOST_AUTO_TEST_CASE(OnlyNotRunReleases)
{
    ClaimsWorld world(2);
    auto refused = world.claim(0, "a");
    world.claims(0).finish(*refused->held, Outcome::NotRun, {}, {});
    auto unclear = world.claim(0, "b");
    world.claims(0).finish(*unclear->held, Outcome::Unknown, {}, {});
    world.settle();
    BOOST_TEST((kindOf(world.claim(1, "a")) == Kind::Held));
    BOOST_TEST((kindOf(world.claim(1, "b")) == Kind::Unknown));
}

// A key that is used for other work by mistake must not return the result of the first.
BOOST_AUTO_TEST_CASE(KeyOfOtherWorkIsRejected)
{
    ClaimsWorld world(1);
    world.claim(0, "c-17", R"({"amount":5})");
    BOOST_TEST((kindOf(world.claim(0, "c-17", R"({"amount":6})")) == Kind::Mismatch));
}

// An outcome that cannot be recorded at once is recorded when the store returns.
BOOST_AUTO_TEST_CASE(OutcomeIsRecordedAfterAnOutage)
{
    ClaimsWorld world(2);
    auto held = world.claim(0, "c-17");
    world.store().setDown(true);
    bool recorded = false;
    world.claims(0).finish(*held->held, Outcome::Done, "7", [&recorded] { recorded = true; });
    world.advance(std::chrono::seconds(3));
    BOOST_TEST(!recorded);
    BOOST_TEST(world.claims(0).unrecorded() == 1U);
    world.store().setDown(false);
    world.advance(std::chrono::seconds(10));
    BOOST_TEST(recorded);
    BOOST_TEST(world.claims(0).unrecorded() == 0U);
    BOOST_TEST((kindOf(world.claim(1, "c-17")) == Kind::AlreadyDone));
}

// A write that arrives after its claim was refused blocks the key until it is found and released; in the
// meantime nobody may run the key on the strength of it.
BOOST_AUTO_TEST_CASE(LateWriteOfARefusedClaimIsReleased)
{
    ClaimsWorld world(1);
    HoldingStore holding(world.store());
    std::vector<std::function<void()>> timers;
    std::uint64_t random = 100;
    Claims slow(holding, "claims/",
        { [&world] { return world.now(); },
            [&timers](Duration, std::function<void()> function) { timers.push_back(std::move(function)); },
            [&random] { return ++random; } });
    holding.holdNextSwap();
    std::optional<ClaimAnswer> answer;
    slow.claim(ServiceId("ledger"), IdempotencyKey("c-17"), fingerprintOf("credit", "{}"),
        world.now() + std::chrono::seconds(2), [&answer](ClaimAnswer result) { answer = std::move(result); });
    world.settle();
    BOOST_TEST((kindOf(answer) == Kind::Refused));
    holding.deliverHeldSwap();
    world.settle();
    BOOST_TEST((kindOf(world.claim(0, "c-17")) == Kind::Unknown));
    BOOST_REQUIRE(timers.size() == 1U);
    timers.front()();
    world.settle();
    BOOST_TEST((kindOf(world.claim(0, "c-17")) == Kind::Held));
}

// A damaged record proves nothing, so the request counts as possibly run.
BOOST_AUTO_TEST_CASE(UnreadableRecordIsUnknown)
{
    ClaimsWorld world(1);
    world.store().put("claims/ledger/c-17", "{\"state\":");
    BOOST_TEST((kindOf(world.claim(0, "c-17")) == Kind::Unknown));
}
