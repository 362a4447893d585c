#include "own_answers.h"

#include <array>
#include <cstdio>
#include <string>

namespace banyancroft::gateway {

namespace {

std::string secondsText(Duration duration)
{
    std::array<char, 32> text {};
    const auto length
        = std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(duration).count());
    return { text.data(), static_cast<std::size_t>(length) };
}

} // namespace

http::Response refusal(const HeaderNames& names, Duration retryAfter)
{
    auto response = plainAnswer(statusUnavailable);
    response.fields.emplace_back(names.retryAfter, secondsText(retryAfter));
    return response;
}

http::Response plainAnswer(unsigned status)
{
    http::Response response;
    response.status = status;
    return response;
}

} // namespace banyancroft::gateway
