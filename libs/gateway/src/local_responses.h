#pragma once

#include "base/time.h"
#include "gateway/dialect.h"
#include "http/message_writer.h"

namespace banyancroft::gateway {

constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusUnauthorized = 401;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusTooManyRequests = 429;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;

/**
 * Creates a 503 response for a request that no replica has executed or will execute.
 * @param retryAfter time after which the caller may retry
 */
http::Response unavailableResponse(const HeaderNames& names, Duration retryAfter);

/** Creates a 429 response for a request beyond its customer's limit, which no replica will execute. */
http::Response overLimitResponse(const HeaderNames& names, Duration retryAfter);

/** Creates a response without a body or header fields. */
http::Response emptyResponse(unsigned status);

} // namespace banyancroft::gateway
