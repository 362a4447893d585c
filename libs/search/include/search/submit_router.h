#pragma once

#include "base/ids.h"
#include "base/outcome.h"
#include "base/time.h"
#include "search/cluster_state.h"
#include "search/types.h"

#include <span>
#include <string_view>

namespace banyancroft::search {

/** Where a `submit` goes. */
struct SubmitRoute {
    /** None when there is an upstream; otherwise why there is none. */
    Reason reason = Reason::None;
    UpstreamSlot upstream = noSlot;
    /** Refer to the ClusterState until its next apply(). */
    const UpstreamId* upstreamId = nullptr;
    const GroupId* group = nullptr;
    bool nonIdempotent = true;
};

/**
 * Chooses the upstream of a `submit`: the operation names the service, the hash of the key the group, and
 * the load the upstream. All daemons with the same configuration choose the same group for a key.
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
     * @param key an empty key, allowed for idempotent operations, takes any group
     * @param tried upstreams that refused this submit already; used again only if no other serves
     */
    SubmitRoute route(std::string_view operation, const IdempotencyKey& key, const AvailabilityZone& ownZone,
        std::span<const UpstreamSlot> tried, TimePoint now, Random& random);

private:
    ClusterState& cluster_;
};

} // namespace banyancroft::search
