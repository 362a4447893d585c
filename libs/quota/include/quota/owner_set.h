#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace banyancroft::quota {

/** Age of a VM's view from which the other VMs may have given its share of the limits to others: its
 * registration has lapsed, and the time for which a removed VM still counts is over. */
constexpr Duration maxShareAge = std::chrono::seconds(7);

/**
 * True if a VM has no share of the limits any more: it has lost contact with the store, and with most of the
 * VMs that share them. The others go on with the whole limit. In an outage of the store all VMs lose contact
 * with it, but not with each other.
 * @param reachable fraction of the VMs sharing the limits that this one can reach, itself included
 */
inline bool isIsolated(Duration viewAge, double reachable)
{
    return viewAge >= maxShareAge && reachable <= 0.5;
}

/**
 * The VMs that hold the credit of customers, and which of them holds that of a customer: its owner, by
 * rendezvous hashing.
 *
 * VMs learn of a change of the registered VMs at different times, up to `viewSkew` apart. So that a customer
 * never has two owners that grant credit:
 * - a VM that has registered is an owner only some time later, when all others have stopped to ask the
 * previous one;
 * - a VM that has become the owner of a customer grants no credit at the full rate for `viewSkew`;
 * - a VM whose first view is young has not seen whose registration had lapsed before, and may rank itself
 * before a VM that is no newcomer to the others. From when such a VM appears until it ranks it like the
 * others, it does not grant credit at the full rate.
 *
 * Not thread-safe; does no I/O.
 */
class OwnerSet {
public:
    /** @param viewSkew longest time between two VMs learning of the same change */
    OwnerSet(VmId self, Duration viewSkew);

    /** Sets the VMs that are registered in this VM's view of the store; call when it changes and regularly.
     */
    void update(const std::set<VmId>& registered, TimePoint now);
    /** This VM's registration had lapsed and was written again, which its view may not show: the others may
     * have seen it as removed, so it is a newcomer. */
    void registeredAgain() { members_.erase(self_); }
    /** This VM was suspended or isolated: what it owned may have another owner by now. Until the next
     * update(), which has to be from a newer view, nobody is an owner. */
    void reset();

    /** The owner of the customer, then the VMs that stand in for it, in this order, for VMs that cannot reach
     * it. If all registrations have lapsed, the VMs that were owners last. */
    std::vector<VmId> ranked(const CustomerId& customer) const;
    /** Empty while no owner is known. */
    std::optional<VmId> owner(const CustomerId& customer) const;
    /** Time from which this VM may grant credit of the customer at the full rate; empty if it is not the
     * owner.
     */
    std::optional<TimePoint> grantsFrom(const CustomerId& customer) const;
    /** Time from which this VM ranks the VMs before itself like the others, as far as it knows now. */
    TimePoint settledFrom(const CustomerId& customer) const;
    /** True if this VM is not an owner yet in its own view, or no more, since it has registered only recently
     * or its registration has lapsed. Others may regard it as an owner nevertheless. */
    bool isNewcomer(TimePoint now) const;

private:
    struct Member {
        TimePoint ownsFrom {};
        /** Time at which the registration ended; TimePoint::max() while it lasts. */
        TimePoint removedAt = TimePoint::max();
        /** Others may have known this VM before its registration lapsed, so it may be an owner to them. */
        bool mayBeKnown = false;
    };
    /** Owners from a point in time on. */
    struct Epoch {
        TimePoint since {};
        std::set<VmId> owners;
    };

    static std::optional<VmId> ownerAmong(const std::set<VmId>& owners, const CustomerId& customer);

    const VmId self_;
    const Duration viewSkew_;
    std::map<VmId, Member> members_;
    /** Oldest first; the last one is in force. */
    std::deque<Epoch> epochs_;
    /** Time from which a VM that appears is a newcomer to all. */
    TimePoint newcomersFrom_ = TimePoint::max();
    bool wasReset_ = false;
};

} // namespace banyancroft::quota
