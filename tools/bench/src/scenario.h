#pragma once

#include "cluster.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyancroft::tools {

/** Results of a scenario, apart from those of the load. */
struct ScenarioResult {
    /** Planned stops that did not end with exit status 0 within the timeout. */
    std::uint64_t failedStops = 0;
    /** Accepted configuration changes that were lost, and versions with several accepted changes. */
    std::uint64_t lostChanges = 0;
    /** Seconds from the acceptance of a take-out to the last request that arrived in the zone. */
    std::optional<double> takeOutSeconds;
    /** Descriptions of failed steps. */
    std::vector<std::string> problems;
};

std::vector<std::string> scenarioNames();
/** True if requests may go unanswered, since the scenario kills or freezes a daemon without notice. */
bool allowsUnansweredRequests(std::string_view scenario);

/**
 * Injects the faults of a scenario at fixed fractions of the run. Blocks until the last step has ended.
 * @param start start of the measured load @param length duration of the measured load
 * @param lease store lease of the daemons
 */
ScenarioResult runScenario(
    std::string_view name, Cluster& cluster, TimePoint start, Duration length, Duration lease);

} // namespace banyancroft::tools
