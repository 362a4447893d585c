#pragma once

#include "gateway/dialect.h"
#include "http/message_reader.h"
#include "http/message_writer.h"
#include "upstreams/statement.h"

#include <string>
#include <string_view>

namespace banyancroft::gateway {

/** Classification of a replica's response. */
enum class ResponseKind {
    /** A success that carries the replica's signature. */
    Result,
    /** The replica has not executed the request and will not do so. */
    Refused,
    /** The address belongs to another replica, which has not executed the request. */
    Misdirected,
    /** Any other response: the request may have been executed. */
    Failure,
};

ResponseKind classifyResponse(const http::ResponseHead& head, const Dialect& dialect);

/** A statement of a replica, and whether a header field of it could not be read. */
struct ReadStatement {
    upstreams::ReplicaStatement statement;
    bool isMalformed = false;
};

/**
 * Reads what the replica says of itself in a response. A field that cannot be read has no effect, and neither
 * has the response of another replica at the same address.
 */
ReadStatement readStatement(
    const http::ResponseHead& head, const UpstreamId& upstream, const Dialect& dialect);

/**
 * Converts a replica's response to the response for the caller. Status, body and end-to-end header fields
 * are kept; header fields that are meant for the gateway are removed. Returns 502 instead if the status
 * is not a final one (200 to 599) or would tell the caller that the request was not executed, which the
 * replica has not confirmed, or if the response has a content encoding or is an unsigned success.
 */
http::Response forwardedResponse(const http::ResponseHead& head, std::string body, const Dialect& dialect);

} // namespace banyancroft::gateway
