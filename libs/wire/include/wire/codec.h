#pragma once

#include "base/error.h"
#include "wire/messages.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace banyancroft::wire {

/** Size of the big-endian length prefix of each message, in bytes. */
constexpr std::size_t frameHeaderBytes = 4;
/** Maximum message size in bytes; a longer message closes the connection. */
constexpr std::size_t maxMessageBytes = 16 * 1024 * 1024;

/** Appends the message to `out` as one frame: length, then a msgpack array [type, fields…]. */
void appendFrame(const Message& message, std::string& out);

/**
 * Reads one message from the bytes behind a frame header.
 * @return empty with ErrorKind::MalformedMessage when the bytes are not a message of this protocol
 */
std::optional<Message> decode(std::string_view bytes, Error& reason);

/**
 * Splits a byte stream into messages.
 *
 *     frames.append(bytes);
 *     while (auto message = frames.next(reason))
 *         handle(*message);
 *     if (reason)
 *         close();
 *
 * Owned by one connection; not thread-safe.
 */
class FrameReader {
public:
    void append(std::string_view bytes) { buffer_.append(bytes); }

    /** Next complete message; empty with no reason set when more bytes are needed. */
    std::optional<Message> next(Error& reason);

private:
    std::string buffer_;
    std::size_t consumed_ = 0;
};

} // namespace banyancroft::wire
