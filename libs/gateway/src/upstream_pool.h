#pragma once

#include "upstream_connection.h"
#include "upstreams/registry.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace banyancroft::gateway {

/**
 * Pool of connections to one replica. Limits the number of connections that are busy or being opened.
 * Idle connections are reused, the most recently used one first, so that surplus ones reach their idle
 * timeout.
 *
 * A replica at its connection limit resets a new connection right after the handshake. After such a reset,
 * and for a while after the start of the VM, when the replica may still hold connections of the previous
 * process, the pool waits for a settle time before it uses a new connection, so that no request is lost
 * to a reset.
 */
class UpstreamPool {
public:
    using ConnectHandler = std::function<void(std::shared_ptr<UpstreamConnection>)>;

    /** @param memory must outlive the pool  @param openSockets counts the connections of all pools; outlives
     * the pool  @param waiting called when a response has to wait for memory
     * @param cautiousUntil new connections are used only after a settle time until then */
    UpstreamPool(boost::asio::io_context& ioContext, upstreams::UpstreamPointer upstream,
        std::string requestIdField, MemoryAccount& memory, std::size_t& openSockets,
        std::function<void()> waiting, TimePoint cautiousUntil);
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool&) = delete;
    UpstreamPool& operator=(const UpstreamPool&) = delete;

    /** @param reusesConnections if false, connections are closed after a single request */
    void setLimit(std::size_t limit, bool reusesConnections)
    {
        limit_ = limit;
        reusesConnections_ = reusesConnections;
    }
    /**
     * Expected time until a connection is available: zero if one is idle, nullopt if none can be opened now
     * because the limit is reached or the replica has just reset a connection.
     */
    std::optional<Duration> connectDelay(TimePoint now) const;
    /**
     * Removes and returns an idle connection, or nullptr if there is none that may be used. In that case an
     * idle connection that may not be used is closed, so that another one can be opened within the limit.
     * @param mayUse returns false for a connection that must not carry the request
     */
    std::shared_ptr<UpstreamConnection> takeIdle(
        TimePoint now, const std::function<bool(const UpstreamConnection&)>& mayUse);
    /**
     * Opens a connection.
     * @param handler called once, with nullptr on failure; passes a connection that it does not use to
     * release()
     */
    void connect(TimePoint now, ConnectHandler handler);
    /** Returns an idle connection to the pool, or closes it if the pool does not keep idle connections. */
    void release(const std::shared_ptr<UpstreamConnection>& connection);
    /** Closes connections that have passed a deadline, and idle ones that the replica is about to close. */
    void expire(TimePoint now);
    /** Lets connections read on whose response had to wait for memory. */
    void resumeWaiting(TimePoint now);
    void closeIdle();
    /** Closes idle connections; busy ones are closed after their request. */
    void retire();

    bool isUnused() const { return connections_.empty(); }
    /** False once the replica is draining, removed or replaced. */
    bool isInUse() const { return upstream_->usable; }
    /** Moving average of the time to open a connection. */
    Duration handshakeTime() const { return handshakeTime_; }
    bool hasIdle() const { return !idle_.empty(); }
    bool isConnecting() const { return connecting_ > 0; }

private:
    /** Delay between the handshake of a new connection and its first use. */
    Duration settleTime(TimePoint now) const;
    /** Calls the handler after `time`, with nullptr if the replica has reset the connection by then. */
    void settle(std::shared_ptr<UpstreamConnection> connection, Duration time, ConnectHandler handler);
    void removeClosed(UpstreamConnection& connection);

    boost::asio::io_context& ioContext_;
    upstreams::UpstreamPointer upstream_;
    std::string requestIdField_;
    MemoryAccount& memory_;
    std::size_t& openSockets_;
    std::function<void()> waiting_;
    std::size_t limit_ = 1;
    bool reusesConnections_ = true;
    TimePoint cautiousUntil_;
    /** No connection is opened before this time, because the replica has reset one. */
    TimePoint noConnectBefore_ {};
    bool retired_ = false;
    /** The replica is logged only once as one that sends more than its responses. */
    bool surplusLogged_ = false;
    Duration handshakeTime_;
    std::size_t connecting_ = 0;
    std::vector<std::shared_ptr<UpstreamConnection>> connections_;
    std::vector<std::shared_ptr<UpstreamConnection>> idle_;
};

} // namespace banyancroft::gateway
