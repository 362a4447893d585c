#include "local_responses.h"

#include <array>
#include <cstdio>
#include <string>

namespace banyancroft::gateway {

namespace {

std::string formatSeconds(Duration duration)
{
    std::array<char, 32> text {};
    const auto length
        = std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(duration).count());
    return { text.data(), static_cast<std::size_t>(length) };
}

} // namespace

http::Response unavailableResponse(const HeaderNames& names, Duration retryAfter)
{
    auto response = emptyResponse(statusUnavailable);
    response.fields.emplace_back(names.retryAfter, formatSeconds(retryAfter));
    return response;
}

http::Response overLimitResponse(const HeaderNames& names, Duration retryAfter)
{
    auto response = emptyResponse(statusTooManyRequests);
    response.fields.emplace_back(names.retryAfter, formatSeconds(retryAfter));
    return response;
}

http::Response emptyResponse(unsigned status)
{
    http::Response response;
    response.status = status;
    return response;
}

} // namespace banyancroft::gateway
