#pragma once

#include "base/error.h"
#include "caller_connection.h"
#include "gateway/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_set>

namespace banyancroft::gateway {

/** Accepts HTTP connections on one address and passes their requests to a handler. */
class HttpListener {
public:
    using Handler = std::function<void(const CallerRequest&)>;

    /**
     * @param maxConnections limit on open connections; further ones wait in the kernel's accept queue
     * @param memory limits requests and responses; outlives the listener
     */
    HttpListener(boost::asio::io_context& ioContext, std::size_t maxConnections, MemoryAccount& memory,
        Handler handler);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    /**
     * Binds and listens; connections wait in the kernel's accept queue until startAccepting().
     * @return false, with the cause in `reason`, if the address is invalid or cannot be bound
     */
    bool listen(const ListenAddress& address, Error& reason);
    void startAccepting();
    void setLimits(const http::ReadLimits& limits, const CallerTimeouts& timeouts);
    /** Closes each connection after its next response. */
    void disableKeepAlive() { stopping_ = true; }
    /** Takes over the connections that wait in the kernel's accept queue and closes the listening socket.
     * Open connections stay open. */
    void stopAccepting();
    /** Closes connections on which no part of a request has arrived. */
    void closeIdleConnections();
    /** Answers each request that awaits its response and closes its connection. */
    void endPendingRequests(const std::function<http::Response(const http::RequestHead&)>& makeResponse);
    void closeAll();
    /** Ends connections whose request or idle timeout has passed, and accepts again after a failure; call
     * about every 100 ms. */
    void expire(TimePoint now);

    std::size_t connectionCount() const { return connections_.size(); }
    /** Called when the body of a request has to wait for memory. */
    void onWaiting(std::function<void()> handler) { waiting_ = std::move(handler); }
    /** Decides about requests that wait for memory; applies to connections accepted from now on. */
    void onRefusal(decltype(CallerConnection::Hooks::refusal) handler) { refusal_ = std::move(handler); }
    /** Called when a connection is closed because its caller takes its response too slowly. */
    void onSlowCaller(std::function<void()> handler) { slowCaller_ = std::move(handler); }
    /** Number of connections with a request that is partly received or not yet answered. */
    std::size_t busyConnectionCount() const;

    bool isListening() const { return acceptor_.is_open(); }

private:
    void accept();
    void addConnection(boost::asio::ip::tcp::socket socket);
    /** Lets connections read on that had to wait for memory, the longest waiting first. */
    void resumeWaiting(TimePoint now);

    boost::asio::ip::tcp::acceptor acceptor_;
    const std::size_t maxConnections_;
    MemoryAccount& memory_;
    Handler handler_;
    http::ReadLimits limits_;
    CallerTimeouts timeouts_;
    TimePoint lastExpiryAt_ {};
    std::function<void()> waiting_;
    decltype(CallerConnection::Hooks::refusal) refusal_;
    std::function<void()> slowCaller_;
    bool stopping_ = false;
    bool acceptingEnabled_ = false;
    bool accepting_ = false;
    std::unordered_set<std::shared_ptr<CallerConnection>> connections_;
};

/**
 * Binds an acceptor and listens.
 * @return false, with the cause in `reason`, if the address is invalid or cannot be bound
 */
bool openListener(boost::asio::ip::tcp::acceptor& acceptor, const ListenAddress& address, Error& reason);

/** Parses an IP address; returns nullopt, with the cause in `reason`, if it is invalid. */
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const ListenAddress& address, Error& reason);

} // namespace banyancroft::gateway
