#pragma once

#include "base/time.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace banyancroft::tools {

using HttpHeader = std::pair<std::string, std::string>;

struct HttpRequest {
    std::string method;
    /** Path with query string. */
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;
    /** Source address of the connection, without port. */
    std::string remoteAddress;

    /** Value of a header, name compared without case; empty when it is missing. */
    std::string_view header(std::string_view name) const;
};

struct HttpReply {
    unsigned status = 200;
    std::vector<HttpHeader> headers;
    std::string body;
};

/**
 * One request and its response. Exactly one of reply(), replyRaw(), startStream() and reset() completes it;
 * later calls, and calls after the client has disconnected, have no effect. Must be used on the server's
 * thread.
 */
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;
    virtual void reply(HttpReply reply) = 0;
    /** Sends the bytes unchanged, without HTTP framing, then closes the connection. */
    virtual void replyRaw(std::string bytes) = 0;
    /** Starts a chunked response with the status and headers of `head`; its body is the first chunk. */
    virtual void startStream(HttpReply head) = 0;
    virtual void sendChunk(std::string_view chunk) = 0;
    /** Closes the connection with a TCP reset instead of a response. */
    virtual void reset() = 0;
    /** Sets a handler that is called once if the connection closes before the whole response was sent. */
    virtual void onClosed(std::function<void()> handler) = 0;
};

/**
 * HTTP/1.1 server for the emulators and tests, with fault injection: delayed connection set-up, a connection
 * limit, connection resets and responses that are not valid HTTP.
 *
 * Must be used on the thread that runs the io_context. The constructor and listen() throw
 * std::system_error if the port cannot be bound.
 */
class HttpServer {
public:
    struct Options {
        std::string address = "127.0.0.1";
        /** 0 binds a free port. */
        std::uint16_t port = 0;
        /** Delay before a new connection is read; emulates the time of connection set-up. */
        Duration connectTime {};
        std::size_t maxBodyBytes = 4 * 1024 * 1024;
        /** Called with the source address of a new connection; false resets it. May be empty. */
        std::function<bool(const std::string& remoteAddress)> onAccept;
    };
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    HttpServer(boost::asio::io_context& ioContext, Options options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    std::uint16_t port() const;
    /** Number of open connections. */
    std::size_t connections() const;
    /** Refuses new connections until listen() is called. */
    void stopListening();
    /** Listens on the same port again after stopListening(). */
    void listen();
    /** Resets the connections from one source address, or all if it is empty. */
    void resetConnections(std::string_view remoteAddress = {});

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace banyancroft::tools
