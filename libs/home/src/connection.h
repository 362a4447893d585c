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
/** Longest reply header; served versions are the longest part. */
constexpr std::uint32_t maxReplyHeaderBytes = 16 * 1024;

/**
 * One HTTP/1.1 connection to an upstream.
 *
 * A read is always pending, so that a close by the peer is seen while the connection is idle. At most one
 * request is unanswered at a time. Owned by a traffic thread; kept alive by its pending operations.
 * After close() no hook is called.
 */
class Connection : public std::enable_shared_from_this<Connection> {
public:
    enum class Lost : std::uint8_t {
        /** No connection could be made. */
        Refused,
        /** The peer closed or reset the connection without having announced it. */
        ByPeer,
        /** The peer sent something that is no reply to a request. */
        Malformed,
    };

    struct Hooks {
        std::function<void()> onConnected;
        /** When the peer announced a close, the connection is closed already and onLost is not called. */
        std::function<void(const Response&)> onResponse;
        /** Called at most once; the connection is closed then. */
        std::function<void(Lost, const std::string& detail)> onLost;
    };

    explicit Connection(asio::io_context& ioContext);

    void connect(const asio::ip::tcp::endpoint& endpoint, Hooks hooks);
    /**
     * Sends one request. @return false when the connection broke before any byte left; onLost is not
     * called then.
     */
    bool send(std::string bytes);
    void close();

    bool connected() const { return state_ == State::Connected; }
    bool closed() const { return state_ == State::Closed; }
    /** True while a request has no answer yet. */
    bool busy() const { return busy_; }

private:
    enum class State : std::uint8_t { Connecting, Connected, Closed };

    void readNext();
    void onRead(const boost::system::error_code& error);
    void lose(Lost lost, const std::string& detail);

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
