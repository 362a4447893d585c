#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string_view>

namespace banyancroft {

/**
 * Weight of a VM for a name in rendezvous hashing: the name is assigned to the VM with the greatest weight.
 * All VMs compute the same weights, so they agree without exchanging messages.
 */
std::uint64_t rendezvousWeight(const VmId& vm, std::string_view name);

/** The part of the weight that depends only on the VM; computed once for loops over many names. */
std::uint64_t rendezvousSeed(const VmId& vm);
/** @param seed rendezvousSeed() of the VM */
std::uint64_t rendezvousWeight(std::uint64_t seed, std::string_view name);

} // namespace banyancroft
