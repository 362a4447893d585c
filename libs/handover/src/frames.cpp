#include "handover/frames.h"

#include "json/bounded_parser.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace banyancroft::handover {

namespace {

using Json = nlohmann::json;

constexpr std::size_t lengthBytes = 4;
/** Consumed bytes are discarded from the buffer once there are this many. */
constexpr std::size_t compactAtBytes = 64 * 1024;

enum class FrameType : std::uint8_t {
    Offer = 1,
    Acceptance,
    Decline,
    Begin,
    Answer,
    Cancel,
    Status,
    StatusQuery,
    UpstreamLeaving,
    CreditRequest,
    CreditReply,
    CreditReturn,
};

std::uint64_t bigEndian(std::string_view bytes)
{
    std::uint64_t value = 0;
    for (const char byte : bytes)
        value = (value << 8) | static_cast<unsigned char>(byte);
    return value;
}

template <typename... Values> Json message(FrameType type, Values&&... values)
{
    return Json::array({ static_cast<unsigned>(type), std::forward<Values>(values)... });
}

Json toJson(const Offer& offer)
{
    return message(FrameType::Offer, offer.number, offer.configurationVersion, offer.request);
}

Json toJson(const Acceptance& acceptance)
{
    return message(FrameType::Acceptance, acceptance.number, acceptance.configurationVersion);
}

Json toJson(const Decline& decline)
{
    return message(FrameType::Decline, decline.number, static_cast<unsigned>(decline.reason),
        decline.configurationVersion);
}

Json toJson(const Begin& begin)
{
    return message(FrameType::Begin, begin.number, toMicros(begin.elapsed), toMicros(begin.returnDelay),
        begin.openedConnection);
}

Json toJson(const Answer& answer)
{
    auto fields = Json::array();
    for (const auto& [name, value] : answer.response.fields)
        fields.push_back(Json::array({ name, value }));
    return message(
        FrameType::Answer, answer.number, answer.response.status, std::move(fields), answer.response.body);
}

Json toJson(const Cancel& cancel) { return message(FrameType::Cancel, cancel.number); }

Json toJson(const Status& status)
{
    return message(FrameType::Status, status.accepting,
        status.cutOffFor ? Json(toMicros(*status.cutOffFor)) : Json(), status.utilization);
}

Json toJson(const StatusQuery&) { return message(FrameType::StatusQuery); }

Json toJson(const UpstreamLeaving& leaving)
{
    return message(FrameType::UpstreamLeaving, leaving.upstream.str(), leaving.startedAtUnixMillis);
}

Json toJson(const CreditRequest& request)
{
    return message(FrameType::CreditRequest, request.number, request.customer.str(), request.asker.str(),
        request.isLate);
}

Json toJson(const CreditReply& reply)
{
    return message(FrameType::CreditReply, reply.number, static_cast<unsigned>(reply.decision),
        toMicros(reply.retryAfter));
}

Json toJson(const CreditReturn& credit) { return message(FrameType::CreditReturn, credit.customer.str()); }

Duration micros(const Json& json)
{
    constexpr std::int64_t maxMicros = std::int64_t { 24 } * 3600 * 1000 * 1000;
    const auto count = json.get<std::int64_t>();
    if (!json.is_number_integer() || count < 0 || count > maxMicros)
        throw std::invalid_argument("duration is out of range");
    return std::chrono::microseconds(count);
}

Decline parseDecline(const Json& json)
{
    const auto reason = json.at(2).get<unsigned>();
    if (reason > static_cast<unsigned>(DeclineReason::Malformed))
        throw std::invalid_argument("unknown reason " + std::to_string(reason));
    return { json.at(1), static_cast<DeclineReason>(reason), json.at(3) };
}

CreditReply parseCreditReply(const Json& json)
{
    const auto decision = json.at(2).get<unsigned>();
    if (decision > static_cast<unsigned>(CreditDecision::NotOwner))
        throw std::invalid_argument("unknown credit decision " + std::to_string(decision));
    return { json.at(1), static_cast<CreditDecision>(decision), micros(json.at(3)) };
}

Answer parseAnswer(const Json& json)
{
    Answer answer;
    json.at(1).get_to(answer.number);
    json.at(2).get_to(answer.response.status);
    for (const auto& field : json.at(3))
        answer.response.fields.emplace_back(field.at(0).get<std::string>(), field.at(1).get<std::string>());
    json.at(4).get_to(answer.response.body);
    return answer;
}

Status parseStatus(const Json& json)
{
    Status status;
    json.at(1).get_to(status.accepting);
    if (!json.at(2).is_null())
        status.cutOffFor = micros(json.at(2));
    json.at(3).get_to(status.utilization);
    return status;
}

Frame parseFrame(const Json& json)
{
    switch (static_cast<FrameType>(json.at(0).get<unsigned>())) {
    case FrameType::Offer:
        return Offer { json.at(1), json.at(2), json.at(3) };
    case FrameType::Acceptance:
        return Acceptance { json.at(1), json.at(2) };
    case FrameType::Decline:
        return parseDecline(json);
    case FrameType::Begin:
        return Begin { json.at(1), micros(json.at(2)), micros(json.at(3)), json.at(4) };
    case FrameType::Answer:
        return parseAnswer(json);
    case FrameType::Cancel:
        return Cancel { json.at(1) };
    case FrameType::Status:
        return parseStatus(json);
    case FrameType::StatusQuery:
        return StatusQuery {};
    case FrameType::UpstreamLeaving:
        return UpstreamLeaving { UpstreamId(json.at(1).get<std::string>()), json.at(2) };
    case FrameType::CreditRequest:
        return CreditRequest { json.at(1), CustomerId(json.at(2).get<std::string>()),
            VmId(json.at(3).get<std::string>()), json.at(4) };
    case FrameType::CreditReply:
        return parseCreditReply(json);
    case FrameType::CreditReturn:
        return CreditReturn { CustomerId(json.at(1).get<std::string>()) };
    }
    throw std::invalid_argument("unknown frame type");
}

} // namespace

std::string_view toString(DeclineReason reason)
{
    switch (reason) {
    case DeclineReason::Stopping:
        return "stopping";
    case DeclineReason::NotDispatching:
        return "not dispatching";
    case DeclineReason::OlderConfiguration:
        return "older configuration";
    case DeclineReason::Overloaded:
        return "overloaded";
    case DeclineReason::Lapsed:
        return "lapsed";
    case DeclineReason::Malformed:
        return "malformed request";
    }
    return "unknown";
}

std::string encode(const Frame& frame)
{
    const auto json = std::visit([](const auto& value) { return toJson(value); }, frame);
    std::string bytes(lengthBytes, '\0');
    Json::to_msgpack(json, bytes);
    const auto length = bytes.size() - lengthBytes;
    for (std::size_t i = 0; i < lengthBytes; ++i)
        bytes[i] = static_cast<char>((length >> (8 * (lengthBytes - 1 - i))) & 0xFF);
    return bytes;
}

void FrameReader::append(std::string_view bytes)
{
    const auto skipped = std::min(skippedBytes_, bytes.size());
    skippedBytes_ -= skipped;
    buffer_.append(bytes.substr(skipped));
}

std::optional<std::size_t> FrameReader::nextLength() const
{
    const auto available = std::string_view(buffer_).substr(consumed_);
    if (available.size() < lengthBytes)
        return std::nullopt;
    return static_cast<std::size_t>(bigEndian(available.substr(0, lengthBytes)));
}

std::size_t FrameReader::incompleteBytes() const
{
    const auto length = nextLength();
    return length && buffer_.size() - consumed_ < lengthBytes + *length ? lengthBytes + *length : 0;
}

std::optional<SkippedFrame> FrameReader::skipIncomplete()
{
    // A MessagePack array of up to 15 elements, the type in one byte, and the number in up to nine.
    constexpr std::size_t headBytes = 11;
    const auto frameBytes = incompleteBytes();
    const auto available = std::string_view(buffer_).substr(consumed_);
    if (frameBytes < lengthBytes + headBytes || available.size() < lengthBytes + headBytes)
        return std::nullopt;
    const auto head = available.substr(lengthBytes, headBytes);
    const auto type = static_cast<FrameType>(head[1]);
    SkippedFrame skipped { type == FrameType::Offer, type == FrameType::Answer, 0 };
    constexpr unsigned char uint8Tag = 0xcc;
    constexpr unsigned char uint64Tag = 0xcf;
    const auto tag = static_cast<unsigned char>(head[2]);
    if (tag < 0x80) {
        skipped.number = tag;
    } else if (tag >= uint8Tag && tag <= uint64Tag) {
        skipped.number = bigEndian(head.substr(3, std::size_t { 1 } << (tag - uint8Tag)));
    } else {
        return std::nullopt;
    }
    skippedBytes_ = frameBytes - available.size();
    // The memory is short, so none is kept for later frames.
    buffer_ = std::string();
    consumed_ = 0;
    return skipped;
}

std::optional<Frame> FrameReader::next(Error& reason)
{
    const auto available = std::string_view(buffer_).substr(consumed_);
    const auto announced = nextLength();
    if (!announced)
        return std::nullopt;
    const auto length = *announced;
    if (length > maxFrameBytes_) {
        reason = { ErrorKind::MalformedMessage,
            "frame of " + std::to_string(length) + " bytes exceeds the limit of "
                + std::to_string(maxFrameBytes_),
            "check that all VMs run the same version" };
        return std::nullopt;
    }
    if (available.size() < lengthBytes + length)
        return std::nullopt;
    std::optional<Frame> frame;
    try {
        frame = parseFrame(json::parseMessagePack(available.substr(lengthBytes, length)));
    } catch (const std::exception& error) {
        reason = { ErrorKind::MalformedMessage, error.what(), "check that all VMs run the same version" };
        return std::nullopt;
    }
    consumed_ += lengthBytes + length;
    if (consumed_ == buffer_.size() || consumed_ >= compactAtBytes) {
        buffer_.erase(0, consumed_);
        consumed_ = 0;
    }
    return frame;
}

} // namespace banyancroft::handover
