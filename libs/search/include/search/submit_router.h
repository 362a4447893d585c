#pragma once

#include "base/ids.h"
#include "base/outcome.h"
#include "base/time.h"
#include "search/cluster_state.h"
#include "search/types.h"

#include <span>
#include <string_view>

namespace banyancroft::search {

/** Destination of a `submit`. */
struct SubmitRoute {
    /** None when an upstream was found; otherwise the reason why there is none. */
    Reason reason = Reason::None;
    UpstreamSlot upstream = noSlot;
    /** Both point into the ClusterState and are valid until its next apply(). */
    const UpstreamId* upstreamId = nullptr;
    const GroupId* group = nullptr;
    bool nonIdempotent = true;
};

/**
 * Routes a `submit` to an upstream: the operation determines the service, the hash of the idempotency key the
 * group, and the load the upstream. All daemons with the same configuration choose the same group for a key.
 *
 * Owned and used by one traffic thread; the ClusterState must outlive it.
 */
class SubmitRouter {
public:
    explicit SubmitRouter(ClusterState& cluster)
        : cluster_(cluster)
    {
    }

    /**
     * @param key selects the group; if empty (allowed for idempotent operations), the group is random
     * @param tried upstreams that have already refused this submit; reused only if no other is available
     */
    SubmitRoute route(std::string_view operation, const IdempotencyKey& key, const AvailabilityZone& ownZone,
        std::span<const UpstreamSlot> tried, TimePoint now, Random& random);

private:
    ClusterState& cluster_;
};

} // namespace banyancroft::search
