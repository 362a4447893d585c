#include "store/fake_store.h"

#include <boost/test/unit_test.hpp>

#include <memory>

using namespace banyancroft;
using namespace banyancroft::store;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    /** Runs a swap and returns the result that its callback received; empty when it has not run. */
    std::optional<SwapResult> swap(const std::string& key, Revision expected, LeaseId lease = {})
    {
        // A delayed callback runs after this call has returned.
        const auto result = std::make_shared<std::optional<SwapResult>>();
        store.compareAndSwap({ key, expected, "x", lease }, [this, result](auto value, const Error& failure) {
            *result = value;
            reason = failure;
        });
        store.run(now);
        return *result;
    }

    FakeStore store;
    TimePoint now { 1h };
    Error reason;
};

} // namespace

// Tests of other libraries rely on these faults; without them they would pass without testing anything.
BOOST_FIXTURE_TEST_CASE(lostResponseKeepsTheWrite, Fixture)
{
    store.loseNextResponses(1);
    BOOST_TEST(!swap("k", {}).has_value());
    BOOST_TEST((reason.kind == ErrorKind::TimedOut));
    BOOST_TEST(store.find("k").has_value());
    const auto refused = swap("k", {});
    BOOST_TEST((!refused->swapped && refused->current));
}

BOOST_FIXTURE_TEST_CASE(callsToDownStoreHaveNoEffectAndWatchesEnd, Fixture)
{
    unsigned ends = 0;
    store.watch(
        "", {}, [](auto) {}, [&](const Error&) { ++ends; });
    store.run(now);
    store.setDown(true);
    BOOST_TEST(!swap("k", {}).has_value());
    BOOST_TEST((reason.kind == ErrorKind::Unavailable));
    BOOST_TEST(!store.find("k").has_value());
    BOOST_TEST(ends == 1U);
}

// Callbacks that run too early would hide races between a call and its answer.
BOOST_FIXTURE_TEST_CASE(delaySeparatesEffectAndCallback, Fixture)
{
    store.setDelay(5s);
    BOOST_TEST(!swap("k", {}).has_value());
    BOOST_TEST(store.find("k").has_value());
    BOOST_TEST(store.runOne(now + 5s));
}

BOOST_FIXTURE_TEST_CASE(lapsedLeaseDeletesItsKeysAndNotifiesWatches, Fixture)
{
    std::optional<LeaseGrant> grant;
    store.grantLease(1500ms, [&](auto value, const Error&) { grant = value; });
    store.run(now);
    BOOST_TEST((grant->timeToLive == 2s));
    std::vector<KeyValue> seen;
    store.watch(
        "m", store.revision(), [&](auto changes) { seen.insert(seen.end(), changes.begin(), changes.end()); },
        [](const Error&) {});
    swap("m", {}, grant->lease);
    store.run(now + 2s);
    BOOST_TEST(!store.find("m").has_value());
    BOOST_REQUIRE(seen.size() == 2U);
    BOOST_TEST(seen[1].modified.value == 0U);
    BOOST_TEST(!swap("m", {}, grant->lease).has_value());
    BOOST_TEST((reason.kind == ErrorKind::NotFound));
}

// The service may be restored from an older state, so tests of other libraries simulate this.
BOOST_FIXTURE_TEST_CASE(restoreBringsOlderValuesBack, Fixture)
{
    store.put("k", "old");
    const auto older = store.snapshot();
    store.put("k", "new");
    store.restore(older);
    BOOST_TEST(store.find("k")->value == "old");
}
