#pragma once

#include "base/time.h"
#include "http/message_reader.h"
#include "http/message_writer.h"
#include "memory_account.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
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
    /** Time in which a caller must take `minResponseBytes` of its response. */
    Duration responseProgress = std::chrono::seconds(10);
    /** 4 KiB/s over the default time; a caller within the limits is faster by orders of magnitude. */
    std::size_t minResponseBytes = 40 * 1024;
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
        /** Memory of all connections; nullptr: not limited. Outlives the connection. */
        MemoryAccount* memory = nullptr;
        /** Called when a body has to wait for memory. */
        std::function<void()> waiting;
        /**
         * Returns the response to a request that would wait too long for `bytes` of memory, its own and those
         * of the requests before it; empty if it is to wait.
         */
        std::function<std::optional<http::Response>(
            const http::RequestHead&, std::size_t bytes, TimePoint arrivedAt)>
            refusal;
    };

    CallerConnection(boost::asio::ip::tcp::socket socket, http::ReadLimits limits, Hooks hooks);

    void start(TimePoint now);
    /** Responds to the pending request; does nothing if the caller has disconnected. */
    void respond(const http::Response& response, bool close);
    /** Sets a handler for a disconnect of the caller before the response; respond() clears it. */
    void onDisconnect(std::function<void()> handler) { disconnectHandler_ = std::move(handler); }
    /**
     * Returns true if the request in progress or the idle connection has exceeded its timeout, or the caller
     * takes its response too slowly. Call regularly, since each period of progress ends in this call.
     */
    bool isOverdue(const CallerTimeouts& timeouts, TimePoint now);
    /**
     * Closes an idle connection and one whose caller does not take its response; responds with 408 to a
     * request that was not received in time.
     */
    void expire();
    void close();
    /**
     * Reads on if there is memory for the body that had to wait, or refuses a request that would wait too
     * long.
     * @param bytesAhead bytes that older requests wait for
     */
    void resume(std::size_t bytesAhead, TimePoint now);
    /** Bytes that a waiting request lacks. */
    std::size_t missingBytes() const { return waitingForMemory_ ? missingBytes_ : 0; }
    /** Starts the measurement of the caller's progress anew after a stall of the process. */
    void restartProgress(TimePoint now);

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
    /** True while the caller has not taken its whole response. */
    bool isWriting() const { return !writeBuffer_.empty(); }
    /** True while a body waits for memory. */
    bool isWaitingForMemory() const { return waitingForMemory_; }
    /** Start of the current request, or of the idle period before it. */
    TimePoint phaseStartedAt() const { return phaseStartedAt_; }

private:
    /** Reserves memory for the request that is being received; false if it has to wait. */
    bool reserveMemory(TimePoint now);
    /** Counts what is buffered while no body is being received. */
    void updateMemory();
    /** Ends the connection to make room for others. */
    void endForMemory();
    void read();
    void handleBytes(std::size_t count);
    void parse();
    void rejectRequest(http::ReadState state);
    void write();
    void finishWrite();

    boost::asio::ip::tcp::socket socket_;
    Hooks hooks_;
    http::MessageReader reader_;
    const std::size_t maxBodyBytes_;
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
    bool waitingForMemory_ = false;
    std::size_t missingBytes_ = 0;
    /** Start of the period in which the caller must take bytes of its response, and how many it took. */
    TimePoint progressSince_ {};
    std::size_t bytesTaken_ = 0;
    MemoryHolder memory_;
};

} // namespace banyancroft::gateway
