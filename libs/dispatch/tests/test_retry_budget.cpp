#include "dispatch/hedge_delay.h"
#include "dispatch/retry_budget.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace banyancroft;
using namespace banyancroft::dispatch;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };
const RetryLimit limit { 0.2, 10s, 56 };

/** Records the requests and repeats of all VMs and checks them against the definition of the limit, without
 * using the code under test. */
struct Ledger {
    std::vector<TimePoint> requests;
    std::vector<TimePoint> repeats;

    static long within(const std::vector<TimePoint>& times, TimePoint from, TimePoint to)
    {
        return std::count_if(times.begin(), times.end(), [&](TimePoint at) { return at >= from && at < to; });
    }

    /** Largest excess of any window over the limit; not positive when all windows are within it. */
    double excess() const
    {
        double worst = -1e9;
        for (const auto at : repeats) {
            const auto from = at - 10s;
            const double allowed = 0.2 * static_cast<double>(within(requests, from, at)) + 56;
            worst = std::max(worst, static_cast<double>(within(repeats, from, at)) + 1 - allowed);
        }
        return worst;
    }
};

} // namespace

// Worst case: eight VMs with uneven traffic send as many repeats as their budgets permit.
BOOST_AUTO_TEST_CASE(allVmsTogetherStayWithinTheLimitWhenEveryRequestIsRepeated)
{
    constexpr unsigned vms = 8;
    for (const unsigned seed : { 1U, 2U, 3U }) {
        std::mt19937 random(seed);
        std::vector<RetryBudget> budgets(vms, RetryBudget(limit, start));
        Ledger ledger;
        for (auto now = start; now < start + 40s; now += 5ms) {
            // After a gap in the traffic, deposits from before it must have expired.
            const bool quiet = now > start + 15s && now < start + 22s;
            const auto vm = std::min<unsigned>(random() % vms, random() % vms);
            if (!quiet) {
                budgets[vm].deposit(now);
                ledger.requests.push_back(now);
            }
            for (auto& budget : budgets) {
                if (budget.tryWithdraw(now, vms, 0))
                    ledger.repeats.push_back(now);
            }
        }
        BOOST_TEST(ledger.excess() <= 0.0);
        BOOST_TEST(ledger.repeats.size() > 0.1 * static_cast<double>(ledger.requests.size()));
    }
}

// All VMs are killed and restart without knowing what they spent before; the limit must still hold.
BOOST_AUTO_TEST_CASE(restartOfAllVmsStaysWithinTheLimit)
{
    constexpr unsigned vms = 8;
    std::vector<RetryBudget> budgets(vms, RetryBudget(limit, start));
    Ledger ledger;
    std::mt19937 random(4);
    bool restarted = false;
    for (auto now = start; now < start + 30s; now += 5ms) {
        if (now > start + 15s && !restarted) {
            restarted = true;
            budgets.assign(vms, RetryBudget(limit, now));
        }
        budgets[random() % vms].deposit(now);
        ledger.requests.push_back(now);
        for (auto& budget : budgets) {
            if (budget.tryWithdraw(now, vms, 0))
                ledger.repeats.push_back(now);
        }
    }
    BOOST_TEST(ledger.excess() <= 0.0);
}

// Requests that arrive right after a restart may also hit paused replicas and need hedging.
BOOST_AUTO_TEST_CASE(restartedVmMayHedgeAtOnce)
{
    RetryBudget budget(limit, start);
    BOOST_TEST(budget.tryWithdraw(start + 10ms, 8, 0));
}

// A reload that changes the window must neither forget repeats nor count requests of long ago.
BOOST_AUTO_TEST_CASE(changedWindowKeepsRecentCounts)
{
    for (const Duration window : { Duration(2s), Duration(5s), Duration(20s), Duration(60s) }) {
        RetryBudget budget(limit, start);
        const auto now = start + 100s;
        while (budget.tryWithdraw(now, 1, 0)) { }
        auto changed = limit;
        changed.window = window;
        budget.setLimit(changed, now);
        BOOST_TEST(!budget.tryWithdraw(now + 10ms, 1, 0));
        BOOST_TEST(budget.tryWithdraw(now + 2 * window, 1, 0));
    }
}

BOOST_AUTO_TEST_CASE(optionalRepeatsLeaveBudgetForUrgentOnes)
{
    RetryBudget budget(limit, start);
    const auto now = start + 20s;
    unsigned optional = 0;
    while (budget.tryWithdraw(now, 1, 0.4))
        ++optional;
    unsigned urgent = 0;
    while (budget.tryWithdraw(now, 1, 0))
        ++urgent;
    BOOST_TEST(optional >= 10U);
    BOOST_TEST(urgent >= 8U);
}

BOOST_AUTO_TEST_CASE(hedgeDelayIsAboveUsualLatencyAndWithinTheObjective)
{
    LatencyQuantiles latencies;
    BOOST_TEST((hedgeDelay(latencies, 1, 120ms) <= 48ms));
    for (int i = 0; i < 400; ++i)
        latencies.observe(i % 20 == 0 ? 160ms : 10ms + std::chrono::microseconds(i % 10 * 1000));
    const auto early = hedgeDelay(latencies, 1, 120ms);
    const auto late = hedgeDelay(latencies, 0, 120ms);
    BOOST_TEST((early >= 15ms));
    BOOST_TEST((early <= 25ms));
    BOOST_TEST((late > early));
    BOOST_TEST((late <= 48ms));
}

BOOST_AUTO_TEST_CASE(quantilesFollowAChangeOfLatency)
{
    LatencyQuantiles latencies;
    for (int i = 0; i < 2000; ++i)
        latencies.observe(10ms);
    for (int i = 0; i < 2000; ++i)
        latencies.observe(40ms);
    const auto median = latencies.quantile(0.5, 1ms);
    BOOST_TEST((median > 30ms));
    BOOST_TEST((median < 50ms));
    BOOST_TEST((LatencyQuantiles().quantile(0.5, 7ms) == 7ms));
}

// Guards against requests that end early although a surge or the end of the window lets them repeat in time.
BOOST_AUTO_TEST_CASE(earliestRepeatIsALowerBoundInASurge)
{
    for (const double ratio : { 0.0, 0.2 }) {
        auto scripted = limit;
        scripted.ratio = ratio;
        RetryBudget budget(scripted, start);
        auto now = start + 20s;
        while (budget.tryWithdraw(now, 1, 0)) { }
        const auto earliest = budget.earliestRepeat(now, 1);
        BOOST_TEST((earliest > now));
        // 200 requests per second after none.
        for (; !budget.tryWithdraw(now, 1, 0); now += 5ms)
            budget.deposit(now);
        BOOST_TEST((earliest <= now));
    }
    RetryBudget none({ 0, 10s, 0 }, start);
    BOOST_TEST((none.earliestRepeat(start, 1) == TimePoint::max()));
}
