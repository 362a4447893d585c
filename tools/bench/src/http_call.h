#pragma once

#include "store/http_client.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyancroft::tools {

/** One HTTP call to 127.0.0.1 that waits for its answer; empty when none came in time. */
std::optional<store::HttpResponse> httpCall(std::uint16_t port, std::string_view method,
    std::string_view target, const std::string& body = {}, const store::HttpClient::Headers& headers = {});

/** Like httpCall(), for admin calls that must succeed: throws std::runtime_error otherwise. */
std::string adminCall(
    std::uint16_t port, std::string_view method, std::string_view target, const std::string& body = {});

/** Port of "address:port"; throws std::runtime_error when there is none. */
std::uint16_t portOf(std::string_view endpoint);

} // namespace banyancroft::tools
