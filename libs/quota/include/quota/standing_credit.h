#pragma once

#include "base/ids.h"
#include "quota/rate_limit.h"

#include <set>
#include <unordered_map>

namespace banyancroft::quota {

/**
 * One request of each customer that a VM may start before the owner of the credit has answered, so that
 * customers within their limit do not wait for the answer.
 *
 * The owner is asked all the same. A grant restores the standing credit; without one it is gone for a window,
 * so all VMs together exceed the limit by one request each. With many VMs, only some have standing credit.
 * Not thread-safe; does no I/O.
 */
class StandingCredit {
public:
    explicit StandingCredit(LimitBounds bounds)
        : bounds_(bounds)
    {
    }

    void setBounds(const LimitBounds& bounds) { bounds_ = bounds; }

    /** @param vms the VMs that share the limit; others have no standing credit */
    bool tryTake(const CustomerId& customer, const RateLimit& limit, const std::set<VmId>& vms,
        const VmId& self, TimePoint now);
    /** The owner has granted credit for the request that was started. */
    void restore(const CustomerId& customer) { takenAt_.erase(customer); }
    void removeExpired(TimePoint now);

private:
    LimitBounds bounds_;
    std::unordered_map<CustomerId, TimePoint> takenAt_;
};

} // namespace banyancroft::quota
