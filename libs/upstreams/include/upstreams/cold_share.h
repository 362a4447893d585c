#pragma once

#include "base/ids.h"

#include <set>

namespace banyancroft::upstreams {

/**
 * Requests per second that one VM may send to a cold replica.
 *
 * Answers the load of replicas that come back cold while all VMs have requests for them. All VMs divide
 * what the replica bears; where that is less than one request a second each, some VMs, picked by
 * rendezvous hashing, may send one and the others none.
 * @param bears requests per second that the replica may get from all VMs
 * @param vms live VMs, `self` included
 */
double coldShare(const UpstreamId& upstream, double bears, const std::set<VmId>& vms, const VmId& self);

} // namespace banyancroft::upstreams
