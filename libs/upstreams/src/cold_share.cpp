#include "upstreams/cold_share.h"

#include "base/rendezvous.h"

#include <algorithm>

namespace banyancroft::upstreams {

double coldShare(
    const UpstreamId& upstream, double limitPerSecond, const std::set<VmId>& vms, const VmId& self)
{
    if (!vms.contains(self))
        return 0;
    const double evenShare = limitPerSecond / static_cast<double>(vms.size());
    if (evenShare >= 1)
        return evenShare;
    const auto own = rendezvousWeight(self, upstream.view());
    const auto vmsWithGreaterWeight = std::count_if(vms.begin(), vms.end(), [&](const VmId& vm) {
        const auto weight = rendezvousWeight(vm, upstream.view());
        return vm != self && (weight > own || (weight == own && vm < self));
    });
    return static_cast<double>(vmsWithGreaterWeight) + 1 <= limitPerSecond ? 1 : 0;
}

} // namespace banyancroft::upstreams
