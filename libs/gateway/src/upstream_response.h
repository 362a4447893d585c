#pragma once

#include "gateway/dialect.h"
#include "http/message_reader.h"
#include "http/message_writer.h"

#include <string>
#include <string_view>

namespace banyancroft::gateway {

/** What an answer of a replica means for the request. */
enum class ResponseKind {
    /** A success that bears the replica's signature. */
    Result,
    /** The replica did not run the request and never will. */
    Refused,
    /** Another replica has the address; it did not run the request. */
    Misdirected,
    /** Anything else: the request may have run. */
    Failure,
};

ResponseKind classifyResponse(const http::ResponseHead& head, const Dialect& dialect);

/**
 * The answer for the caller that passes a replica's answer on unchanged, without the fields that are
 * meant for the gateway. A failure whose status would promise that the request has not run becomes a 502
 * of the gateway's own, since the replica gave no such promise.
 */
http::Response forwardedResponse(const http::ResponseHead& head, std::string body, const Dialect& dialect);

} // namespace banyancroft::gateway
