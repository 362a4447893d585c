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
 * Tracks the latency distribution of one service and derives the hedge delay from it. The weight of older
 * samples decays, so that the quantiles follow changes of the latency.
 *
 * Owned by a PolicyState.
 */
class HedgePolicy {
public:
    HedgePolicy();
    ~HedgePolicy();
    HedgePolicy(HedgePolicy&&) noexcept;
    HedgePolicy& operator=(HedgePolicy&&) noexcept;

    /** Adds a sample: the time from sending a sub-request to its answer or cancellation. */
    void observe(Duration latency);
    /** Sets the latency quantile, between 0 and 1, that serves as hedge delay. */
    void setQuantile(double quantile);
    /** Time to wait before sending a hedge; `fallback` while there are too few samples. */
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
 * Holds the policy of the current configuration and the state needed to apply it: the latency per service and
 * the budgets of hedges, retries and restarts.
 *
 * One instance per traffic thread, which owns it; not thread-safe.
 */
class PolicyState {
public:
    /** Maximum cost of one restart in budget units, so that queries of large collections can restart. */
    static constexpr std::uint32_t maxRestartCost = 4096;

    explicit PolicyState(const config::Policy& policy = {});

    /** Replaces the policy; keeps measurements and budgets. */
    void apply(const config::Policy& policy);

    const config::Policy& policy() const { return policy_; }
    HedgePolicy& hedgePolicy(ServiceSlot service);
    /** Time to wait before sending a hedge to this service. */
    Duration hedgeDelay(ServiceSlot service);
    /** Time within which an answer of this service is expected: twice the median latency. */
    Duration expectedLatency(ServiceSlot service);

    /** Counts regular sub-requests, that is no hedges, retries or restarts; they fill the budgets. */
    void countSubrequests(std::uint64_t count);

    ShareBudget& hedgeBudget() { return hedgeBudget_; }
    ShareBudget& retryBudget() { return retryBudget_; }
    /** Budget for the sub-requests of restarted queries. */
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
