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
 * One request and its answer. Exactly one of reply(), replyRaw(), startStream() and reset() answers it;
 * calls after the answer, or after the client left, have no effect. Used on the server's thread.
 */
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;
    virtual void reply(HttpReply reply) = 0;
    /** Sends the bytes as they are, then closes the connection. */
    virtual void replyRaw(std::string bytes) = 0;
    /** Sends the header of a chunked answer; the body of `head` is the first chunk. */
    virtual void startStream(HttpReply head) = 0;
    virtual void sendChunk(std::string_view chunk) = 0;
    /** Closes the connection with a TCP reset and without an answer. */
    virtual void reset() = 0;
    /** Called once when the connection ends before the answer was sent completely. */
    virtual void onClosed(std::function<void()> handler) = 0;
};

/**
 * A small HTTP/1.1 server for the emulators, with the faults that they need: late acceptance,
 * a cap on connections, resets and answers that are no HTTP.
 *
 * Owned and used by the one thread that runs the io_context. The constructor and listen() throw
 * std::system_error when the port cannot be taken.
 */
class HttpServer {
public:
    struct Options {
        std::string address = "127.0.0.1";
        /** 0 takes a free port. */
        std::uint16_t port = 0;
        /** Time before a new connection is read, in place of the time that its set-up takes. */
        Duration connectTime {};
        std::size_t maxBodyBytes = 4 * 1024 * 1024;
        /** Returns false to reset a new connection at once; gets the source address. May be empty. */
        std::function<bool(const std::string& remoteAddress)> onAccept;
    };
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    HttpServer(boost::asio::io_context& ioContext, Options options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    std::uint16_t port() const;
    /** Connections that are open now. */
    std::size_t connections() const;
    /** Refuses new connections until listen() is called. */
    void stopListening();
    /** Takes the same port again after stopListening(). */
    void listen();
    /** Resets all connections, or those from one source address. */
    void resetConnections(std::string_view remoteAddress = {});

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace banyancroft::tools
