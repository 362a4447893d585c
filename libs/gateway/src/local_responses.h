#pragma once

#include "base/time.h"
#include "gateway/dialect.h"
#include "http/message_writer.h"

namespace banyancroft::gateway {

constexpr unsigned statusBadRequest = 400;
constexpr unsigned statusNotFound = 404;
constexpr unsigned statusBadGateway = 502;
constexpr unsigned statusUnavailable = 503;
constexpr unsigned statusGatewayTimeout = 504;

/** Answer for a request that no replica has run or will run. @param retryAfter when its caller may return */
http::Response unavailableResponse(const HeaderNames& names, Duration retryAfter);

/** Answer without a body or further fields. */
http::Response emptyResponse(unsigned status);

} // namespace banyancroft::gateway
