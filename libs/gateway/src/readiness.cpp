#include "readiness.h"

namespace banyancroft::gateway {

namespace {

/** Part of the longest stop after which the balancer has seen two failed probes, at one a second. */
constexpr double noticedPart = 0.45;
/** Part of the longest stop that is left for the process to end in. */
constexpr double exitPart = 0.9;

} // namespace

bool isReady(const ReadinessInputs& inputs)
{
    return inputs.hasConfiguration && inputs.hasRegistrations && !inputs.isStopping && !inputs.isCutOff;
}

StopStep stopStep(Duration sinceStop, Duration grace, std::size_t busy)
{
    if (sinceStop >= scaled(grace, exitPart))
        return StopStep::Exit;
    if (sinceStop < scaled(grace, noticedPart))
        return StopStep::KeepAccepting;
    return busy == 0 ? StopStep::Exit : StopStep::Finish;
}

} // namespace banyancroft::gateway
