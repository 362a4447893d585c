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

/** Accepts connections of callers on one address and hands their requests on. */
class HttpListener {
public:
    using Handler = std::function<void(const CallerRequest&)>;

    /** @param maxConnections most open connections; more wait in the queue of the kernel */
    HttpListener(boost::asio::io_context& ioContext, std::size_t maxConnections, Handler handler);
    ~HttpListener();
    HttpListener(const HttpListener&) = delete;
    HttpListener& operator=(const HttpListener&) = delete;

    /** Binds; connections wait in the queue of the kernel until begin(). */
    bool listen(const ListenAddress& address, Error& reason);
    /** Begins to accept connections. */
    void startAccepting();
    void setLimits(const http::ReadLimits& limits, const CallerTimeouts& timeouts);
    /** Each answer from now on ends its connection. */
    void disableKeepAlive() { stopping_ = true; }
    /** Accepts no further connection. */
    void stopAccepting();
    void closeAll();
    /** Ends connections that are slow with a request or idle for too long. */
    void expire(TimePoint now);

    std::size_t connectionCount() const { return connections_.size(); }
    /** Connections on which a request was read, in whole or in part, and not yet answered. */
    std::size_t busyConnectionCount() const;

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    const std::size_t maxConnections_;
    Handler handler_;
    http::ReadLimits limits_;
    CallerTimeouts timeouts_;
    bool stopping_ = false;
    bool acceptingEnabled_ = false;
    bool accepting_ = false;
    std::unordered_set<std::shared_ptr<CallerConnection>> connections_;
};

/** Reads an IP number and a port; empty with a reason when the address is no IP number. */
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(const ListenAddress& address, Error& reason);

} // namespace banyancroft::gateway
