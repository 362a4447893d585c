#pragma once

#include "upstreams/registry.h"

#include <functional>
#include <optional>
#include <span>

namespace banyancroft::upstreams {

/** Properties of a request that affect its placement. */
struct PlacementRequest {
    /** Median latency of such requests over all replicas. */
    Duration typicalLatency {};
    AvailabilityZone ownZone;
    /** Numbers (`Upstream::number`) of replicas that must not be selected, e.g. because the request was
     * already tried there. */
    std::span<const std::uint64_t> excluded;
};

/** Functions that placement calls to query connections and limits. */
struct PlacementHooks {
    /** Time until a connection to the replica is available; empty when all are busy and no more may be
     * opened. */
    std::function<std::optional<Duration>(const UpstreamPointer&)> connectDelay;
    /** True when the replica is warm, or when it is cold and its rate limit permits one more request now. */
    std::function<bool(const Upstream&)> maySend;
    /** Uniform in [0, 1). */
    std::function<double()> random;
};

/** Result of placement. */
struct Placement {
    /** Null when no replica can take the request now. */
    UpstreamPointer upstream;
    Duration expectedDelay {};
    /** True when a candidate was passed over only because it has no free connection or has reached its cold
     * rate limit, so that the request can be placed later. */
    bool canWait = false;
};

/** False when the replica is draining, leaving, removed, misdirected, suspect, resting or in an evacuated
 * availability zone.
 * Suspect replicas are probed by connections instead of requests. */
bool isCandidate(const Upstream& upstream, const Registry& registry, TimePoint now);

/** Earliest time at which a replica that rests becomes a candidate; empty if none rests. */
std::optional<TimePoint> earliestRestEnd(
    std::span<const UpstreamPointer> candidates, const Registry& registry, TimePoint now);

/**
 * Selects the candidate with the least expected delay, with a preference for the VM's own availability zone.
 *
 * A scatter-gather request is as slow as its slowest shard, so stalled, slow and refusing replicas are
 * avoided after a few observations.
 */
Placement place(std::span<const UpstreamPointer> candidates, const Registry& registry,
    const PlacementRequest& request, const PlacementHooks& hooks, TimePoint now);

} // namespace banyancroft::upstreams
