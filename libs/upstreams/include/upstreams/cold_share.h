#pragma once

#include "base/ids.h"

#include <set>

namespace banyancroft::upstreams {

/**
 * Requests per second that one VM may send to a cold replica.
 *
 * Protects replicas that restart cold while all VMs have requests for them. The rate limit of the replica is
 * divided evenly among the VMs. When that gives less than one request per second each, a subset of the VMs,
 * chosen by rendezvous hashing, may send one request per second and the others none.
 * @param limitPerSecond requests per second that the replica may receive from all VMs together
 * @param vms live VMs that share the rate; `self` gets nothing if it is not among them
 */
double coldShare(
    const UpstreamId& upstream, double limitPerSecond, const std::set<VmId>& vms, const VmId& self);

} // namespace banyancroft::upstreams
