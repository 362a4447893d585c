#include "quota/shares.h"

#include "base/rendezvous.h"

#include <algorithm>

namespace banyancroft::quota {

bool hasWholeShare(const CustomerId& customer, double total, const std::set<VmId>& vms, const VmId& self)
{
    if (static_cast<double>(vms.size()) <= total)
        return true;
    const auto own = rendezvousWeight(self, customer.view());
    const auto ahead = std::count_if(vms.begin(), vms.end(),
        [&](const VmId& vm) { return vm != self && rendezvousWeight(vm, customer.view()) > own; });
    return static_cast<double>(ahead) + 1 <= total;
}

} // namespace banyancroft::quota
