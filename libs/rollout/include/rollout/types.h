#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyancroft::rollout {

/** Order to move the traffic of a service to one version. */
struct Order {
    std::string target;
    /** Time from the order to its deadline; positive. */
    Duration duration {};
    /** Revision of the store at which the order was written; identifies the order. */
    std::uint64_t revision = 0;
};

enum class State {
    Running,
    Completed,
    RolledBack,
    /** A value that cannot be read; it belongs to no order and is overwritten by the next status. */
    Unknown,
};

/** Published result of an order. */
struct Status {
    State state = State::Running;
    std::string target;
    std::uint64_t revision = 0;
};

/** Part of a roll-out that decides on the share of the target version. */
enum class Phase {
    /** Small share. */
    Canary,
    /** Short time in which a replica of the target version gets as much as another one. */
    Pulse,
    /** Short steps from the small to the full share. */
    Ramp,
    /** All requests go to the target version. */
    Full,
};

/** Share of the target version that the driver has decided on. */
struct Step {
    /** Fraction of the requests, 0 to 1. */
    double share = 0;
    Phase phase = Phase::Canary;
    /** Time from the order to the writing of this step. */
    Duration elapsed {};
    std::string target;
    /** Order::revision of the order that the step belongs to. */
    std::uint64_t orderRevision = 0;
    /** Targets of earlier orders that were not completed; they receive no requests. */
    std::vector<std::string> excluded;
    std::uint64_t revision = 0;
};

} // namespace banyancroft::rollout
