#include "wire/codec.h"

#include <cassert>
#include <msgpack.hpp>

#include <type_traits>

// Each message is written as a msgpack array of its fields; the order of fields is the format.
namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    template <typename Tag> struct convert<banyancroft::StringId<Tag>> {
        const msgpack::object& operator()(const msgpack::object& object, banyancroft::StringId<Tag>& id) const
        {
            id = banyancroft::StringId<Tag>(object.as<std::string>());
            return object;
        }
    };

    template <typename Tag> struct pack<banyancroft::StringId<Tag>> {
        template <typename Stream>
        packer<Stream>& operator()(msgpack::packer<Stream>& out, const banyancroft::StringId<Tag>& id) const
        {
            return out.pack(id.str());
        }
    };

    template <typename Tag> struct convert<banyancroft::NumberId<Tag>> {
        const msgpack::object& operator()(const msgpack::object& object, banyancroft::NumberId<Tag>& id) const
        {
            id.value = object.as<std::uint64_t>();
            return object;
        }
    };

    template <typename Tag> struct pack<banyancroft::NumberId<Tag>> {
        template <typename Stream>
        packer<Stream>& operator()(msgpack::packer<Stream>& out, const banyancroft::NumberId<Tag>& id) const
        {
            return out.pack_uint64(id.value);
        }
    };

    template <> struct convert<banyancroft::Outcome> {
        const msgpack::object& operator()(const msgpack::object& object, banyancroft::Outcome& outcome) const
        {
            auto value = banyancroft::outcomeFromNumber(object.as<std::uint64_t>());
            if (!value)
                throw msgpack::type_error();
            outcome = *value;
            return object;
        }
    };

    template <> struct pack<banyancroft::Outcome> {
        template <typename Stream>
        packer<Stream>& operator()(msgpack::packer<Stream>& out, banyancroft::Outcome outcome) const
        {
            return out.pack_uint8(static_cast<std::uint8_t>(outcome));
        }
    };

    template <> struct convert<banyancroft::Reason> {
        const msgpack::object& operator()(const msgpack::object& object, banyancroft::Reason& reason) const
        {
            auto value = banyancroft::reasonFromNumber(object.as<std::uint64_t>());
            if (!value)
                throw msgpack::type_error();
            reason = *value;
            return object;
        }
    };

    template <> struct pack<banyancroft::Reason> {
        template <typename Stream>
        packer<Stream>& operator()(msgpack::packer<Stream>& out, banyancroft::Reason reason) const
        {
            return out.pack_uint8(static_cast<std::uint8_t>(reason));
        }
    };

    } // namespace adaptor
}
} // namespace msgpack

// Defines the conversions of a message outside the struct, so that messages.h does not include msgpack.
#define BANYANCROFT_WIRE_FIELDS(Type, ...)                                                                   \
    namespace msgpack {                                                                                      \
    MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)                                                    \
    {                                                                                                        \
        namespace adaptor {                                                                                  \
        template <> struct convert<banyancroft::wire::Type> {                                                \
            const msgpack::object& operator()(                                                               \
                const msgpack::object& object, banyancroft::wire::Type& message) const                       \
            {                                                                                                \
                using Self = banyancroft::wire::Type;                                                        \
                convertFields<Self>(object, message, __VA_ARGS__);                                           \
                return object;                                                                               \
            }                                                                                                \
        };                                                                                                   \
        template <> struct pack<banyancroft::wire::Type> {                                                   \
            template <typename Stream>                                                                       \
            packer<Stream>& operator()(                                                                      \
                msgpack::packer<Stream>& out, const banyancroft::wire::Type& message) const                  \
            {                                                                                                \
                using Self = banyancroft::wire::Type;                                                        \
                return packFields<Self>(out, message, __VA_ARGS__);                                          \
            }                                                                                                \
        };                                                                                                   \
        }                                                                                                    \
    }                                                                                                        \
    }

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    // Arrays must have exactly the fields of this version, so that a truncated message is rejected.
    template <typename Message, typename... Members>
    void convertFields(const msgpack::object& object, Message& message, Members... members)
    {
        if (object.type != msgpack::type::ARRAY || object.via.array.size != sizeof...(members))
            throw msgpack::type_error();
        const msgpack::object* field = object.via.array.ptr;
        ((field++)->convert(message.*members), ...);
    }

    template <typename Message, typename Stream, typename... Members>
    packer<Stream>& packFields(msgpack::packer<Stream>& out, const Message& message, Members... members)
    {
        out.pack_array(sizeof...(members));
        (out.pack(message.*members), ...);
        return out;
    }

    } // namespace adaptor
}
} // namespace msgpack

BANYANCROFT_WIRE_FIELDS(
    Hello, &Self::vm, &Self::incarnation, &Self::zone, &Self::configVersion, &Self::control)
BANYANCROFT_WIRE_FIELDS(SubrequestItem, &Self::sequence, &Self::upstream, &Self::shards, &Self::hedge)
BANYANCROFT_WIRE_FIELDS(SubrequestBatch, &Self::query, &Self::remainingMicros, &Self::traceparent,
    &Self::collection, &Self::layout, &Self::index, &Self::where, &Self::limit, &Self::items)
BANYANCROFT_WIRE_FIELDS(SubreplyItem, &Self::sequence, &Self::upstream, &Self::outcome, &Self::reason,
    &Self::layout, &Self::index, &Self::rows, &Self::load, &Self::cold, &Self::servedIndexes,
    &Self::servedLayouts, &Self::detail, &Self::elapsedMicros)
BANYANCROFT_WIRE_FIELDS(SubreplyBatch, &Self::query, &Self::items)
BANYANCROFT_WIRE_FIELDS(Cancel, &Self::query, &Self::sequences)
BANYANCROFT_WIRE_FIELDS(SubmitRequest, &Self::query, &Self::sequence, &Self::remainingMicros,
    &Self::traceparent, &Self::upstream, &Self::operation, &Self::key, &Self::payload)
BANYANCROFT_WIRE_FIELDS(ZoneView, &Self::zone, &Self::view)
BANYANCROFT_WIRE_FIELDS(Digest, &Self::configVersion, &Self::views)
BANYANCROFT_WIRE_FIELDS(StateRequest, &Self::knownConfigVersion, &Self::knownViews)
BANYANCROFT_WIRE_FIELDS(EncodedView, &Self::zone, &Self::view, &Self::text)
BANYANCROFT_WIRE_FIELDS(StateReply, &Self::config, &Self::views)
BANYANCROFT_WIRE_FIELDS(PromiseRequest, &Self::zone, &Self::view, &Self::requestNumber)
BANYANCROFT_WIRE_FIELDS(Promise, &Self::zone, &Self::view, &Self::requestNumber, &Self::durationMicros)

namespace banyancroft::wire {

namespace {

// Adapts a std::string to the stream interface that msgpack::packer requires.
struct StringSink {
    std::string& out;
    void write(const char* data, std::size_t size) { out.append(data, size); }
};

// The deepest message has 4 levels; the limit protects against deep recursion on hostile input.
constexpr std::size_t maxNesting = 8;

template <std::size_t Index = 0>
std::optional<Message> convertAlternative(std::uint64_t type, const msgpack::object& body)
{
    if constexpr (Index == std::variant_size_v<Message>) {
        return std::nullopt;
    } else {
        if (type != Index)
            return convertAlternative<Index + 1>(type, body);
        return Message(std::in_place_index<Index>, body.as<std::variant_alternative_t<Index, Message>>());
    }
}

std::size_t frameLength(std::string_view header)
{
    std::size_t length = 0;
    for (char byte : header.substr(0, frameHeaderBytes))
        length = (length << 8) | static_cast<unsigned char>(byte);
    return length;
}

} // namespace

void appendFrame(const Message& message, std::string& out)
{
    const std::size_t start = out.size();
    out.append(frameHeaderBytes, '\0');
    StringSink sink { out };
    msgpack::packer<StringSink> packer(sink);
    packer.pack_array(2);
    packer.pack_uint64(message.index());
    std::visit([&](const auto& body) { packer.pack(body); }, message);
    const std::size_t length = out.size() - start - frameHeaderBytes;
    assert(length <= maxMessageBytes && "split the batch before encoding it");
    for (std::size_t i = 0; i < frameHeaderBytes; ++i)
        out[start + i] = static_cast<char>(length >> (8 * (frameHeaderBytes - 1 - i)));
}

std::optional<Message> decode(std::string_view bytes, Error& reason)
{
    try {
        std::size_t offset = 0;
        const msgpack::unpack_limit limit(maxMessageBytes / 4, maxMessageBytes / 4, maxMessageBytes,
            maxMessageBytes, maxMessageBytes, maxNesting);
        msgpack::object_handle handle
            = msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        const msgpack::object& object = handle.get();
        const bool isPair = object.type == msgpack::type::ARRAY && object.via.array.size == 2;
        if (isPair && offset == bytes.size()) {
            auto message
                = convertAlternative(object.via.array.ptr[0].as<std::uint64_t>(), object.via.array.ptr[1]);
            if (message)
                return message;
        }
        reason = { ErrorKind::MalformedMessage, "message has an unknown type or trailing bytes",
            "run the same version on all daemons" };
    } catch (const std::exception& error) {
        reason = { ErrorKind::MalformedMessage, std::string("message cannot be decoded: ") + error.what(),
            "run the same version on all daemons" };
    }
    return std::nullopt;
}

std::optional<Message> FrameReader::next(Error& reason)
{
    std::string_view rest = std::string_view(buffer_).substr(consumed_);
    const bool hasHeader = rest.size() >= frameHeaderBytes;
    const std::size_t length = hasHeader ? frameLength(rest) : 0;
    if (length > maxMessageBytes) {
        reason = { ErrorKind::MalformedMessage,
            "frame of " + std::to_string(length) + " bytes exceeds the limit of 16 MiB",
            "check that the peer address belongs to a banyancroft daemon" };
        return std::nullopt;
    }
    if (!hasHeader || rest.size() - frameHeaderBytes < length) {
        buffer_.erase(0, consumed_);
        consumed_ = 0;
        return std::nullopt;
    }
    consumed_ += frameHeaderBytes + length;
    return decode(rest.substr(frameHeaderBytes, length), reason);
}

} // namespace banyancroft::wire
