#pragma once

#include "base/ids.h"

#include <set>

namespace banyancroft::quota {

/**
 * True if a VM may use one of `total` requests that VMs may use on their own: all of them may if there are
 * enough, else those that come first in rendezvous hashing.
 */
bool hasWholeShare(const CustomerId& customer, double total, const std::set<VmId>& vms, const VmId& self);

} // namespace banyancroft::quota
