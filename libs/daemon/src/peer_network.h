#pragma once

#include "peer_connection.h"

#include <string>
#include <unordered_map>

namespace banyancroft::daemon {

/** Returns a connection id that is unique in this process. Thread-safe. */
std::uint64_t nextConnectionId();

/**
 * Maintains the outgoing connections of one thread to other daemons, each opened at the first send and kept.
 *
 * Called only on the thread of its io_context.
 */
class PeerNetwork {
public:
    struct Hooks {
        std::function<void(const std::string& address, wire::Message)> onMessage;
        /**
         * The connection could not be established or was lost.
         * @param established false: no connection was established, so no queued message reached the peer
         */
        std::function<void(const std::string& address, bool established)> onDisconnected;
    };

    PeerNetwork(boost::asio::io_context& ioContext, wire::Hello hello, Hooks hooks);
    ~PeerNetwork();

    /** Counts the bytes of all connections opened from now on; the counters must outlive this object. */
    void countBytes(telemetry::Counter& sent, telemetry::Counter& received)
    {
        sent_ = &sent;
        received_ = &received;
    }

    /** Sends to the daemon at `address` (IP:port). Failures come through onDisconnected. */
    void send(const std::string& address, wire::Message message);
    void close();

private:
    struct Peer {
        std::shared_ptr<PeerConnection> connection;
        /** Messages to send once the connection is established. */
        std::vector<wire::Message> pendingMessages;
    };

    void connect(const std::string& address);
    void handleConnected(const std::string& address, PeerConnection::Socket socket);
    void handleDisconnected(const std::string& address, bool established);

    boost::asio::io_context& ioContext_;
    const wire::Hello hello_;
    Hooks hooks_;
    std::unordered_map<std::string, Peer> peers_;
    telemetry::Counter* sent_ = nullptr;
    telemetry::Counter* received_ = nullptr;
    /** Becomes false on destruction; pending callbacks then do nothing. */
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/** Parses IPv4:port or [IPv6]:port; empty when malformed. */
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);
std::string toString(const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace banyancroft::daemon
