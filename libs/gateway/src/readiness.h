#pragma once

#include "base/time.h"

#include <cstddef>

namespace banyancroft::gateway {

/** What readiness is decided from. */
struct ReadinessInputs {
    bool hasConfiguration = false;
    bool hasRegistrations = false;
    bool isStopping = false;
    /** The VM reaches no other availability zone and fails most requests. */
    bool isCutOff = false;
};

/**
 * Whether the balancer should send callers to this VM.
 *
 * Without configuration or registrations it can only refuse; cut off from the other zones it serves callers
 * worse than a VM of another zone. An outage of the store alone changes nothing for callers.
 */
bool isReady(const ReadinessInputs& inputs);

/** What a process that was told to stop does next. */
enum class ShutdownPhase {
    /** Go on taking connections: the balancer has not noticed yet. */
    KeepAccepting,
    /** Finish what was read. */
    Drain,
    /** End the process. */
    Exit,
};

/**
 * The next step of a planned stop.
 * @param sinceStop time since the stop signal
 * @param grace longest time that a stop may take
 * @param pendingRequests requests that were read and not yet answered
 */
ShutdownPhase shutdownPhase(Duration sinceStop, Duration grace, std::size_t pendingRequests);

} // namespace banyancroft::gateway
