#include "upstreams/cold_share.h"

#include "base/rendezvous.h"

#include <algorithm>

namespace banyancroft::upstreams {

double coldShare(const UpstreamId& upstream, double bears, const std::set<VmId>& vms, const VmId& self)
{
    const double even = bears / static_cast<double>(std::max<std::size_t>(1, vms.size()));
    if (even >= 1)
        return even;
    const auto own = rendezvousWeight(self, upstream.view());
    const auto greater = std::count_if(vms.begin(), vms.end(), [&](const VmId& vm) {
        const auto weight = rendezvousWeight(vm, upstream.view());
        return vm != self && (weight > own || (weight == own && vm < self));
    });
    return static_cast<double>(greater) + 1 <= bears ? 1 : 0;
}

} // namespace banyancroft::upstreams
