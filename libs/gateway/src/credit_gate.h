#pragma once

#include "dispatcher_pool.h"
#include "membership.h"
#include "quota/credit_ledger.h"
#include "quota/fallback_credit.h"
#include "quota/owner_set.h"
#include "quota/standing_credit.h"
#include "traffic_manager.h"

#include <functional>
#include <set>

namespace banyancroft::gateway {

/**
 * Decides whether a request of a customer is within the customer's rate limit, which holds over all VMs
 * together.
 *
 * One dispatcher, the owner, holds the credit of a customer and is asked for each request. While it cannot be
 * reached, another one stands in for it; while that does not answer either, this VM uses its own share of the
 * limit. Runs on the thread of the io_context; must outlive its requests.
 */
class CreditGate {
public:
    using Handler = std::function<void(const quota::CreditResult&)>;

    struct Hooks {
        std::function<bool()> isDispatching;
        std::function<bool()> isStopping;
        /** Number of times that this VM's registration has lapsed. */
        std::function<unsigned()> registrationLapses;
        /** Latest time at which this VM's view is known to have matched the store. */
        std::function<TimePoint()> viewCurrentAt;
    };

    CreditGate(TrafficManager& traffic, const MemberTracker& members, Hooks hooks);

    /** Calls the handler with the decision, mostly at once and within some 40 ms at the latest; NotOwner if
     * this VM can neither ask the owner nor has a share of its own. */
    void request(const routing::Customer& customer, bool isLate, TimePoint now, Handler handler);
    /** A request that had credit has not run. */
    void giveBack(const CustomerId& customer);

    /** Answers another VM. */
    handover::CreditReply answer(const handover::CreditRequest& request, TimePoint now);
    void handleReturn(const CustomerId& customer) { ledger_.giveBack(customer); }

    /** Call about every 100 ms, and when members or configuration have changed. */
    void tick(TimePoint now);

private:
    struct Question;

    void ask(const std::shared_ptr<DispatcherLink>& owner, const routing::Customer& customer, bool isLate,
        Handler handler);
    /** Takes credit from this VM's own share. */
    quota::CreditResult takeShare(const CustomerId& customer, const quota::RateLimit& limit, TimePoint now);
    /** Takes credit that this VM holds, as the owner or as a stand-in. */
    quota::CreditResult takeHeld(
        const routing::Customer& customer, const VmId& asker, bool isLate, TimePoint now);
    bool mayHoldCredit(TimePoint now) const;
    /** The first VM, in the order of the customer, that this one can ask. */
    std::optional<VmId> reachableHolder(const CustomerId& customer, TimePoint now) const;
    bool isReachable(const VmId& vm, TimePoint now) const;
    void updateOwners(TimePoint now);
    void updateLinks(TimePoint now);
    /** Fraction of the dispatchers that this VM can reach, itself included. */
    double reachableFraction(TimePoint now) const;
    bool isIsolated(TimePoint now) const;
    bool hasLimits() const;

    TrafficManager& traffic_;
    const MemberTracker& members_;
    const Hooks hooks_;
    /** Longest time between two VMs learning of the same change of the dispatchers. */
    const Duration viewSkew_;
    quota::OwnerSet owners_;
    quota::CreditLedger ledger_;
    quota::FallbackCredit fallback_;
    quota::StandingCredit standing_;
    /** Links to all other dispatchers, while credit may have to be asked for. */
    DispatcherPool links_;
    /** Time at which this VM has stopped to dispatch; empty while it dispatches. */
    std::optional<TimePoint> leftAt_;
    unsigned knownLapses_ = 0;
    TimePoint lastTickAt_ {};
    TimePoint resumedAt_ {};
    TimePoint lastRequestAt_ {};
    TimePoint cleanedAt_ {};
};

} // namespace banyancroft::gateway
