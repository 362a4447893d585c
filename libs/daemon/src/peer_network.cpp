#include "peer_network.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <charconv>
#include <sstream>

namespace banyancroft::daemon {

namespace {

// An unreachable VM does not reply at all; without this limit the kernel retries for two minutes.
constexpr std::chrono::milliseconds connectTimeout { 1000 };

} // namespace

std::uint64_t nextConnectionId()
{
    static std::atomic<std::uint64_t> next { 1 };
    return next.fetch_add(1);
}

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view host = address.substr(0, colon);
    const std::string_view portText = address.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    std::uint16_t port = 0;
    const char* end = portText.data() + portText.size();
    const auto parsed = std::from_chars(portText.data(), end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    boost::system::error_code code;
    const auto ip = boost::asio::ip::make_address(std::string(host), code);
    if (code)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(ip, port);
}

std::string toString(const boost::asio::ip::tcp::endpoint& endpoint)
{
    std::ostringstream out;
    out << endpoint;
    return out.str();
}

PeerNetwork::PeerNetwork(boost::asio::io_context& ioContext, wire::Hello hello, Hooks hooks)
    : ioContext_(ioContext)
    , hello_(std::move(hello))
    , hooks_(std::move(hooks))
{
}

PeerNetwork::~PeerNetwork() { close(); }

void PeerNetwork::close()
{
    *alive_ = false;
    for (auto& [address, peer] : peers_) {
        if (peer.connection)
            peer.connection->close();
    }
    peers_.clear();
}

void PeerNetwork::send(const std::string& address, wire::Message message)
{
    auto [position, inserted] = peers_.try_emplace(address);
    Peer& peer = position->second;
    if (peer.connection)
        return peer.connection->send(message);
    peer.pendingMessages.push_back(std::move(message));
    if (inserted)
        connect(address);
}

void PeerNetwork::connect(const std::string& address)
{
    auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        handleDisconnected(address, false);
        return;
    }
    auto socket = std::make_shared<PeerConnection::Socket>(ioContext_);
    auto timer = std::make_shared<boost::asio::steady_timer>(ioContext_, connectTimeout);
    timer->async_wait([socket](const boost::system::error_code& code) {
        boost::system::error_code ignored;
        if (!code)
            socket->close(ignored);
    });
    socket->async_connect(
        *endpoint, [this, alive = alive_, address, socket, timer](const boost::system::error_code& code) {
            timer->cancel();
            if (!*alive)
                return;
            if (code || !socket->is_open())
                return handleDisconnected(address, false);
            handleConnected(address, std::move(*socket));
        });
}

void PeerNetwork::handleConnected(const std::string& address, PeerConnection::Socket socket)
{
    PeerConnection::Hooks hooks;
    hooks.onMessage = [this, alive = alive_, address](const auto&, wire::Message message) {
        if (*alive)
            hooks_.onMessage(address, std::move(message));
    };
    hooks.onClosed = [this, alive = alive_, address](const auto&, const Error&) {
        if (*alive)
            handleDisconnected(address, true);
    };
    Peer& peer = peers_[address];
    peer.connection
        = std::make_shared<PeerConnection>(std::move(socket), nextConnectionId(), std::move(hooks));
    const auto connection = peer.connection;
    if (sent_ && received_)
        connection->countBytes(*sent_, *received_);
    const auto pendingMessages = std::exchange(peer.pendingMessages, {});
    connection->start();
    connection->send(hello_);
    for (const auto& message : pendingMessages)
        connection->send(message);
}

void PeerNetwork::handleDisconnected(const std::string& address, bool established)
{
    peers_.erase(address);
    // Posted, since a send that overflows the queue gets here while the function that sends is still running.
    boost::asio::post(ioContext_, [this, alive = alive_, address, established] {
        if (*alive)
            hooks_.onDisconnected(address, established);
    });
}

} // namespace banyancroft::daemon
