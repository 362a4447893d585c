#pragma once

#include "upstreams/registry.h"

#include <functional>
#include <optional>
#include <span>

namespace banyancroft::upstreams {

/** What placement weighs besides the replicas themselves. */
struct PlacementRequest {
    /** Usual answer time of such a request. */
    Duration typicalLatency {};
    AvailabilityZone ownZone;
    /** Replicas that this request was already sent to. */
    std::span<const std::uint64_t> tried;
};

/** Hooks of placement. */
struct PlacementHooks {
    /** Time until a connection to the replica can be used; empty when all are busy and none may be opened. */
    std::function<std::optional<Duration>(const UpstreamPointer&)> connectDelay;
    /** True when the replica is warm, or cold and this VM may send it one more request now. */
    std::function<bool(const Upstream&)> maySend;
    /** Uniform in [0, 1). */
    std::function<double()> random;
};

/** Outcome of placement. */
struct Placement {
    /** Empty when no replica can take the request now. */
    UpstreamPointer upstream;
    Duration expectedDelay {};
    /** True when a replica could take it soon: it has no connection free now, or it is cold. */
    bool canWait = false;
};

/** True unless the replica leaves, is in a zone taken out, or is silent. Silent ones are tried by
 * connections. */
bool isCandidate(const Upstream& upstream, const Registry& registry, TimePoint now);

/**
 * Picks the candidate with the least expected delay, the own availability zone first
 * while that costs no waiting.
 *
 * Answers the load of scatter-gather requests, where every request meets the slowest of its shards:
 * replicas that stand still, are slow or refuse are passed over after the first few signs.
 */
Placement place(std::span<const UpstreamPointer> candidates, const Registry& registry,
    const PlacementRequest& request, const PlacementHooks& hooks, TimePoint now);

} // namespace banyancroft::upstreams
