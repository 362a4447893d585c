#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string_view>

namespace banyancroft {

/**
 * Weight of a VM for a name in rendezvous hashing: the VM with the greatest weight takes the name. Alike
 * on every VM, so no messages are needed to agree.
 */
std::uint64_t rendezvousWeight(const VmId& vm, std::string_view name);

/** The part of the weight that depends on the VM alone, for loops over many names. */
std::uint64_t rendezvousSeed(const VmId& vm);
/** @param seed of the VM */
std::uint64_t rendezvousWeight(std::uint64_t seed, std::string_view name);

} // namespace banyancroft
