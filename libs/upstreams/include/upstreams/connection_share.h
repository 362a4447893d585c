#pragma once

#include "upstreams/registry.h"

#include <cstddef>
#include <span>
#include <vector>

namespace banyancroft::upstreams {

/** Limits on the connections of one VM to the replicas of a service. */
struct ConnectionShare {
    /** Most connections to one replica. */
    std::size_t perReplica = 1;
    /** Number of replicas to which the VM keeps connections. */
    std::size_t replicas = 0;
};

/**
 * Divides the connections that the replicas of a service accept evenly among the VMs.
 *
 * With more VMs than connections per replica, each VM keeps one connection to each of a subset of the
 * replicas, so that replicas do not reset new connections because they have reached their limit.
 * @param acceptedPerReplica connections that one replica accepts from all VMs together
 * @param replicas number of replicas of the service
 */
ConnectionShare connectionShare(unsigned acceptedPerReplica, std::size_t replicas, unsigned vms);

/**
 * Selects the replicas to which this VM keeps connections: candidates in its own availability zone first,
 * then by rendezvous hashing of VM and replica, so that every replica is selected by about the same number of
 * VMs.
 * @param count most replicas to select
 */
std::vector<UpstreamPointer> replicaSubset(std::span<const UpstreamPointer> replicas, std::size_t count,
    const Registry& registry, const VmId& self, const AvailabilityZone& ownZone, TimePoint now);

} // namespace banyancroft::upstreams
