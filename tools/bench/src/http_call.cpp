#include "http_call.h"

#include <charconv>
#include <stdexcept>

namespace banyancroft::tools {

namespace {

constexpr auto callTimeout = std::chrono::seconds(5);

} // namespace

std::optional<store::HttpResponse> httpCall(std::uint16_t port, std::string_view method,
    std::string_view target, const std::string& body, const store::HttpClient::Headers& headers)
{
    boost::asio::io_context ioContext(1);
    store::HttpClient client(ioContext, { .address = "127.0.0.1", .port = port });
    std::optional<store::HttpResponse> result;
    client.call(
        method, target, body, callTimeout,
        [&result](auto answer, const auto&) { result = std::move(answer); }, headers);
    ioContext.run();
    return result;
}

std::string adminCall(
    std::uint16_t port, std::string_view method, std::string_view target, const std::string& body)
{
    auto answer = httpCall(port, method, target, body);
    if (!answer || answer->status != 200) {
        throw std::runtime_error("admin call " + std::string(target)
            + " failed: " + (answer ? answer->body : std::string("no answer")));
    }
    return std::move(answer->body);
}

std::uint16_t portOf(std::string_view endpoint)
{
    const auto colon = endpoint.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string_view::npos)
        std::from_chars(endpoint.data() + colon + 1, endpoint.data() + endpoint.size(), port);
    if (port == 0)
        throw std::runtime_error("no port in \"" + std::string(endpoint) + "\"");
    return port;
}

} // namespace banyancroft::tools
