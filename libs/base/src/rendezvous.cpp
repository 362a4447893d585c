#include "base/rendezvous.h"

#include <xxhash.h>

namespace banyancroft {

std::uint64_t rendezvousSeed(const VmId& vm) { return XXH3_64bits(vm.view().data(), vm.view().size()); }

std::uint64_t rendezvousWeight(std::uint64_t seed, std::string_view name)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

std::uint64_t rendezvousWeight(const VmId& vm, std::string_view name)
{
    return rendezvousWeight(rendezvousSeed(vm), name);
}

} // namespace banyancroft
