#pragma once

#include "credit_gate.h"
#include "dispatcher_pool.h"
#include "handover/dispatch_role.h"
#include "handover_runner.h"
#include "handover_server.h"
#include "membership.h"

#include <functional>
#include <optional>

namespace banyancroft::gateway {

/**
 * This VM's part in the dispatch tier of its availability zone: decides whether it dispatches, registers it
 * while it does, and hands its callers' requests to dispatchers while it does not. Without an address for
 * hand-overs the VM always dispatches. Not thread-safe.
 */
class DispatchTier {
public:
    struct Hooks {
        /** True once the replicas and dispatchers are known. */
        std::function<bool()> hasListing;
        std::function<bool()> isStopping;
        /** Latest time at which the view is known to have matched the store. */
        std::function<TimePoint()> viewCurrentAt;
        /** Fetches the newest configuration, from the given VM if it is known to have one. */
        std::function<void(const std::optional<VmId>& from)> fetchConfiguration;
    };

    /** All references must outlive the tier. */
    DispatchTier(TrafficManager& traffic, MemberTracker& members, Registration& registration, Hooks hooks);

    /** @return false, with the cause in `reason`, if the address for hand-overs cannot be bound */
    bool start(Error& reason);
    /** Call about every 100 ms. */
    void tick(TimePoint now);
    /** Adapts role, links and shared limits to the members. */
    void update(TimePoint now);
    /** Serves a request of a caller of this VM. */
    void serve(const IncomingRequest& request, TimePoint now);

    bool isDispatching() const { return !handsOver() || role_.isDispatcher(); }
    /** True if the dispatchers that this VM hands requests to report that their zone is cut off. */
    bool isZoneCutOff() const { return !isDispatching() && dispatchers_.cutOffSince(); }
    /** Requests of other VMs that have begun here and are not answered. */
    std::size_t pendingRequests() const { return server_.pendingRequests(); }
    double utilization() const { return server_.utilization(); }

private:
    /** True if VMs of the availability zone hand requests to each other. */
    bool handsOver() const { return traffic_.settings().handover.port != 0; }
    handover::RoleInputs roleInputs() const;
    void updateRole(TimePoint now);
    HandoverServer::Hooks serverHooks();

    TrafficManager& traffic_;
    MemberTracker& members_;
    Registration& registration_;
    const Hooks hooks_;
    handover::DispatchRole role_;
    DispatcherPool dispatchers_;
    HandoverServer server_;
    CreditGate creditGate_;
    HandoverContext context_;
};

} // namespace banyancroft::gateway
