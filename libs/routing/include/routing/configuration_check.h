#pragma once

#include "routing/configuration.h"
#include "routing/finding.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace banyancroft::routing {

/** Number of replicas of each service that take requests. A service without an entry has none. */
using ReplicaCounts = std::unordered_map<ServiceId, std::size_t>;

/**
 * Finds values out of range, entries that can never match and limits that contradict each other in a
 * configuration that could be decoded.
 * @param replicas null if the replicas are not known; what depends on them is then not checked
 */
std::vector<Finding> checkConfiguration(
    const Configuration& configuration, const ReplicaCounts* replicas = nullptr);

} // namespace banyancroft::routing
