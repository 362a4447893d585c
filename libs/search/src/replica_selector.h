#pragma once

#include "base/outcome.h"
#include "base/time.h"
#include "search/cluster_state.h"
#include "search/types.h"

#include <cstdint>
#include <span>

namespace banyancroft::search {

/** What is asked of an upstream. */
struct ReplicaCriteria {
    std::span<const UpstreamSlot> members;
    /** Versions of zero stand for any. */
    Snapshot snapshot;
    ZoneSlot ownZone = noSlot;
    /** Zone to leave out, for hedges. */
    ZoneSlot excludedZone = noSlot;
    /** Bits triedBit(slot) of upstreams to leave out. */
    std::uint64_t tried = 0;
    /** True: an upstream that is avoided may be tried, since a hedge or retry can still replace it. */
    bool allowProbe = false;
    /** True: no upstream that is cold or failing. */
    bool readyOnly = false;
    /** True: no upstream that is known not to serve the snapshot. */
    bool requireSnapshot = false;
};

struct ReplicaChoice {
    UpstreamSlot upstream = noSlot;
    bool probe = false;
    /** Why there is no upstream. */
    Reason reason = Reason::None;
};

/**
 * Slots of one group are mostly consecutive, so that two of its upstreams rarely share a bit; when they do,
 * one that was not asked counts as asked.
 */
constexpr std::uint64_t triedBit(UpstreamSlot slot) { return std::uint64_t { 1 } << (slot % 64); }

/**
 * Chooses an upstream of a group: among the ready ones the least loaded of two or three drawn at random, up
 * to two of them from the own zone, which is kept when the loads are comparable. Random draws avoid that all
 * entries send to the one upstream that was least loaded a moment ago.
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
    enum class Eligibility : std::uint8_t { Ready, Cold, Failing, OtherVersion, Excluded };

    Eligibility eligibility(const ReplicaCriteria& criteria, const UpstreamState& state, TimePoint now) const;
    Reason reasonForNoCandidate(const ReplicaCriteria& criteria) const;
    UpstreamSlot leastLoaded(
        const ReplicaCriteria& criteria, std::span<const UpstreamSlot> ready, TimePoint now);
    std::uint32_t randomBelow(std::uint32_t bound);

    const ClusterState& cluster_;
    Random& random_;
};

} // namespace banyancroft::search
