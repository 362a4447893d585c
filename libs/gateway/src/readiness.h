#pragma once

#include "base/time.h"

#include <cstddef>

namespace banyancroft::gateway {

/** Inputs of the readiness decision. */
struct ReadinessInputs {
    bool hasConfiguration = false;
    bool hasRegistrations = false;
    bool isStopping = false;
    /** The VM cannot reach any other availability zone and fails most requests. */
    bool isCutOff = false;
};

/**
 * Whether the load balancer should send callers to this VM.
 *
 * Without configuration or registrations the VM refuses all requests; when cut off from the other zones it
 * serves callers worse than a VM of another zone. An outage of the store alone does not affect callers.
 */
bool isReady(const ReadinessInputs& inputs);

/** Phase of a graceful shutdown. */
enum class ShutdownPhase {
    /** Keep accepting connections: the load balancer has not detected the shutdown yet. */
    KeepAccepting,
    /** Complete the requests that were read. */
    Drain,
    /** Exit the process. */
    Exit,
};

/**
 * Current phase of a graceful shutdown.
 * @param sinceStop time since the stop signal
 * @param grace maximum duration of the shutdown
 * @param pendingRequests requests that were read and not yet answered
 */
ShutdownPhase shutdownPhase(Duration sinceStop, Duration grace, std::size_t pendingRequests);

} // namespace banyancroft::gateway
