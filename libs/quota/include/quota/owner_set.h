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
 * - a VM that has become the owner of a customer grants no credit for `viewSkew`.
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
     * it. */
    std::vector<VmId> ranked(const CustomerId& customer) const;
    /** Empty while no owner is known. */
    std::optional<VmId> owner(const CustomerId& customer) const;
    /** Time from which this VM may grant credit of the customer; empty if it is not the owner. */
    std::optional<TimePoint> grantsFrom(const CustomerId& customer) const;

private:
    struct Member {
        TimePoint ownsFrom {};
        /** Time at which the registration ended; TimePoint::max() while it lasts. */
        TimePoint removedAt = TimePoint::max();
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
    bool wasReset_ = false;
};

} // namespace banyancroft::quota
