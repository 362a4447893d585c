#pragma once

#include "base/time.h"
#include "http/message_reader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace banyancroft::gateway {

/** How one request on a connection ended. */
enum class ExchangeOutcome {
    /** A complete answer to this request. */
    Completed,
    /** The connection broke before a complete answer; the request may have run. */
    Broken,
    /** The bytes are no answer; the request may have run. */
    Malformed,
    /** No answer came before the deadline. */
    TimedOut,
    /** The owner gave the request up. */
    Abandoned,
};

/** One request for a connection. */
struct Exchange {
    /** The serialised request. */
    std::string bytes;
    /** Answers that name another request are dropped. */
    std::string requestId;
    /** True for HEAD: the answer has no body. */
    bool withoutBody = false;
    TimePoint deadline {};
};

/** An answer; the views are valid during the callback only. */
struct ExchangeResponse {
    const http::ResponseHead& head;
    std::string& body;
};

using ExchangeHandler = std::function<void(ExchangeOutcome, const ExchangeResponse*)>;

/**
 * One connection to a replica, which carries one request at a time.
 *
 * Bytes that arrive while no request waits belong to none, so they end the connection. An answer that
 * names another request is dropped, and the answer to the present one is expected after it.
 */
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
public:
    struct Hooks {
        /** The connection may take another request. */
        std::function<void(UpstreamConnection&)> idle;
        std::function<void(UpstreamConnection&)> closed;
        /** Present time for the connection's own notes. */
        std::function<TimePoint()> now;
    };

    UpstreamConnection(boost::asio::io_context& ioContext, std::string requestIdField, Hooks hooks);

    /** @param handler runs once: empty on success, else the reason of the failure */
    void connect(const boost::asio::ip::tcp::endpoint& upstream, TimePoint deadline,
        std::function<void(const boost::system::error_code&)> handler);
    /** The handler runs once, never inside this call. The connection has to be idle. */
    void send(Exchange exchange, ExchangeHandler handler);
    /** True when the connection could not be opened in time or has no answer by the deadline. */
    bool isOverdue(TimePoint now) const;
    /** Closes the connection; an open exchange ends as TimedOut. */
    void expire();
    /** Closes the connection; an open exchange ends as Abandoned. */
    void abandon();

    bool isOpen() const { return open_; }
    /** True when the replica ended the connection after it was open. */
    bool wasReset() const { return reset_; }
    /** True once the replica has answered a request on this connection. */
    bool hasAnswered() const { return hasAnswered_; }
    /** False once the time for which the replica keeps an idle connection is nearly over. */
    bool isFresh(TimePoint now) const { return now < idleUntil_; }

private:
    void write();
    void read();
    void handleBytes(std::size_t count);
    void complete();
    void finishExchange(ExchangeOutcome outcome, const ExchangeResponse* response);
    void closeWith(ExchangeOutcome outcome);
    /** Reads how long the replica keeps the connection open without a request. */
    void updateIdleTimeout();

    boost::asio::ip::tcp::socket socket_;
    const std::string requestIdField_;
    Hooks hooks_;
    http::MessageReader reader_;
    std::array<char, 4096> chunk_ {};
    /** Bytes that were read and not yet consumed. */
    std::string readBuffer_;
    std::string writeBuffer_;
    std::size_t bytesWritten_ = 0;
    std::optional<Exchange> exchange_;
    ExchangeHandler handler_;
    std::function<void(const boost::system::error_code&)> connectHandler_;
    TimePoint connectDeadline_ {};
    TimePoint idleUntil_ = TimePoint::max();
    bool hasAnswered_ = false;
    bool reset_ = false;
    bool open_ = false;
    bool closed_ = false;
};

} // namespace banyancroft::gateway
