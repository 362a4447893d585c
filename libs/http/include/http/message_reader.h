#pragma once

#include "http/head.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace banyancroft::http {

/** Maximum sizes of a message that a reader accepts. */
struct ReadLimits {
    /** Also the limit on the trailers, and on all chunk extensions of a message together. */
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
};

/** State of the current message after a call of MessageReader::read(). */
enum class ReadState {
    /** More bytes are needed. */
    Incomplete,
    Complete,
    /** The bytes are not a valid HTTP message, or a response has an invalid status. */
    Malformed,
    HeaderTooLong,
    BodyTooLong,
};

/** Request line and header fields of a request. */
struct RequestHead {
    std::string method;
    std::string target;
    FieldList fields;

    /** Memory that the head holds, used or not. */
    std::size_t memoryBytes() const { return method.capacity() + target.capacity() + fields.memoryBytes(); }
};

/** True for an interim status that another response follows; false for 101, which no request here asks for.
 */
constexpr bool isInterimStatus(unsigned status) { return status >= 100 && status < 200 && status != 101; }
/** True for the statuses of a final response, 200 to 599. */
constexpr bool isFinalStatus(unsigned status) { return status >= 200 && status < 600; }

/** Status and header fields of a response. */
struct ResponseHead {
    unsigned status = 0;
    FieldList fields;
    /** True when a length or chunked encoding delimits the body; otherwise it ends with the connection. */
    bool hasFraming = true;
};

/**
 * Parses consecutive HTTP/1.1 messages of one kind from a connection.
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

    /** Discards the previous message. @param withoutBody true for the response to a HEAD request */
    void begin(bool withoutBody = false);
    /**
     * @param bytes unread bytes from the start of the message or from where the last call stopped
     * @param consumed set to the number of bytes that were consumed and must not be passed again
     */
    ReadState read(std::string_view bytes, std::size_t& consumed);
    /** Reports that the peer closed its side. @return Complete when the message ends with the connection */
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

    ReadState parse(std::string_view bytes, std::size_t& consumed);

    std::unique_ptr<Impl> impl_;
};

} // namespace banyancroft::http
