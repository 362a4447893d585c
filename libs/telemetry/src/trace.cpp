#include "telemetry/trace.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace banyancroft::telemetry {

namespace {

constexpr std::size_t traceIdDigits = 32;
constexpr std::size_t spanIdDigits = 16;
// One in this many new traces is sampled: a query makes a span per sub-request, and at the planned size
// 51,250 sub-requests per second pass through a daemon.
constexpr std::uint64_t sampleOneIn = 64;
// Further spans of a trace are dropped, so that one caller cannot exhaust the memory.
constexpr std::size_t maxSpansPerTrace = 2048;

bool isLowerHex(std::string_view text)
{
    return std::all_of(
        text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool isId(std::string_view text, std::size_t digits)
{
    return text.size() == digits && isLowerHex(text) && text.find_first_not_of('0') != std::string_view::npos;
}

void appendHex(std::uint64_t value, std::string& out)
{
    constexpr std::string_view digits = "0123456789abcdef";
    for (int shift = 60; shift >= 0; shift -= 4)
        out.push_back(digits[(value >> shift) & 0xf]);
}

} // namespace

std::string TraceContext::traceparent() const
{
    return "00-" + traceId + "-" + spanId + (sampled ? "-01" : "-00");
}

std::optional<TraceContext> parseTraceparent(std::string_view header)
{
    constexpr std::size_t length = 2 + 1 + traceIdDigits + 1 + spanIdDigits + 1 + 2;
    if (header.size() < length || header[2] != '-' || header[35] != '-' || header[52] != '-')
        return std::nullopt;
    const std::string_view version = header.substr(0, 2);
    if (!isLowerHex(version) || version == "ff" || !isLowerHex(header.substr(53, 2)))
        return std::nullopt;
    // Later versions may append fields after a dash; version 00 has none.
    const bool hasMore = header.size() > length;
    if (hasMore && (version == "00" || header[length] != '-'))
        return std::nullopt;
    const std::string_view traceId = header.substr(3, traceIdDigits);
    const std::string_view spanId = header.substr(36, spanIdDigits);
    if (!isId(traceId, traceIdDigits) || !isId(spanId, spanIdDigits))
        return std::nullopt;
    constexpr unsigned sampledFlag = 1;
    const char lastDigit = header[54];
    const unsigned flags = static_cast<unsigned>(lastDigit <= '9' ? lastDigit - '0' : lastDigit - 'a' + 10);
    return TraceContext { std::string(traceId), std::string(spanId), (flags & sampledFlag) != 0 };
}

TraceContext startSpan(std::string_view traceparent, const std::function<std::uint64_t()>& random)
{
    TraceContext context;
    if (auto parent = parseTraceparent(traceparent)) {
        context.traceId = parent->traceId;
        context.sampled = parent->sampled;
    } else {
        appendHex(random() | 1, context.traceId);
        appendHex(random(), context.traceId);
        context.sampled = random() % sampleOneIn == 0;
    }
    appendHex(random() | 1, context.spanId);
    return context;
}

std::string toOtlpJson(const std::vector<Span>& spans, std::string_view vm)
{
    using Json = nlohmann::ordered_json;
    constexpr int statusError = 2;
    constexpr int kindInternal = 1;
    auto attribute = [](std::string_view key, std::string_view value) {
        return Json { { "key", key }, { "value", { { "stringValue", value } } } };
    };
    Json list = Json::array();
    for (const auto& span : spans) {
        Json attributes = Json::array();
        for (const auto& [key, value] : span.attributes)
            attributes.push_back(attribute(key, value));
        Json item { { "traceId", span.context.traceId }, { "spanId", span.context.spanId },
            { "parentSpanId", span.parentSpanId }, { "name", span.name }, { "kind", kindInternal },
            { "startTimeUnixNano", std::to_string(span.startUnixNanos) },
            { "endTimeUnixNano", std::to_string(span.endUnixNanos) },
            { "attributes", std::move(attributes) } };
        if (span.failed)
            item["status"] = { { "code", statusError } };
        list.push_back(std::move(item));
    }
    Json resource { { "attributes",
        Json::array({ attribute("service.name", "banyancroftd"), attribute("host.name", vm) }) } };
    Json scopeSpans
        = Json::array({ { { "scope", { { "name", "banyancroft" } } }, { "spans", std::move(list) } } });
    Json request { { "resourceSpans",
        Json::array({ { { "resource", std::move(resource) }, { "scopeSpans", std::move(scopeSpans) } } }) } };
    return request.dump(-1, ' ', false, Json::error_handler_t::replace);
}

TraceRing::TraceRing(std::size_t capacity)
    : capacity_(std::max<std::size_t>(1, capacity))
{
}

TraceRing::Entry& TraceRing::entry(const std::string& traceId)
{
    auto [position, inserted] = entries_.try_emplace(traceId);
    if (!inserted)
        return position->second;
    if (order_.size() < capacity_) {
        order_.push_back(traceId);
    } else {
        entries_.erase(order_[nextSlot_]);
        order_[nextSlot_] = traceId;
        nextSlot_ = (nextSlot_ + 1) % capacity_;
    }
    return entries_.at(traceId);
}

void TraceRing::addSpan(Span span)
{
    std::lock_guard lock(mutex_);
    auto& spans = entry(span.context.traceId).spans;
    if (spans.size() < maxSpansPerTrace)
        spans.push_back(std::move(span));
}

void TraceRing::setExplainRecord(const std::string& traceId, std::string record)
{
    std::lock_guard lock(mutex_);
    entry(traceId).record = std::move(record);
}

std::optional<std::string> TraceRing::explainRecord(const std::string& traceId) const
{
    std::lock_guard lock(mutex_);
    auto position = entries_.find(traceId);
    if (position == entries_.end() || position->second.record.empty())
        return std::nullopt;
    return position->second.record;
}

std::vector<Span> TraceRing::spans(const std::string& traceId) const
{
    std::lock_guard lock(mutex_);
    auto position = entries_.find(traceId);
    return position == entries_.end() ? std::vector<Span> {} : position->second.spans;
}

} // namespace banyancroft::telemetry
