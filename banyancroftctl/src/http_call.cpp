#include "http_call.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace banyancroft::ctl {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// `show config` returns up to a whole configuration document; results of searches can be larger.
constexpr std::uint64_t maxResponseBytes = 64 * 1024 * 1024;

asio::awaitable<void> exchange(
    const Settings& settings, const std::string& statement, bool& sent, std::optional<HttpResponse>& response)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(settings.timeout);
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(settings.address), settings.port);
    co_await stream.async_connect(endpoint, asio::use_awaitable);

    http::request<http::string_body> request(http::verb::post, "/v1/query", 11, statement);
    request.set(http::field::host, settings.address + ":" + std::to_string(settings.port));
    request.set(http::field::content_type, "text/plain; charset=utf-8");
    request.set(http::field::user_agent, "banyancroftctl/" BANYANCROFT_VERSION);
    if (!settings.token.empty())
        request.set(http::field::authorization, "Bearer " + settings.token);
    request.keep_alive(false);
    request.prepare_payload();
    sent = true;
    co_await http::async_write(stream, request, asio::use_awaitable);

    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxResponseBytes);
    co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
    response = HttpResponse { parser.get().result_int(), std::move(parser.get().body()) };
}

} // namespace

std::optional<HttpResponse> postStatement(
    const Settings& settings, const std::string& statement, bool& sent, Error& reason)
{
    sent = false;
    reason = {};
    std::optional<HttpResponse> response;
    asio::io_context ioContext;
    std::exception_ptr failure;
    asio::co_spawn(ioContext, exchange(settings, statement, sent, response),
        [&failure](const std::exception_ptr& exception) { failure = exception; });
    ioContext.run();
    if (response)
        return response;
    const std::string daemon = settings.address + ":" + std::to_string(settings.port);
    try {
        if (failure)
            std::rethrow_exception(failure);
    } catch (const boost::system::system_error& error) {
        const bool timedOut = error.code() == beast::error::timeout;
        reason = { timedOut ? ErrorKind::TimedOut : ErrorKind::Unavailable,
            "daemon " + daemon + ": " + error.code().message(), "check --daemon or try another daemon" };
        return std::nullopt;
    }
    reason = { ErrorKind::Internal, "no response from daemon " + daemon, "report this as a bug" };
    return std::nullopt;
}

} // namespace banyancroft::ctl
