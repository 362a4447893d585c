#pragma once

#include "base/error.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace banyancroft::daemon {

struct HttpRequest {
    std::string method;
    std::string target;
    /** Value of the Authorization header. */
    std::string authorization;
    std::string traceparent;
    std::string body;
};

struct HttpResponse {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
};

struct HttpLimits {
    /** Longest request line and header, in bytes; beyond it 431. */
    std::size_t headerBytes = 8 * 1024;
    /** Longest body, in bytes; beyond it 413. A configuration document has to fit. */
    std::size_t bodyBytes = 1024 * 1024 + 4096;
    /** Most open connections of one listener; beyond it 503 and the connection is closed. */
    std::size_t connections = 4096;
    /** Longest target, in bytes; beyond it 414. */
    std::size_t targetBytes = 2048;
};

/**
 * HTTP/1.1 for callers and operators on one thread.
 *
 * Several servers may listen on one port, one per traffic thread; the kernel spreads connections over
 * them (SO_REUSEPORT). Malformed requests are answered here with 400, 413, 414 or 431. The handler calls
 * `respond` exactly once, on the server's thread; a caller that went away is ignored.
 */
class HttpServer {
public:
    using Respond = std::function<void(HttpResponse)>;
    using Handler = std::function<void(HttpRequest, Respond)>;

    HttpServer(boost::asio::io_context& ioContext, HttpLimits limits, Handler handler);
    ~HttpServer();

    /** Binds and accepts; empty with a reason when the address cannot be bound. */
    std::optional<boost::asio::ip::tcp::endpoint> listen(
        const boost::asio::ip::tcp::endpoint& endpoint, Error& reason);

    /** Accepts no further connection; open ones answer what they have and then close. */
    void drain();

    /** Requests read and not yet answered in full. */
    std::size_t openRequests() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace banyancroft::daemon
