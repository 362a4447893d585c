#pragma once

#include "base/ids.h"
#include "quota/credit_ledger.h"
#include "quota/rate_limit.h"
#include "quota/token_bucket.h"

#include <set>
#include <unordered_map>

namespace banyancroft::quota {

/**
 * Credit that a VM grants itself while it cannot reach the owner of a customer: an equal share of the rate,
 * which the owner leaves to it by then, and a burst of a few requests from the tolerance of the limit.
 *
 * Not thread-safe; does no I/O.
 */
class FallbackCredit {
public:
    explicit FallbackCredit(LimitBounds bounds)
        : bounds_(bounds)
    {
    }

    void setBounds(const LimitBounds& bounds) { bounds_ = bounds; }

    /** @param vms the VMs that share the limit; a VM that is not among them has no share */
    CreditResult take(const CustomerId& customer, const RateLimit& limit, const std::set<VmId>& vms,
        const VmId& self, TimePoint now);
    void removeUnused(TimePoint now);

private:
    struct Account {
        TokenBucket bucket;
        TimePoint usedAt {};
    };

    LimitBounds bounds_;
    std::unordered_map<CustomerId, Account> accounts_;
};

} // namespace banyancroft::quota
