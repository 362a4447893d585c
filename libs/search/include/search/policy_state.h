#pragma once

#include "base/time.h"
#include "config/document.h"
#include "search/share_budget.h"
#include "search/types.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace banyancroft::search {

/**
 * Running latency distribution of one service and the wait before a hedge that follows from it. Older
 * samples lose weight, so that the quantile follows the service.
 *
 * Owned by a PolicyState.
 */
class HedgePolicy {
public:
    HedgePolicy();
    ~HedgePolicy();
    HedgePolicy(HedgePolicy&&) noexcept;
    HedgePolicy& operator=(HedgePolicy&&) noexcept;

    /** Adds the time from sending a sub-request to its answer, or to its cancellation. */
    void observe(Duration latency);
    /** Sets the quantile, 0 to 1, of the wait. */
    void setQuantile(double quantile);
    /** Wait before a hedge; `fallback` while there are too few samples. */
    Duration delay(Duration fallback) const;
    /** Median latency; `fallback` while there are too few samples. */
    Duration median(Duration fallback) const;
    std::uint64_t samples() const { return samples_; }

private:
    struct Histogram;

    void refresh();
    Duration quantile(double share, double total) const;

    std::unique_ptr<Histogram> histogram_;
    double quantile_ = 0.95;
    std::uint64_t samples_ = 0;
    Duration delay_ {};
    Duration median_ {};
};

/**
 * Policy of the configuration in force, with what was measured to follow it: latency per service and the
 * budgets of hedges, retries and restarts.
 *
 * One per traffic thread, which owns it; not thread-safe.
 */
class PolicyState {
public:
    /** Units that a restart takes from its budget at most, so that large collections can restart. */
    static constexpr std::uint32_t maxRestartCost = 4096;

    explicit PolicyState(const config::Policy& policy = {});

    /** Takes over a new policy; measurements and budgets carry over. */
    void apply(const config::Policy& policy);

    const config::Policy& policy() const { return policy_; }
    HedgePolicy& hedgePolicy(ServiceSlot service);
    /** Wait before a hedge to this service. */
    Duration hedgeDelay(ServiceSlot service);
    /** Time in which an answer of this service can be expected: twice the median. */
    Duration expectedLatency(ServiceSlot service);

    /** Counts sub-requests that are neither hedges nor retries nor part of a restart. */
    void countSubrequests(std::uint64_t count);

    ShareBudget& hedgeBudget() { return hedgeBudget_; }
    ShareBudget& retryBudget() { return retryBudget_; }
    /** Sub-requests of restarted queries. */
    ShareBudget& restartBudget() { return restartBudget_; }
    std::uint64_t subrequests() const { return subrequests_; }

private:
    config::Policy policy_;
    std::vector<HedgePolicy> hedgePolicies_;
    ShareBudget hedgeBudget_;
    ShareBudget retryBudget_;
    ShareBudget restartBudget_;
    std::uint64_t subrequests_ = 0;
};

} // namespace banyancroft::search
