#pragma once

#include "base/ids.h"
#include "config/document.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace banyancroft::daemon {

/**
 * Holds the control-plane state that the traffic threads route by. Immutable; the control thread builds a
 * new table at each change and posts it to all traffic threads.
 */
struct RoutingTable {
    std::shared_ptr<const config::Document> document;
    /** Peer address of each upstream's home; an upstream without a known home is missing. */
    std::unordered_map<UpstreamId, std::string> homes;

    /** Peer address of the upstream's home; empty when no home is known. */
    std::string_view homeOf(const UpstreamId& upstream) const
    {
        auto position = homes.find(upstream);
        return position == homes.end() ? std::string_view {} : std::string_view(position->second);
    }
};

using RoutingTablePointer = std::shared_ptr<const RoutingTable>;

} // namespace banyancroft::daemon
