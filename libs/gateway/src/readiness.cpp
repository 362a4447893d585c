#include "readiness.h"

namespace banyancroft::gateway {

namespace {

/** Fraction of the grace period after which the load balancer has seen two failed probes, at one per second.
 */
constexpr double balancerDetectionFraction = 0.45;
/** Fraction of the grace period after which the process exits even with requests pending; the rest is for its
 * termination. */
constexpr double exitFraction = 0.9;
/** Time in which the request on a connection that was just accepted arrives. */
constexpr Duration lastRequestDelay = std::chrono::milliseconds(100);

} // namespace

bool isReady(const ReadinessInputs& inputs)
{
    return inputs.hasConfiguration && inputs.hasRegistrations && !inputs.isStopping && !inputs.isCutOff;
}

ShutdownPhase shutdownPhase(
    Duration sinceStop, Duration grace, std::size_t pendingRequests, std::optional<Duration> notAcceptingFor)
{
    if (sinceStop >= scaled(grace, exitFraction))
        return ShutdownPhase::Exit;
    if (sinceStop < scaled(grace, balancerDetectionFraction))
        return ShutdownPhase::KeepAccepting;
    if (!notAcceptingFor || *notAcceptingFor < lastRequestDelay)
        return ShutdownPhase::AwaitLastRequests;
    return pendingRequests == 0 ? ShutdownPhase::Exit : ShutdownPhase::Drain;
}

} // namespace banyancroft::gateway
