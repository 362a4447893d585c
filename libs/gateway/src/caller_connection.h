#pragma once

#include "base/time.h"
#include "http/message_reader.h"
#include "http/message_writer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>

namespace banyancroft::gateway {

class CallerConnection;

/** A complete request received from a caller. */
struct CallerRequest {
    std::shared_ptr<CallerConnection> connection;
    const http::RequestHead& head;
    const std::string& body;
    /** Arrival time of the first byte. */
    TimePoint arrivedAt {};
    /** First request on its connection, so the caller also waited for the connection handshake. */
    bool isFirstOnConnection = false;
};

/** Time limits on the connections of callers. */
struct CallerTimeouts {
    /** Time to receive a complete request, from its first byte. */
    Duration header = std::chrono::seconds(3);
    /** Time without the start of a request. */
    Duration idle = std::chrono::seconds(15);
};

/**
 * An HTTP connection from a caller. Reads requests one at a time and writes their responses.
 *
 * The connection keeps reading while a request is pending, so that a disconnect of the caller is detected
 * immediately.
 */
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    struct Hooks {
        std::function<void(const CallerRequest&)> request;
        std::function<void(CallerConnection&)> closed;
        /** Returns true if the connection must close after the current response. */
        std::function<bool()> isStopping;
    };

    CallerConnection(boost::asio::ip::tcp::socket socket, http::ReadLimits limits, Hooks hooks);

    void start(TimePoint now);
    /** Responds to the pending request; does nothing if the caller has disconnected. */
    void respond(const http::Response& response, bool close);
    /** Sets a handler for a disconnect of the caller before the response; respond() clears it. */
    void onDisconnect(std::function<void()> handler) { disconnectHandler_ = std::move(handler); }
    /** Returns true if the request in progress or the idle connection has exceeded its timeout. */
    bool isOverdue(const CallerTimeouts& timeouts, TimePoint now) const;
    /** Closes an idle connection; responds with 408 to a request that was not received in time. */
    void expire();
    void close();

    /** True if no part of a request has been read and no response is being written. */
    bool isIdle() const { return !isBusy() && !reader_.hasStarted() && readBuffer_.empty(); }
    /** True while a request awaits its response. */
    bool isAwaitingResponse() const { return awaitingResponse_; }
    /** True if bytes of the caller wait in the socket. */
    bool hasUnreadBytes() const;
    /** The request that awaits its response. */
    const http::RequestHead& request() const { return reader_.request(); }
    /** True while a complete request is pending or its response is being written. */
    bool isBusy() const { return awaitingResponse_ || !writeBuffer_.empty(); }
    /** True while a request has been received only in part. */
    bool isReceivingRequest() const { return !awaitingResponse_ && reader_.hasStarted(); }

private:
    void read();
    void handleBytes(std::size_t count);
    void parse();
    void rejectRequest(http::ReadState state);
    void write();
    void finishWrite();

    boost::asio::ip::tcp::socket socket_;
    Hooks hooks_;
    http::MessageReader reader_;
    std::array<char, 4096> chunk_ {};
    std::string readBuffer_;
    std::string writeBuffer_;
    std::size_t bytesWritten_ = 0;
    std::function<void()> disconnectHandler_;
    /** Start of the current request, or of the idle period before it. */
    TimePoint phaseStartedAt_ {};
    bool hasReceivedRequest_ = false;
    bool awaitingResponse_ = false;
    bool reading_ = false;
    bool closeAfterWrite_ = false;
    bool closed_ = false;
};

} // namespace banyancroft::gateway
