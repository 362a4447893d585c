#pragma once

#include "base/time.h"
#include "http/message_reader.h"
#include "memory_account.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace banyancroft::gateway {

/** Outcome of an exchange. */
enum class ExchangeOutcome {
    /** A complete response to this request was received. */
    Completed,
    /** The connection was lost before a complete response; the request may have been executed. */
    Broken,
    /** The received bytes are not a valid response; the request may have been executed. */
    Malformed,
    /** The response exceeds a limit on its size; the request may have been executed. */
    TooLong,
    /** No complete response was received by the deadline. */
    TimedOut,
    /** The owner of the connection cancelled the exchange. */
    Abandoned,
    /**
     * No complete response was received because this VM lacked the memory to read it in time; the request may
     * have been executed.
     */
    NoMemory,
};

/** A request and the parameters for reading its response. */
struct Exchange {
    /** The serialised request, without the body. */
    std::string head;
    /** Body that all sends of the request share; may be null. */
    std::shared_ptr<const std::string> body;
    /** Responses that carry another request ID are discarded. */
    std::string requestId;
    /** True for HEAD, whose response has no body. */
    bool withoutBody = false;
    TimePoint deadline {};
};

/** A received response; the references are valid only during the callback. */
struct ExchangeResponse {
    const http::ResponseHead& head;
    std::string& body;
};

using ExchangeHandler = std::function<void(ExchangeOutcome, const ExchangeResponse*)>;

/**
 * An HTTP connection to a replica that carries one request at a time.
 *
 * Bytes received while no request is pending close the connection. A response that carries another request
 * ID, and an interim response, is discarded, and the response to the current request is expected after it.
 */
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
public:
    struct Hooks {
        /** The connection is ready for another request. */
        std::function<void(UpstreamConnection&)> idle;
        std::function<void(UpstreamConnection&)> closed;
        /** Returns the current time. */
        std::function<TimePoint()> now;
        /** Called when a response has to wait for memory. */
        std::function<void()> waiting;
        /** Memory of all connections; outlives the connection. */
        MemoryAccount* memory = nullptr;
    };

    UpstreamConnection(boost::asio::io_context& ioContext, std::string requestIdField, Hooks hooks);
    ~UpstreamConnection();
    UpstreamConnection(const UpstreamConnection&) = delete;
    UpstreamConnection& operator=(const UpstreamConnection&) = delete;

    /** @param handler called once, with an empty error code on success */
    void connect(const boost::asio::ip::tcp::endpoint& upstream, TimePoint deadline,
        std::function<void(const boost::system::error_code&)> handler);
    /** Sends a request on an idle connection. The handler is called once, never from within this call. */
    void send(Exchange exchange, ExchangeHandler handler);
    /** Returns true if the connect or the current exchange has passed its deadline. */
    bool isOverdue(TimePoint now) const;
    /** Closes the connection; a pending exchange ends as TimedOut, or as Abandoned if it waited for memory.
     */
    void expire();
    /** Closes the connection; a pending exchange ends as Abandoned. */
    void abandon();
    /** Closes the connection; a pending exchange ends as Broken. */
    void close();

    bool isOpen() const { return open_; }
    /** True if the connection was lost after it had been established. */
    bool wasReset() const { return reset_; }
    /** True if the connection was closed because the replica sent more than the response. */
    bool sentSurplus() const { return sentSurplus_; }
    /** True once the replica has responded to a request on this connection. */
    bool hasResponded() const { return hasResponded_; }
    /** Reads on if there is memory for the response that had to wait. */
    void resume(TimePoint now);
    /** Returns false shortly before the replica's idle timeout closes the connection. */
    bool isFresh(TimePoint now) const { return now < idleUntil_; }

private:
    /** Which request a complete response head belongs to. */
    enum class ResponseMatch {
        CurrentRequest,
        /** An interim response, after which the final one follows. */
        Interim,
        /** A second copy of the response to an earlier request. */
        EarlierRequest,
        /** The replica usually returns the request ID, and this response lacks it. */
        Unknown,
    };

    void write();
    /** Bytes of the request that is being written; zero once it is written. */
    std::size_t requestBytes() const { return writeBuffer_.size() + (writeBody_ ? writeBody_->size() : 0); }
    void clearRequest();
    void read();
    void handleBytes(std::size_t count);
    /** Handles the orderly end of the connection, which ends a response without a length. */
    void handleEnd();
    ResponseMatch matchResponse() const;
    /** Whether there is memory for a response that is being received. */
    enum class Room { Available, Wait, None };
    Room reserveMemory(TimePoint now);
    /** Counts the request that is still to be written, and nothing of a response. */
    void resetMemory();
    void complete();
    void finishExchange(ExchangeOutcome outcome, const ExchangeResponse* response);
    void closeWith(ExchangeOutcome outcome);
    /** Reads the idle timeout of the replica from the Keep-Alive header. */
    void updateIdleTimeout();

    boost::asio::ip::tcp::socket socket_;
    const std::string requestIdField_;
    Hooks hooks_;
    http::MessageReader reader_;
    std::array<char, 4096> chunk_ {};
    /** Bytes received but not yet parsed. */
    std::string readBuffer_;
    bool waitingForMemory_ = false;
    /** The response to the current request has waited for memory at least once. */
    bool hasWaitedForMemory_ = false;
    std::string writeBuffer_;
    std::shared_ptr<const std::string> writeBody_;
    std::size_t bytesWritten_ = 0;
    std::optional<Exchange> exchange_;
    ExchangeHandler handler_;
    std::function<void(const boost::system::error_code&)> connectHandler_;
    TimePoint connectDeadline_ {};
    TimePoint idleUntil_ = TimePoint::max();
    bool hasResponded_ = false;
    /** The replica has returned a request ID on this connection, so a response without one is not to be
     * trusted. */
    bool returnsRequestId_ = false;
    /** Responses that were discarded before the one to the current request. */
    unsigned discardedResponses_ = 0;
    bool sentSurplus_ = false;
    bool reset_ = false;
    bool open_ = false;
    bool closed_ = false;
    MemoryHolder memory_;
};

} // namespace banyancroft::gateway
