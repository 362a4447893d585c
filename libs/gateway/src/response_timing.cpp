#include "response_timing.h"

#include <algorithm>

namespace banyancroft::gateway {

namespace {

/** Time between the decision to answer and the last byte on the link of the VM. */
constexpr Duration responseMargin = std::chrono::milliseconds(3);
/** Time of a whole core to send one sub-request: about half of what gateway_benchmark measures for sending
 * one and reading its answer. */
constexpr Duration sendCpuTime = std::chrono::microseconds(10);
/** A VM has at least this part of a core; less is taken for a setting that is missing. */
constexpr double minProcessors = 0.01;

} // namespace

Duration responseDelay(const ResponseTimingInputs& inputs) { return 2 * inputs.callerDelay + responseMargin; }

TimePoint partialResponseTime(const ResponseTimingInputs& inputs)
{
    // Callers count from the opening of the connection, which took a round trip more.
    const auto opening = inputs.openedConnection ? 2 * inputs.callerDelay : Duration::zero();
    const auto processors = std::max(inputs.processors, minProcessors);
    const auto busy = scaled(sendCpuTime, static_cast<double>(inputs.shards) / processors);
    return inputs.arrivedAt + inputs.objective - inputs.previousAttemptsTime - opening - responseDelay(inputs)
        - busy;
}

} // namespace banyancroft::gateway
