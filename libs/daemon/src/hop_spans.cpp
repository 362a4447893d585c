#include "hop_spans.h"

#include <chrono>

namespace banyancroft::daemon {

std::uint64_t unixNanos()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(sinceEpoch).count());
}

void recordHopSpans(telemetry::TraceRing& traces, std::string_view traceparent, std::string_view name,
    const wire::SubreplyBatch& batch, const std::function<std::uint64_t()>& random)
{
    const auto parent = telemetry::parseTraceparent(traceparent);
    if (!parent || !parent->sampled)
        return;
    const std::uint64_t end = unixNanos();
    for (const auto& item : batch.items) {
        telemetry::Span span;
        span.context = telemetry::startSpan(traceparent, random);
        span.parentSpanId = parent->spanId;
        span.name = std::string(name);
        span.startUnixNanos = end - item.elapsedMicros * 1000;
        span.endUnixNanos = end;
        span.attributes
            = { { "upstream", item.upstream.str() }, { "outcome", std::string(toString(item.outcome)) },
                  { "reason", std::string(toString(item.reason)) } };
        if (!item.detail.empty())
            span.attributes.push_back({ "detail", item.detail });
        span.failed = item.outcome != Outcome::Done;
        traces.addSpan(std::move(span));
    }
}

} // namespace banyancroft::daemon
