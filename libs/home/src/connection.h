#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace banyancroft::home {

namespace asio = boost::asio;
namespace http = boost::beast::http;

using Response = http::response<http::string_body>;

/** Longest reply body of an upstream; a reply must fit into one message between daemons. */
constexpr std::uint64_t maxReplyBytes = 15 * 1024 * 1024;
/** Longest reply header; the lists of served versions make up most of it. */
constexpr std::uint32_t maxReplyHeaderBytes = 16 * 1024;

/**
 * One HTTP/1.1 connection to an upstream.
 *
 * A read is always pending, so that a close by the peer is detected while the connection is idle. At most
 * one request is unanswered at a time. Owned by a traffic thread; kept alive by its pending operations.
 * No hook is called after close().
 */
class Connection : public std::enable_shared_from_this<Connection> {
public:
    enum class LossReason : std::uint8_t {
        /** The connection could not be established. */
        ConnectFailed,
        /** The peer closed or reset the connection without announcing it in a reply. */
        ClosedByPeer,
        /** The peer sent bytes that are not a reply to a request. */
        Malformed,
    };

    struct Hooks {
        std::function<void()> onConnected;
        /** If the reply announces a close, the connection is already closed and onLost is not called. */
        std::function<void(const Response&)> onResponse;
        /** Called at most once, after the connection was closed. */
        std::function<void(LossReason, const std::string& detail)> onLost;
    };

    explicit Connection(asio::io_context& ioContext);

    void connect(const asio::ip::tcp::endpoint& endpoint, Hooks hooks);
    /**
     * Sends one request.
     * @return false when the connection failed before any byte was sent; onLost is not called then
     */
    bool send(std::string bytes);
    void close();

    bool connected() const { return state_ == State::Connected; }
    bool closed() const { return state_ == State::Closed; }
    /** True while a request is unanswered. */
    bool busy() const { return busy_; }

private:
    enum class State : std::uint8_t { Connecting, Connected, Closed };

    void readNext();
    void onRead(const boost::system::error_code& error);
    void fail(LossReason reason, const std::string& detail);

    asio::ip::tcp::socket socket_;
    Hooks hooks_;
    State state_ = State::Connecting;
    bool busy_ = false;
    bool writing_ = false;
    std::string outgoing_;
    boost::beast::flat_buffer incoming_;
    std::optional<http::response_parser<http::string_body>> parser_;
};

} // namespace banyancroft::home
