#include "upstreams/connection_share.h"

#include "base/rendezvous.h"
#include "upstreams/placement.h"

#include <algorithm>
#include <tuple>

namespace banyancroft::upstreams {

namespace {

/** Fraction of a replica's connections that all VMs use together; the rest is headroom for a changing number
 * of VMs. */
constexpr double usedFraction = 0.7;
/** The same when each VM uses only a subset of the replicas. Higher because a VM needs two replicas to send
 * hedged requests; the rest is headroom for the random variation of the number of VMs per replica. */
constexpr double usedFractionOfSubsets = 0.85;

} // namespace

ConnectionShare connectionShare(unsigned acceptedPerReplica, std::size_t replicas, unsigned vms)
{
    const double count = std::max(1U, vms);
    const auto perReplica = static_cast<std::size_t>(usedFraction * acceptedPerReplica / count);
    if (perReplica >= 1)
        return { perReplica, replicas };
    const auto kept = static_cast<std::size_t>(
        usedFractionOfSubsets * acceptedPerReplica * static_cast<double>(replicas) / count);
    return { 1, std::clamp<std::size_t>(kept, 1, std::max<std::size_t>(1, replicas)) };
}

std::vector<UpstreamPointer> replicaSubset(std::span<const UpstreamPointer> replicas, std::size_t count,
    const Registry& registry, const VmId& self, const AvailabilityZone& ownZone, TimePoint now)
{
    std::vector<std::tuple<bool, std::uint64_t, UpstreamPointer>> ranked;
    ranked.reserve(replicas.size());
    const auto seed = rendezvousSeed(self);
    for (const auto& replica : replicas) {
        if (isCandidate(*replica, registry, now))
            ranked.emplace_back(
                replica->record.zone == ownZone, rendezvousWeight(seed, replica->record.id.view()), replica);
    }
    const auto kept = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end(),
        [](const auto& left, const auto& right) {
            return std::tie(std::get<0>(left), std::get<1>(left))
                > std::tie(std::get<0>(right), std::get<1>(right));
        });
    std::vector<UpstreamPointer> result;
    result.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i)
        result.push_back(std::get<2>(ranked[i]));
    return result;
}

} // namespace banyancroft::upstreams
