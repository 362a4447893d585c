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
    /** Maximum size of request line and headers in bytes; a larger request is answered with 431. */
    std::size_t headerBytes = 8 * 1024;
    /** Maximum size of a body in bytes, a larger one is answered with 413. A configuration document has to
     * fit. */
    std::size_t bodyBytes = 1024 * 1024 + 4096;
    /** Maximum number of open connections of one listener; a further one is answered with 503 and closed. */
    std::size_t connections = 4096;
    /** Maximum size of a target in bytes; a longer one is answered with 414. */
    std::size_t targetBytes = 2048;
};

/**
 * Serves HTTP/1.1 to callers and operators on one thread.
 *
 * Several servers may listen on one port, one per traffic thread; the kernel distributes connections
 * over them (SO_REUSEPORT). Malformed requests are answered here with 400, 413, 414 or 431. The handler calls
 * `respond` exactly once, on the server's thread; a response to a caller that has disconnected is dropped.
 */
class HttpServer {
public:
    using Respond = std::function<void(HttpResponse)>;
    using Handler = std::function<void(HttpRequest, Respond)>;

    HttpServer(boost::asio::io_context& ioContext, HttpLimits limits, Handler handler);
    ~HttpServer();

    /** Binds the endpoint and starts accepting; empty with a reason when it cannot be bound. */
    std::optional<boost::asio::ip::tcp::endpoint> listen(
        const boost::asio::ip::tcp::endpoint& endpoint, Error& reason);

    /** Stops accepting connections; open ones complete their current request and then close. */
    void drain();

    /** Number of requests that were read and not yet answered in full. */
    std::size_t openRequests() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace banyancroft::daemon
