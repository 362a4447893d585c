#pragma once

#include "base/time.h"

#include <cstddef>
#include <optional>

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
    /** Accept no more connections; the requests on the last ones are on their way. */
    AwaitLastRequests,
    /** Take no more requests, close idle connections and complete the requests that were taken. */
    Drain,
    /** Answer the requests that are still in progress and exit. */
    Exit,
};

/**
 * Current phase of a graceful shutdown.
 *
 * Callers keep using open connections, so the VM has to stop taking requests while there is still time to
 * complete them.
 *
 * @param sinceStop time since the stop signal
 * @param grace maximum duration of the shutdown
 * @param pendingRequests requests that were read, also in part, and not yet answered
 * @param notAcceptingFor time since the listening socket was closed; empty while it is open. Requests on the
 * last accepted connections may still be on their way.
 */
ShutdownPhase shutdownPhase(
    Duration sinceStop, Duration grace, std::size_t pendingRequests, std::optional<Duration> notAcceptingFor);

} // namespace banyancroft::gateway
