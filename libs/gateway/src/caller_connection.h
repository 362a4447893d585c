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

/** A whole request of a caller. */
struct CallerRequest {
    std::shared_ptr<CallerConnection> connection;
    const http::RequestHead& head;
    const std::string& body;
    /** When its first byte arrived. */
    TimePoint arrivedAt {};
    /** The caller had to open a connection for it. */
    bool isFirstOnConnection = false;
};

/** Limits on what a caller may send. */
struct CallerTimeouts {
    Duration header = std::chrono::seconds(3);
    Duration idle = std::chrono::seconds(15);
};

/**
 * One connection of a caller: reads one request after the other and writes their answers.
 *
 * While a request waits for its answer the connection goes on reading, so that a caller that leaves is
 * noticed at once.
 */
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    struct Hooks {
        std::function<void(const CallerRequest&)> request;
        std::function<void(CallerConnection&)> closed;
        /** True when the connection has to end after the present answer. */
        std::function<bool()> isStopping;
    };

    CallerConnection(boost::asio::ip::tcp::socket socket, http::ReadLimits limits, Hooks hooks);

    void start(TimePoint now);
    /** Answers the request that waits; ignored when the caller has left. */
    void respond(const http::Response& response, bool close);
    /** Called when the caller leaves before its answer; cleared by respond(). */
    void onDisconnect(std::function<void()> handler) { disconnectHandler_ = std::move(handler); }
    /** True when the caller is slow with a request or idle for too long. */
    bool isOverdue(const CallerTimeouts& timeouts, TimePoint now) const;
    /** Closes an idle connection; answers 408 to a request that was not read in time. */
    void expire();
    void close();

    /** True while a request that was read in whole has no complete answer. */
    bool isBusy() const { return awaitingResponse_ || !writeBuffer_.empty(); }
    /** True while part of a request was read. */
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
    /** Arrival of the first byte of the present request, or of the connection. */
    TimePoint phaseStartedAt_ {};
    bool hasReceivedRequest_ = false;
    bool awaitingResponse_ = false;
    bool reading_ = false;
    bool closeAfterWrite_ = false;
    bool closed_ = false;
};

} // namespace banyancroft::gateway
