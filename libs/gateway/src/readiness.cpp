#include "readiness.h"

namespace banyancroft::gateway {

namespace {

/** Part of the longest stop after which the balancer has seen two failed probes, at one a second. */
constexpr double balancerDetectionFraction = 0.45;
/** Part of the longest stop that is left for the process to end in. */
constexpr double exitFraction = 0.9;

} // namespace

bool isReady(const ReadinessInputs& inputs)
{
    return inputs.hasConfiguration && inputs.hasRegistrations && !inputs.isStopping && !inputs.isCutOff;
}

ShutdownPhase shutdownPhase(Duration sinceStop, Duration grace, std::size_t pendingRequests)
{
    if (sinceStop >= scaled(grace, exitFraction))
        return ShutdownPhase::Exit;
    if (sinceStop < scaled(grace, balancerDetectionFraction))
        return ShutdownPhase::KeepAccepting;
    return pendingRequests == 0 ? ShutdownPhase::Exit : ShutdownPhase::Drain;
}

} // namespace banyancroft::gateway
