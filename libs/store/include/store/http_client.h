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
    std::string body;
};

/** Why a call has no answer. */
struct HttpError : Error {
    /** False: no byte of the request left, so the server cannot have run it. */
    bool sent = false;
};

/**
 * HTTP/1.1 calls to one server over pooled connections.
 *
 * Owned by one thread, the one that runs the io_context; handlers run on it, never inside call().
 * Each call runs its handler exactly once: with an answer, or with ErrorKind::TimedOut (no answer
 * within the deadline), Unavailable (connection refused or broken) or MalformedMessage (no HTTP, or too
 * long). No call is sent twice. Destruction ends open calls with ErrorKind::Unavailable.
 */
class HttpClient {
public:
    struct Options {
        /** IP number of the server. */
        std::string address {};
        std::uint16_t port = 0;
        /** Source address of connections; empty for the system's choice. */
        std::string localAddress {};
        /** Headers of every call. */
        std::vector<std::pair<std::string, std::string>> headers {};
        /** Idle connections that are kept. */
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

    /** @param method "POST", "GET" or "DELETE" @param timeout from now to the last byte of the answer */
    void call(std::string_view method, std::string_view target, std::string body, Duration timeout,
        Handler handler, const Headers& headers = {});

    /**
     * Posts and reads an answer without end on a connection of its own. onChunk gets the bytes as they
     * come; onEnd is called once when the stream ends, also when it never began.
     * @param timeout from now to the header of the answer
     * @return ends the stream without a call of onEnd
     */
    std::function<void()> stream(std::string_view target, std::string body, Duration timeout,
        ChunkHandler onChunk, std::function<void(const Error&)> onEnd);

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace banyancroft::store
