#pragma once

#include "base/error.h"
#include "base/time.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace banyancroft::store {

struct HttpResponse {
    unsigned status = 0;
    std::string body {};
    std::vector<std::pair<std::string, std::string>> headers {};

    /** Value of the first header with the name, in any case; empty if there is none. */
    std::optional<std::string_view> header(std::string_view name) const;
};

/** Reason why a call has no response. */
struct HttpError : Error {
    /** False when no byte of the request was sent, so that the server cannot have executed it. */
    bool sent = false;
};

/**
 * HTTP/1.1 calls to one server over pooled connections.
 *
 * Owned by one thread, the one that runs the io_context; handlers run on it, never inside call().
 * Each call runs its handler exactly once: with a response, or with ErrorKind::TimedOut (no response
 * within the deadline), Unavailable (connection refused or broken) or MalformedMessage (not HTTP, or too
 * long: body, header, chunk extensions or trailers). Calls are not retried. Destruction ends open calls with
 * ErrorKind::Unavailable.
 */
class HttpClient {
public:
    struct Options {
        /** IP address of the server. */
        std::string address {};
        std::uint16_t port = 0;
        /** Source address of connections; empty for the system's choice. */
        std::string localAddress {};
        /** Headers sent with every call. */
        std::vector<std::pair<std::string, std::string>> headers {};
        /** Maximum number of idle connections kept open. */
        std::size_t maxIdle = 8;
        std::size_t maxBodyBytes = 8 * 1024 * 1024;
    };
    using Headers = std::vector<std::pair<std::string, std::string>>;
    using Handler = std::function<void(std::optional<HttpResponse>, const HttpError&)>;
    using ChunkHandler = std::function<void(std::string_view)>;

    HttpClient(boost::asio::io_context& ioContext, Options options);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /** @param method "POST", "GET" or "DELETE" @param timeout from now to the last byte of the response */
    void call(std::string_view method, std::string_view target, std::string body, Duration timeout,
        Handler handler, const Headers& headers = {});

    /**
     * Sends a POST and reads an unbounded response on a connection of its own. onChunk gets the bytes as
     * they arrive; onEnd is called once when the stream ends or cannot be opened.
     * @param timeout from now to the end of the response header
     * @return function that ends the stream without calling onEnd
     */
    std::function<void()> stream(std::string_view target, std::string body, Duration timeout,
        ChunkHandler onChunk, std::function<void(const Error&)> onEnd);

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace banyancroft::store
