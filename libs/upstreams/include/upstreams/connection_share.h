#pragma once

#include "upstreams/registry.h"

#include <cstddef>
#include <span>
#include <vector>

namespace banyancroft::upstreams {

/** What one VM may use of the connections that the replicas of a service accept. */
struct ConnectionShare {
    /** Connections to one replica. */
    std::size_t perReplica = 1;
    /** Replicas to which connections are kept. */
    std::size_t replicas = 0;
};

/**
 * Divides the connections of a service evenly between the VMs.
 *
 * Answers the load of more VMs than a replica accepts connections: each VM then keeps one connection to
 * some of the replicas, so that new connections are not reset by replicas that have all they accept.
 * @param accepted connections that one replica accepts from all VMs
 * @param replicas of the service
 */
ConnectionShare connectionShare(unsigned accepted, std::size_t replicas, unsigned vms);

/**
 * The replicas to which this VM keeps connections: those that may be used, of its own availability zone
 * first, then in an order that differs from VM to VM, so that all replicas get about equally many VMs.
 */
std::vector<UpstreamPointer> replicaSubset(std::span<const UpstreamPointer> replicas, std::size_t count,
    const Registry& registry, const VmId& self, const AvailabilityZone& ownZone, TimePoint now);

} // namespace banyancroft::upstreams
