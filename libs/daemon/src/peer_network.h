#pragma once

#include "peer_connection.h"

#include <string>
#include <unordered_map>

namespace banyancroft::daemon {

/** Source of connection ids that are unique in this process. Thread-safe. */
std::uint64_t nextConnectionId();

/**
 * Outgoing connections of one thread to other daemons, made at the first send and kept.
 *
 * Called only on the thread of its io_context.
 */
class PeerNetwork {
public:
    struct Hooks {
        std::function<void(const std::string& address, wire::Message)> onMessage;
        /**
         * The connection could not be made or broke.
         * @param established false: nothing that was queued reached the peer
         */
        std::function<void(const std::string& address, bool established)> onDisconnected;
    };

    PeerNetwork(boost::asio::io_context& ioContext, wire::Hello hello, Hooks hooks);
    ~PeerNetwork();

    /** Counts the bytes of all connections made from now on; the counters outlive this object. */
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
        /** Messages that wait for the connection to be made. */
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
    /** Ends callbacks that arrive after this object is gone. */
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/** Splits IP:port; empty when it is neither IPv4:port nor [IPv6]:port. */
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);
std::string toString(const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace banyancroft::daemon
