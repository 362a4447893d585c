#pragma once

#include "base/ids.h"
#include "quota/owner_set.h"
#include "quota/rate_limit.h"
#include "quota/token_bucket.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>

namespace banyancroft::quota {

enum class CreditAnswer {
    /** One request of the customer may run. */
    Granted,
    /** The customer has used up its limit. */
    OverLimit,
    /** This VM does not hold the credit of the customer, or not yet. */
    NotOwner,
};

struct CreditResult {
    CreditAnswer answer = CreditAnswer::NotOwner;
    /** For OverLimit: time until there is credit for one more request of this customer. */
    Duration retryAfter {};
};

/** A request for which credit is asked. */
struct CreditQuery {
    /** The VM that answers. */
    VmId holder;
    /** The VM that runs the request. */
    VmId asker;
    CustomerId customer;
    /** The request can no longer meet its latency objective. It gets credit only while the customer has some
     * left, so that of a customer that is over its limit those requests run that are answered in time. */
    bool isLate = false;
    /** The asker is one of the VMs that share the limit. Another one adds nothing to what a VM grants that
     * only has the shares of its askers. */
    bool hasShare = true;
};

/**
 * The token buckets of the customers that this VM owns.
 *
 * Answers requests that arrive at any VM in any pattern: all of the credit is in one place, so a customer
 * whose whole load meets one VM gets it whole. Not thread-safe; does no I/O.
 */
class CreditLedger {
public:
    explicit CreditLedger(LimitBounds bounds)
        : bounds_(bounds)
    {
    }

    void setBounds(const LimitBounds& bounds) { bounds_ = bounds; }

    /** What this VM can reach at the moment. */
    struct Reach {
        /** Fraction of the VMs that share the limit; the others grant credit from their own share meanwhile.
         */
        double fraction = 1;
        /** Number of VMs that share the limit. */
        std::size_t sharers = 1;
        /** Another VM of the set, if it can be reached. */
        std::function<bool(const VmId&)> isReachable = [](const VmId&) { return true; };
    };

    /**
     * Takes credit for one request.
     *
     * A VM that is not the owner stands in for it while it can reach neither the owner nor the VMs that come
     * before it. So the credit of a side that is cut off from the owner is in one place, too. A VM that has
     * just become the owner has the shares of those VMs that have asked it recently; the others may still ask
     * the previous owner. So has a VM that is a newcomer to itself only, since its registration had lapsed:
     * those that ask it use their shares nowhere else.
     */
    CreditResult take(const CreditQuery& query, const RateLimit& limit, const OwnerSet& owners,
        const Reach& reach, TimePoint now);
    /** A request that had credit has not run. */
    void giveBack(const CustomerId& customer);
    /** Forgets the buckets of customers that this VM no longer owns and of those that have been idle for
     * long. */
    void removeUnused(const OwnerSet& owners, TimePoint now);
    /** Forgets all buckets: this VM was suspended, so their past is unknown. */
    void clear() { accounts_.clear(); }
    std::size_t size() const { return accounts_.size(); }

private:
    struct Account {
        TokenBucket bucket;
        /** Earliest time for which no refused caller has been told to come back. */
        TimePoint nextReturn {};
        TimePoint usedAt {};
        bool isOwned = false;
        /** VMs that have asked while this one could not be sure that nobody asks another VM, with the time of
         * their last question. */
        std::map<VmId, TimePoint> earlyAskers;
    };

    Account& account(const CustomerId& customer, const RateLimit& limit, std::optional<TimePoint> ownedFrom,
        TimePoint now);
    /** Notes a question that arrives while this VM only has the shares of its askers. Each VM brings the one
     * request that it could otherwise use on its own, as far as the starting credit does not cover it.
     * @return fraction of the VMs sharing the limit that have asked recently */
    double addEarlyAsker(Account& account, const CreditQuery& query, const RateLimit& limit,
        std::size_t sharers, TimePoint now);
    Duration nextReturn(Account& account, double perSecond, TimePoint now) const;

    LimitBounds bounds_;
    std::unordered_map<CustomerId, Account> accounts_;
};

} // namespace banyancroft::quota
