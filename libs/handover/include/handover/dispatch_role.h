#pragma once

#include "base/time.h"

#include <cstddef>

namespace banyancroft::handover {

/** Size and timing of the dispatch tier of an availability zone. */
struct RoleRules {
    /** Dispatchers that an availability zone has, whatever its load. */
    std::size_t minDispatchers = 2;
    /** Time within which a registration is visible to all VMs. */
    Duration visibilityDelay {};
};

/** What a VM knows when it decides on its role. */
struct RoleInputs {
    /** Processor cores of this VM; may be fractional. */
    double processors = 1;
    /** Other registered dispatchers of the availability zone. */
    std::size_t others = 0;
    /** Of these, the ones with more than half of this VM's processors. */
    std::size_t comparable = 0;
    /** Of these, the ones that stay when the tier shrinks: those with more processors, then by rendezvous
     * hashing. */
    std::size_t ahead = 0;
    /** Mean utilization of the processors of the zone's dispatchers, 0 to 1. */
    double utilization = 0;
    /** At the first update: the registration of an earlier process of this VM is still in the store. */
    bool wasDispatcher = false;
};

/**
 * Decides whether this VM is a dispatcher, that is whether it sends requests to replicas on behalf of other
 * VMs.
 *
 * Few VMs per availability zone deal with the replicas, so each of them meets every replica often enough to
 * know its state, and the limits that all VMs share are divided by few. VMs volunteer when the zone has too
 * few dispatchers or these are busy, larger ones first; a VM that is not needed leaves after others had time
 * to see the tier grow. VMs may disagree for a while: then there are more dispatchers than needed, or VMs
 * send requests themselves.
 */
class DispatchRole {
public:
    /** @param draw uniform in [0, 1), spreads VMs that decide at the same time */
    DispatchRole(const RoleRules& rules, double draw)
        : rules_(rules)
        , draw_(draw)
    {
    }

    /** Call every few 100 ms once the VM has a view of the store. @return true if this VM is a dispatcher */
    bool update(const RoleInputs& inputs, TimePoint now);
    bool isDispatcher() const { return dispatcher_; }

private:
    bool wantsToChange(const RoleInputs& inputs) const;
    Duration delay(const RoleInputs& inputs) const;

    const RoleRules rules_;
    const double draw_;
    bool updated_ = false;
    bool dispatcher_ = false;
    bool waiting_ = false;
    TimePoint waitingSince_ {};
};

/**
 * Dispatchers that each availability zone has at least.
 * @param toleratedVmLosses VMs that may fail at the same time
 * @param zones number of availability zones
 */
std::size_t minDispatchersPerZone(std::size_t toleratedVmLosses, std::size_t zones);

} // namespace banyancroft::handover
