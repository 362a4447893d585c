#pragma once

#include "routing/configuration.h"
#include "routing/finding.h"

#include <optional>
#include <string>
#include <vector>

namespace banyancroft::routing {

/** A difference between two configurations. No text holds an API key. */
struct Change {
    /** Such as `route "search"`. */
    std::string place;
    /** Such as "timeout 200 ms -> 150 ms". */
    std::string text;
};

/** Lists what `next` changes. Routes, services and customers are the same if their names are. */
std::vector<Change> listChanges(const Configuration& inForce, const Configuration& next);

/** An error if `next` would be ignored, because its version is not higher than the one in force. */
std::optional<Finding> checkVersion(const Configuration& inForce, const Configuration& next);

} // namespace banyancroft::routing
