#pragma once

#include "telemetry/trace.h"
#include "wire/messages.h"

#include <functional>
#include <string_view>

namespace banyancroft::daemon {

/** Wall-clock time in nanoseconds since the Unix epoch, the unit of span times. */
std::uint64_t unixNanos();

/**
 * Records a span at the home for each sub-request of the batch, below the entry's span.
 * @param traceparent as sent by the entry; nothing is recorded unless it is sampled
 * @param name name of the spans, for example `home.search`
 */
void recordHopSpans(telemetry::TraceRing& traces, std::string_view traceparent, std::string_view name,
    const wire::SubreplyBatch& batch, const std::function<std::uint64_t()>& random);

} // namespace banyancroft::daemon
