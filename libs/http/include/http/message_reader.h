#pragma once

#include "http/head.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace banyancroft::http {

/** Most bytes of a message that a reader accepts. */
struct ReadLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
};

/** Where a message is after some bytes were read. */
enum class ReadState {
    /** More bytes are needed. */
    Incomplete,
    Complete,
    /** The bytes are no HTTP message. */
    Malformed,
    HeaderTooLong,
    BodyTooLong,
};

/** A request as it was read. */
struct RequestHead {
    std::string method;
    std::string target;
    FieldList fields;
};

/** A response as it was read. */
struct ResponseHead {
    unsigned status = 0;
    FieldList fields;
    /** The body has a length or is chunked, so its end is known without the connection's end. */
    bool hasFraming = true;
};

/**
 * Reads HTTP/1.1 messages of one kind from a connection, one after the other.
 *
 *     reader.begin();
 *     auto state = reader.read(bytes, consumed);
 *
 * Owned by the connection's thread.
 */
class MessageReader {
public:
    enum class Kind { Request, Response };

    MessageReader(Kind kind, ReadLimits limits);
    ~MessageReader();

    /** Forgets the message read before. @param withoutBody true for the answer to a HEAD request */
    void begin(bool withoutBody = false);
    /**
     * @param bytes unread bytes from the start of the message or from where the last call stopped
     * @param consumed set to the number of bytes that are read and need not be offered again
     */
    ReadState read(std::string_view bytes, std::size_t& consumed);
    /** The peer closed its side; Complete when the message ends with the connection. */
    ReadState end();

    /** True once any byte of a message has been read. */
    bool hasStarted() const;
    bool isHeaderDone() const;
    /** True when the connection may carry another message after this one. */
    bool keepsAlive() const;
    const RequestHead& request() const;
    const ResponseHead& response() const;
    std::string& body();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace banyancroft::http
