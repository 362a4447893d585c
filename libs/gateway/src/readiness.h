#pragma once

#include "base/time.h"

#include <cstddef>

namespace banyancroft::gateway {

/** What readiness is decided from. */
struct ReadinessInputs {
    bool hasConfiguration = false;
    bool hasRegistrations = false;
    bool isStopping = false;
    /** Time since the store last answered. */
    Duration storeSilence {};
    /** Services that routes send to, and those of them with at least one replica that seems alive. */
    std::size_t services = 0;
    std::size_t reachableServices = 0;
};

/**
 * Whether the balancer should send callers to this VM.
 *
 * Answers the load of a zone that is cut off: a VM that reaches neither the store nor most services
 * serves callers worse than one of another zone. While only replicas fail, all VMs are alike, so this one
 * stays ready.
 */
bool isReady(const ReadinessInputs& inputs);

/** What a process that was told to stop does next. */
enum class StopStep {
    /** Go on taking connections: the balancer has not noticed yet. */
    KeepAccepting,
    /** Finish what was read. */
    Finish,
    /** End the process. */
    Exit,
};

/**
 * The next step of a planned stop.
 * @param sinceStop time since the stop signal
 * @param grace longest time that a stop may take
 * @param busy requests that were read and not yet answered
 */
StopStep stopStep(Duration sinceStop, Duration grace, std::size_t busy);

} // namespace banyancroft::gateway
