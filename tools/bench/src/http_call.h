#pragma once

#include "store/http_client.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace banyancroft::tools {

/** Sends an HTTP request to 127.0.0.1 and waits for the response; empty on failure or timeout. */
std::optional<store::HttpResponse> httpCall(std::uint16_t port, std::string_view method,
    std::string_view target, const std::string& body = {}, const store::HttpClient::Headers& headers = {});

/** Like httpCall(), but throws std::runtime_error unless the status is 200. @return body */
std::string adminCall(
    std::uint16_t port, std::string_view method, std::string_view target, const std::string& body = {});

/** Port of "address:port"; throws std::runtime_error if there is none. */
std::uint16_t portOf(std::string_view endpoint);

} // namespace banyancroft::tools
