#include "quota/standing_credit.h"

#include "quota/shares.h"

namespace banyancroft::quota {

namespace {

/** Fraction of the tolerance that the standing credit of all VMs may use. */
constexpr double standingFraction = 0.5;

} // namespace

bool StandingCredit::tryTake(const CustomerId& customer, const RateLimit& limit, const std::set<VmId>& vms,
    const VmId& self, TimePoint now)
{
    if (!vms.contains(self)
        || !hasWholeShare(customer, standingFraction * tolerance(limit, bounds_), vms, self))
        return false;
    const auto [taken, isNew] = takenAt_.try_emplace(customer, now);
    if (!isNew && now - taken->second < bounds_.window)
        return false;
    taken->second = now;
    return true;
}

void StandingCredit::removeExpired(TimePoint now)
{
    std::erase_if(takenAt_, [&](const auto& entry) { return now - entry.second >= bounds_.window; });
}

} // namespace banyancroft::quota
