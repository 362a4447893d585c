#include "answer_time.h"

#include <algorithm>

namespace banyancroft::gateway {

namespace {

/** Time between the decision to answer and the last byte on the link of the VM. */
constexpr Duration answerMargin = std::chrono::milliseconds(3);
/** Time of a whole core to send one sub-request: about half of what gateway_benchmark measures for sending
 * one and reading its answer. */
constexpr Duration sendTime = std::chrono::microseconds(10);
/** A VM has at least this part of a core; less is taken for a setting that is missing. */
constexpr double leastProcessors = 0.01;

} // namespace

Duration wayBack(const AnswerTimeInputs& inputs) { return 2 * inputs.callerDelay + answerMargin; }

TimePoint answerTime(const AnswerTimeInputs& inputs)
{
    // Callers count from the opening of the connection, which took a round trip more.
    const auto opening = inputs.openedConnection ? 2 * inputs.callerDelay : Duration::zero();
    const auto processors = std::max(inputs.processors, leastProcessors);
    const auto busy = scaled(sendTime, static_cast<double>(inputs.shards) / processors);
    return inputs.arrivedAt + inputs.objective - inputs.spentBefore - opening - wayBack(inputs) - busy;
}

} // namespace banyancroft::gateway
