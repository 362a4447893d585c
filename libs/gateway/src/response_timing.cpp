#include "response_timing.h"

#include <algorithm>

namespace banyancroft::gateway {

namespace {

/** Time from the decision to respond until the last byte has left the VM. */
constexpr Duration responseMargin = std::chrono::milliseconds(3);
/** CPU time for sending one sub-request: about half of the time that gateway_benchmark reports for sending
 * it and reading its response. */
constexpr Duration sendCpuTime = std::chrono::microseconds(10);
/** Lower bound for the number of cores; smaller values mean that the setting is missing. */
constexpr double minProcessors = 0.01;

} // namespace

Duration responseDelay(const ResponseTimingInputs& inputs)
{
    return 2 * inputs.callerDelay + inputs.returnDelay + responseMargin;
}

TimePoint partialResponseTime(const ResponseTimingInputs& inputs)
{
    // Callers measure from the start of the connection handshake, which adds a round trip.
    const auto opening = inputs.openedConnection ? 2 * inputs.callerDelay : Duration::zero();
    const auto processors = std::max(inputs.processors, minProcessors);
    const auto busy = scaled(sendCpuTime, static_cast<double>(inputs.shards) / processors);
    return inputs.arrivedAt + inputs.objective - inputs.previousAttemptsTime - opening - responseDelay(inputs)
        - busy;
}

} // namespace banyancroft::gateway
