#pragma once

#include "base/outcome.h"
#include "base/time.h"
#include "search/cluster_state.h"
#include "search/types.h"

#include <cstdint>
#include <span>

namespace banyancroft::search {

/** Requirements for the upstream to choose. */
struct ReplicaCriteria {
    /** Upstreams to choose from. */
    std::span<const UpstreamSlot> members;
    /** A version of zero matches any. */
    Snapshot snapshot;
    ZoneSlot ownZone = noSlot;
    /** Zone to exclude, for hedges. */
    ZoneSlot excludedZone = noSlot;
    /** Bits triedBit(slot) of the upstreams to exclude. */
    std::uint64_t tried = 0;
    /** When true, an avoided upstream may be probed; a hedge or retry can still replace it. */
    bool allowProbe = false;
    /** When true, cold and failing upstreams are excluded. */
    bool readyOnly = false;
    /** When true, upstreams known not to serve the snapshot are excluded. */
    bool requireSnapshot = false;
};

/** Result of ReplicaSelector::choose(). */
struct ReplicaChoice {
    /** `noSlot` when no upstream meets the criteria. */
    UpstreamSlot upstream = noSlot;
    /** The upstream is otherwise avoided. */
    bool probe = false;
    /** Reason why there is no upstream; None when there is one. */
    Reason reason = Reason::None;
};

/**
 * Bit of an upstream in a 64-bit set. Slots of one group are mostly consecutive, so two of its upstreams
 * rarely share a bit; if they do, both are excluded once one was tried.
 */
constexpr std::uint64_t triedBit(UpstreamSlot slot) { return std::uint64_t { 1 } << (slot % 64); }

/**
 * Chooses an upstream of a group: the least loaded of two or three ready upstreams sampled at random, up to
 * two of them in the own zone, which is preferred when the loads are comparable. Random sampling keeps all
 * daemons from sending to the same upstream that was least loaded a moment ago.
 */
class ReplicaSelector {
public:
    ReplicaSelector(const ClusterState& cluster, Random& random)
        : cluster_(cluster)
        , random_(random)
    {
    }

    ReplicaChoice choose(const ReplicaCriteria& criteria, TimePoint now);

private:
    /** Ordered from most to least preferred. */
    enum class Eligibility : std::uint8_t { Ready, Cold, Failing, OtherVersion, Excluded };

    Eligibility eligibility(const ReplicaCriteria& criteria, const UpstreamState& state, TimePoint now) const;
    Reason reasonForNoCandidate(const ReplicaCriteria& criteria) const;
    /** Returns the least loaded of a random sample of the given upstreams. */
    UpstreamSlot leastLoaded(
        const ReplicaCriteria& criteria, std::span<const UpstreamSlot> ready, TimePoint now);
    /** Returns a random number below `bound`; zero when `bound` is zero. */
    std::uint32_t randomBelow(std::uint32_t bound);

    const ClusterState& cluster_;
    Random& random_;
};

} // namespace banyancroft::search
