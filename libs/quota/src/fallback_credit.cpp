#include "quota/fallback_credit.h"

#include "quota/shares.h"

#include <algorithm>

namespace banyancroft::quota {

namespace {

/** Fraction of the tolerance that the bursts of all VMs use together, and the most while each has one
 * request. */
constexpr double burstFraction = 0.125;
constexpr double maxBurstFraction = 0.5;
constexpr Duration idleTime = std::chrono::minutes(1);

/** Burst of one VM: an even part, one request at least; with very many VMs, one request for some of them. */
double burstShare(const CustomerId& customer, double tolerated, const std::set<VmId>& vms, const VmId& self)
{
    const auto count = static_cast<double>(vms.size());
    const double most = maxBurstFraction * tolerated;
    if (count <= most)
        return std::max(1.0, burstFraction * tolerated / count);
    return hasWholeShare(customer, most, vms, self) ? 1 : 0;
}

} // namespace

CreditResult FallbackCredit::take(const CustomerId& customer, const RateLimit& limit,
    const std::set<VmId>& vms, const VmId& self, TimePoint now)
{
    if (!vms.contains(self))
        return {};
    const double burst = burstShare(customer, tolerance(limit, bounds_), vms, self);
    if (burst < 1)
        return {};
    auto& account = accounts_.try_emplace(customer, Account { TokenBucket(burst, now), now }).first->second;
    const double perSecond = limit.perSecond / static_cast<double>(vms.size());
    account.bucket.refill(perSecond, burst, now);
    account.usedAt = now;
    if (account.bucket.tryTake())
        return { CreditAnswer::Granted, {} };
    const double seconds = (1 - account.bucket.tokens()) / perSecond;
    return { CreditAnswer::OverLimit,
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, 1.0))) };
}

void FallbackCredit::removeUnused(TimePoint now)
{
    std::erase_if(accounts_, [now](const auto& entry) { return now - entry.second.usedAt >= idleTime; });
}

} // namespace banyancroft::quota
