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
 */
class UpstreamPool {
public:
    using Connected = std::function<void(std::shared_ptr<UpstreamConnection>)>;

    UpstreamPool(
        boost::asio::io_context& ioContext, upstreams::UpstreamPointer upstream, std::string requestIdField);
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool&) = delete;
    UpstreamPool& operator=(const UpstreamPool&) = delete;

    void setLimit(std::size_t limit) { limit_ = limit; }
    /** Time until a connection can be used: zero with an idle one, empty when all are busy. */
    std::optional<Duration> connectDelay(TimePoint now) const;
    /** Empty when there is none. */
    std::shared_ptr<UpstreamConnection> takeIdle(TimePoint now);
    /**
     * Opens a connection. @param handler runs once, with nullptr when it cannot be opened. A handler that
     * does not use the connection leaves it to putBack().
     */
    void connect(TimePoint now, Connected handler);
    void putBack(const std::shared_ptr<UpstreamConnection>& connection);
    /** Ends what has passed its deadline and closes idle connections that the replica is about to close. */
    void expire(TimePoint now);
    /** Closes idle connections and lets busy ones finish. */
    void retire();

    std::size_t openCount() const { return connections_.size(); }
    bool isUnused() const { return connections_.empty(); }
    /** Usual time to open a connection. */
    Duration handshake() const { return handshake_; }
    bool hasIdle() const { return !idle_.empty(); }
    bool isConnecting() const { return connecting_ > 0; }
    std::uint64_t opened() const { return opened_; }

private:
    void remove(UpstreamConnection& connection);

    boost::asio::io_context& ioContext_;
    upstreams::UpstreamPointer upstream_;
    std::string requestIdField_;
    std::size_t limit_ = 1;
    bool retired_ = false;
    Duration handshake_;
    std::size_t connecting_ = 0;
    std::uint64_t opened_ = 0;
    std::vector<std::shared_ptr<UpstreamConnection>> connections_;
    std::vector<std::shared_ptr<UpstreamConnection>> idle_;
};

} // namespace banyancroft::gateway
