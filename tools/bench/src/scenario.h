#pragma once

#include "cluster.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyancroft::tools {

/** What a scenario found beside the load. */
struct ScenarioResult {
    /** Planned stops that did not end with status 0 in time. */
    std::uint64_t failedStops = 0;
    /** Configuration changes that were accepted and are not in force at the end, or accepted twice. */
    std::uint64_t lostChanges = 0;
    /** Seconds from the acceptance of a take-out to the last new work in the zone. */
    std::optional<double> takeOutSeconds;
    /** Scripted steps that failed. */
    std::vector<std::string> problems;
};

std::vector<std::string> scenarioNames();
/** True when callers may see broken connections: a daemon dies or stands still without warning. */
bool allowsUnansweredRequests(std::string_view scenario);

/**
 * Injects the faults of a scenario at fixed shares of the run. Returns when the last step is done.
 * @param start start of the measured load @param length of the load
 */
ScenarioResult runScenario(
    std::string_view name, Cluster& cluster, TimePoint start, Duration length, Duration lease);

} // namespace banyancroft::tools
