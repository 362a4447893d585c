#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace banyancroft::telemetry {

/** Identity of a span within a trace, as carried by the W3C `traceparent` header. */
struct TraceContext {
    /** 32 lower-case hexadecimal digits, not all zero. */
    std::string traceId;
    /** 16 lower-case hexadecimal digits, not all zero. */
    std::string spanId;
    /** When false, daemons propagate the trace context and record no spans. */
    bool sampled = true;

    /** The header value, version 00. */
    std::string traceparent() const;
};

/** Reads a `traceparent` value; empty when it does not follow https://www.w3.org/TR/trace-context/. */
std::optional<TraceContext> parseTraceparent(std::string_view header);

/**
 * Starts a child of the span in the given header, or a new trace when the header is empty or malformed. One
 * in 64 new traces is sampled; a caller who wants the spans of a query sends a sampled header.
 * @param random source of 64 random bits
 */
TraceContext startSpan(std::string_view traceparent, const std::function<std::uint64_t()>& random);

/** One timed step of a request. */
struct Span {
    TraceContext context;
    /** Empty for the first span of a trace. */
    std::string parentSpanId;
    std::string name;
    /** Wall-clock times in nanoseconds since 1970, as OTLP requires. */
    std::uint64_t startUnixNanos = 0;
    std::uint64_t endUnixNanos = 0;
    struct Attribute {
        std::string key;
        std::string value;
    };
    std::vector<Attribute> attributes;
    bool failed = false;
};

/** Spans as an OTLP/JSON ExportTraceServiceRequest. */
std::string toOtlpJson(const std::vector<Span>& spans, std::string_view vm);

/**
 * Keeps the most recent spans and explain records in memory, for `explain` and for export.
 * Thread-safe. The oldest trace is dropped when the limit is reached.
 */
class TraceRing {
public:
    /** @param capacity maximum number of traces kept */
    explicit TraceRing(std::size_t capacity);

    void addSpan(Span span);
    /** Attaches the record (JSON text) that `explain` prints for this trace. */
    void setExplainRecord(const std::string& traceId, std::string record);

    std::optional<std::string> explainRecord(const std::string& traceId) const;
    std::vector<Span> spans(const std::string& traceId) const;

private:
    struct Entry {
        std::vector<Span> spans;
        std::string record;
    };

    Entry& entry(const std::string& traceId);

    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::unordered_map<std::string, Entry> entries_;
    std::vector<std::string> order_;
    std::size_t nextSlot_ = 0;
};

} // namespace banyancroft::telemetry
