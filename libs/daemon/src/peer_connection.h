#pragma once

#include "base/error.h"
#include "telemetry/metrics.h"
#include "wire/codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace banyancroft::daemon {

/**
 * Sends and receives framed messages on one TCP connection between daemons, opened by either side.
 *
 * Lives on the thread of its socket and is called only there. start() keeps the connection alive until it
 * closes; onClosed runs exactly once, unless close() was called first.
 */
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
    using Socket = boost::asio::ip::tcp::socket;

    struct Hooks {
        std::function<void(const std::shared_ptr<PeerConnection>&, wire::Message)> onMessage;
        std::function<void(const std::shared_ptr<PeerConnection>&, const Error&)> onClosed;
    };

    /** @param id unique in this process; identifies the origin of queries at the home */
    PeerConnection(Socket socket, std::uint64_t id, Hooks hooks, wire::FrameReader frames = {});

    void start();
    /** Queues a message. When the peer reads too slowly and the queue is full, the connection is closed. */
    void send(const wire::Message& message);
    /** Closes without running onClosed. */
    void close();

    std::uint64_t id() const { return id_; }

    /** Adds sent and received bytes to these counters from now on; they must outlive the connection. */
    void countBytes(telemetry::Counter& sent, telemetry::Counter& received)
    {
        sent_ = &sent;
        received_ = &received;
    }

    /** Releases the socket descriptor (-1 on failure) and the unread bytes, for use by another thread. The
     * object is then closed. */
    std::pair<int, wire::FrameReader> release();

private:
    void read();
    /** Handles all complete messages; false when the connection has been closed. */
    bool handleFrames();
    void write();
    void fail(const Error& reason);

    Socket socket_;
    const std::uint64_t id_;
    Hooks hooks_;
    wire::FrameReader frames_;
    std::array<char, 64 * 1024> readBuffer_;
    std::string queued_;
    std::string writing_;
    bool closed_ = false;
    telemetry::Counter* sent_ = nullptr;
    telemetry::Counter* received_ = nullptr;
};

} // namespace banyancroft::daemon
