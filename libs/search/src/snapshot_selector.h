#pragma once

#include "search/cluster_state.h"

#include <cstdint>
#include <memory>

namespace banyancroft::search {

/**
 * Selects the newest index version that every group of a collection serves at the layout of a topology. Cold
 * and failing upstreams are ignored as long as the others suffice.
 */
class SnapshotSelector {
public:
    explicit SnapshotSelector(const ClusterState& cluster)
        : cluster_(cluster)
    {
    }

    SnapshotChoice select(const std::shared_ptr<const Topology>& topology, std::uint32_t collection) const;

private:
    const ClusterState& cluster_;
};

} // namespace banyancroft::search
