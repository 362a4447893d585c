#include "search/policy_state.h"

namespace banyancroft::search {

namespace {

// Without a burst, small deployments could hardly hedge or retry: one query of 25 groups earns 1.25 hedges.
constexpr double hedgeBurst = 16;
constexpr double retryBurst = 32;
// After an index change all queries in flight restart at the same time: about 8 queries of 350 groups per
// daemon at 146 queries/s and 50 ms per query.
constexpr double restartBurst = PolicyState::maxRestartCost;
constexpr double restartPercent = 10;
// The default deadline divided by this is the hedge delay while there are too few samples.
constexpr int fallbackDelayDivisor = 4;

} // namespace

PolicyState::PolicyState(const config::Policy& policy)
    : policy_(policy)
    , hedgeBudget_(policy.hedgeBudgetPercent, hedgeBurst)
    , retryBudget_(policy.retryBudgetPercent, retryBurst)
    , restartBudget_(restartPercent, restartBurst)
{
    apply(policy);
}

void PolicyState::apply(const config::Policy& policy)
{
    policy_ = policy;
    hedgeBudget_.setPercent(policy.hedgeBudgetPercent);
    retryBudget_.setPercent(policy.retryBudgetPercent);
    for (auto& hedgePolicy : hedgePolicies_)
        hedgePolicy.setQuantile(policy.hedgeQuantile);
}

HedgePolicy& PolicyState::hedgePolicy(ServiceSlot service)
{
    while (hedgePolicies_.size() <= service)
        hedgePolicies_.emplace_back().setQuantile(policy_.hedgeQuantile);
    return hedgePolicies_[service];
}

Duration PolicyState::hedgeDelay(ServiceSlot service)
{
    return hedgePolicy(service).delay(policy_.defaultDeadline / fallbackDelayDivisor);
}

Duration PolicyState::expectedLatency(ServiceSlot service)
{
    return 2 * hedgePolicy(service).median(policy_.defaultDeadline / (2 * fallbackDelayDivisor));
}

void PolicyState::countSubrequests(std::uint64_t count)
{
    subrequests_ += count;
    hedgeBudget_.earn(count);
    retryBudget_.earn(count);
    restartBudget_.earn(count);
}

} // namespace banyancroft::search
