#pragma once

#include "upstream_connection.h"
#include "upstreams/registry.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace banyancroft::gateway {

/**
 * The connections to one replica. At most `limit` are open or being opened; idle ones are used again,
 * the most recently used first, so that the others reach their idle timeout.
 *
 * A replica that has all the connections it accepts resets a new one right after it was opened. A pool
 * that has seen that, or whose VM has just started while connections from before may still be open at the
 * replica, lets a new connection stand for a moment before a request is sent on it, so that no request
 * is lost with it.
 */
class UpstreamPool {
public:
    using ConnectHandler = std::function<void(std::shared_ptr<UpstreamConnection>)>;

    /** @param cautiousUntil new connections are not trusted at once before this time */
    UpstreamPool(boost::asio::io_context& ioContext, upstreams::UpstreamPointer upstream,
        std::string requestIdField, TimePoint cautiousUntil);
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool&) = delete;
    UpstreamPool& operator=(const UpstreamPool&) = delete;

    /** @param keepsIdle false: connections end with the request that they were opened for */
    void setLimit(std::size_t limit, bool reusesConnections)
    {
        limit_ = limit;
        reusesConnections_ = reusesConnections;
    }
    /** Time until a connection can be used: zero with an idle one, empty when all are busy. */
    std::optional<Duration> connectDelay(TimePoint now) const;
    /** Empty when there is none. */
    std::shared_ptr<UpstreamConnection> takeIdle(TimePoint now);
    /**
     * Opens a connection. @param handler runs once, with nullptr when it cannot be opened. A handler that
     * does not use the connection leaves it to putBack().
     */
    void connect(TimePoint now, ConnectHandler handler);
    void release(const std::shared_ptr<UpstreamConnection>& connection);
    /** Ends what has passed its deadline and closes idle connections that the replica is about to close. */
    void expire(TimePoint now);
    /** Closes idle connections and lets busy ones finish. */
    void retire();

    bool isUnused() const { return connections_.empty(); }
    /** False once the replica drains, is gone or was replaced. */
    bool isInUse() const { return upstream_->usable; }
    /** Usual time to open a connection. */
    Duration handshakeTime() const { return handshakeTime_; }
    bool hasIdle() const { return !idle_.empty(); }
    bool isConnecting() const { return connecting_ > 0; }

private:
    /** How long a new connection has to stand before it is used. */
    Duration settleTime(TimePoint now) const;
    void settle(std::shared_ptr<UpstreamConnection> connection, Duration time, ConnectHandler handler);
    void removeClosed(UpstreamConnection& connection);

    boost::asio::io_context& ioContext_;
    upstreams::UpstreamPointer upstream_;
    std::string requestIdField_;
    std::size_t limit_ = 1;
    bool reusesConnections_ = true;
    TimePoint cautiousUntil_;
    /** No connection is opened before this time, since the replica has just reset one. */
    TimePoint noConnectBefore_ {};
    bool retired_ = false;
    Duration handshakeTime_;
    std::size_t connecting_ = 0;
    std::vector<std::shared_ptr<UpstreamConnection>> connections_;
    std::vector<std::shared_ptr<UpstreamConnection>> idle_;
};

} // namespace banyancroft::gateway
