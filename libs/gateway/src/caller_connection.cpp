#include "caller_connection.h"

#include "close_on_exception.h"
#include "local_responses.h"

namespace banyancroft::gateway {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/** Reading pauses once this many bytes of further requests are buffered behind a pending one. */
constexpr std::size_t maxReadAheadBytes = 16 * 1024;
/** An empty buffer with a larger capacity is freed, so that idle connections hold little. */
constexpr std::size_t maxIdleCapacity = 8 * 1024;

void freeIfLarge(std::string& buffer)
{
    if (buffer.empty() && buffer.capacity() > maxIdleCapacity)
        buffer = std::string();
}

constexpr unsigned statusRequestTimeout = 408;
constexpr unsigned statusContentTooLarge = 413;
constexpr unsigned statusHeaderTooLarge = 431;

} // namespace

CallerConnection::CallerConnection(tcp::socket socket, http::ReadLimits limits, Hooks hooks)
    : socket_(std::move(socket))
    , hooks_(std::move(hooks))
    , reader_(http::MessageReader::Kind::Request, limits)
    , maxBodyBytes_(limits.bodyBytes)
    , memory_(hooks_.memory, MemoryUse::Caller, [this] { endForMemory(); })
{
}

void CallerConnection::start(TimePoint now)
{
    phaseStartedAt_ = now;
    error_code ignored;
    // Without TCP_NODELAY responses are only slower, so a failure is ignored.
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    read();
}

void CallerConnection::read()
{
    if (reading_ || closed_)
        return;
    reading_ = true;
    socket_.async_read_some(boost::asio::buffer(chunk_),
        [self = shared_from_this()](const error_code& failure, std::size_t count) {
            self->reading_ = false;
            if (self->closed_)
                return;
            if (failure)
                return self->close();
            closeOnException(*self, [&] { self->handleBytes(count); });
        });
}

void CallerConnection::handleBytes(std::size_t count)
{
    if (!awaitingResponse_ && !reader_.hasStarted() && readBuffer_.empty())
        phaseStartedAt_ = BootClock::now();
    readBuffer_.append(chunk_.data(), count);
    const auto now = BootClock::now();
    if (!awaitingResponse_ && writeBuffer_.empty()) {
        memory_.progressed(count, now);
        parse();
    } else {
        updateMemory();
    }
    if (!closed_ && !waitingForMemory_ && readBuffer_.size() < maxReadAheadBytes)
        read();
}

bool CallerConnection::reserveMemory(TimePoint now)
{
    auto needed = readBuffer_.size() + reader_.body().size();
    if (reader_.isHeaderDone()) {
        const auto length = reader_.request().fields.find("content-length");
        const auto bodyBytes = length ? http::parseNumber(*length) : std::nullopt;
        // The head is copied when the request is served.
        const auto headBytes = 2 * reader_.request().memoryBytes();
        if (bodyBytes) {
            needed = readBuffer_.size() + std::min<std::size_t>(*bodyBytes, maxBodyBytes_);
        } else if (needed > MemoryHolder::smallBytes - chunk_.size()) {
            // A body in chunks may grow up to the limit; a small one is likely to end before.
            needed = readBuffer_.size() + maxBodyBytes_;
        }
        needed += headBytes;
    }
    if (needed <= memory_.held())
        return true;
    // A body that is larger than the account is received while nothing else is.
    if (!memory_.tryHold(std::min(needed, memory_.maxBytes()), now)) {
        missingBytes_ = needed - memory_.held();
        return false;
    }
    memory_.hold(needed);
    if (reader_.isHeaderDone())
        reader_.body().reserve(needed - readBuffer_.size() - 2 * reader_.request().memoryBytes());
    return true;
}

void CallerConnection::updateMemory()
{
    auto held = readBuffer_.size() + writeBuffer_.size();
    if (awaitingResponse_)
        held += reader_.request().memoryBytes() + reader_.body().size();
    memory_.hold(held);
}

void CallerConnection::resume(std::size_t bytesAhead, TimePoint now)
{
    if (closed_ || !waitingForMemory_)
        return;
    if (!reserveMemory(now)) {
        if (!reader_.isHeaderDone() || !hooks_.refusal)
            return;
        const auto response = hooks_.refusal(reader_.request(), bytesAhead + missingBytes_, phaseStartedAt_);
        if (!response)
            return;
        awaitingResponse_ = true;
        return respond(*response, true);
    }
    waitingForMemory_ = false;
    memory_.waitForPeer(now);
    read();
}

void CallerConnection::endForMemory()
{
    // A request that was not received whole is refused; a response that is not taken cannot be replaced.
    if (isReceivingRequest()) {
        expire();
    } else {
        close();
    }
}

void CallerConnection::restartProgress(TimePoint now)
{
    progressSince_ = now;
    bytesTaken_ = 0;
}

void CallerConnection::parse()
{
    std::size_t consumed = 0;
    const auto now = BootClock::now();
    const bool hadStarted = reader_.hasStarted();
    const auto state = reader_.read(readBuffer_, consumed);
    readBuffer_.erase(0, consumed);
    freeIfLarge(readBuffer_);
    if (state == http::ReadState::Incomplete) {
        if (!hadStarted)
            memory_.waitForPeer(now);
        waitingForMemory_ = !reserveMemory(now);
        if (waitingForMemory_) {
            // The caller cannot progress meanwhile.
            memory_.stopWaitingForPeer();
            hooks_.waiting();
        }
        return;
    }
    memory_.stopWaitingForPeer();
    if (state != http::ReadState::Complete)
        return rejectRequest(state);
    awaitingResponse_ = true;
    updateMemory();
    const bool isFirst = !std::exchange(hasReceivedRequest_, true);
    hooks_.request({ shared_from_this(), reader_.request(), reader_.body(), phaseStartedAt_, isFirst });
    if (awaitingResponse_) {
        // The handler keeps the body itself if it needs it.
        reader_.body() = std::string();
        updateMemory();
    }
}

void CallerConnection::rejectRequest(http::ReadState state)
{
    http::Response response;
    response.status = statusBadRequest;
    if (state == http::ReadState::HeaderTooLong)
        response.status = statusHeaderTooLarge;
    if (state == http::ReadState::BodyTooLong)
        response.status = statusContentTooLarge;
    awaitingResponse_ = true;
    respond(response, true);
}

void CallerConnection::respond(const http::Response& response, bool close)
{
    disconnectHandler_ = nullptr;
    if (closed_ || !awaitingResponse_)
        return;
    awaitingResponse_ = false;
    const bool malformed = !reader_.isHeaderDone();
    // Pipelined requests that were already read are still answered.
    const bool stopping = hooks_.isStopping() && readBuffer_.empty();
    closeAfterWrite_ = close || malformed || stopping || !reader_.keepsAlive();
    writeBuffer_ = http::serialise(response, closeAfterWrite_, reader_.request().method == "HEAD");
    bytesWritten_ = 0;
    const auto now = BootClock::now();
    waitingForMemory_ = false;
    updateMemory();
    memory_.waitForPeer(now);
    restartProgress(now);
    write();
}

void CallerConnection::write()
{
    const auto self = shared_from_this();
    error_code failure;
    const auto count = socket_.write_some(
        boost::asio::buffer(writeBuffer_.data() + bytesWritten_, writeBuffer_.size() - bytesWritten_),
        failure);
    if (failure && failure != boost::asio::error::would_block)
        return close();
    bytesWritten_ += count;
    bytesTaken_ += count;
    memory_.progressed(count, BootClock::now());
    if (bytesWritten_ == writeBuffer_.size())
        return finishWrite();
    socket_.async_wait(tcp::socket::wait_write, [self](const error_code& waitFailure) {
        if (!waitFailure && !self->closed_)
            self->write();
    });
}

void CallerConnection::finishWrite()
{
    writeBuffer_.clear();
    freeIfLarge(writeBuffer_);
    memory_.stopWaitingForPeer();
    if (closeAfterWrite_) {
        error_code ignored;
        // Closing with unread bytes sends a reset, so the FIN after the response is sent first.
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        return close();
    }
    phaseStartedAt_ = BootClock::now();
    reader_.begin();
    updateMemory();
    if (!readBuffer_.empty())
        parse();
    if (!waitingForMemory_)
        read();
}

bool CallerConnection::hasUnreadBytes() const
{
    error_code ignored;
    return socket_.available(ignored) > 0;
}

bool CallerConnection::isOverdue(const CallerTimeouts& timeouts, TimePoint now)
{
    if (closed_ || awaitingResponse_)
        return false;
    if (!writeBuffer_.empty()) {
        if (now - progressSince_ <= timeouts.responseProgress)
            return false;
        if (bytesTaken_ < timeouts.minResponseBytes)
            return true;
        restartProgress(now);
        return false;
    }
    return now - phaseStartedAt_ > (reader_.hasStarted() ? timeouts.header : timeouts.idle);
}

void CallerConnection::expire()
{
    if (!writeBuffer_.empty())
        return close();
    if (!reader_.hasStarted()) {
        // After a stall of the process, a request may already have arrived.
        if (!hasUnreadBytes())
            close();
        return;
    }
    http::Response response;
    response.status = statusRequestTimeout;
    awaitingResponse_ = true;
    respond(response, true);
}

void CallerConnection::close()
{
    if (closed_)
        return;
    const auto self = shared_from_this();
    closed_ = true;
    awaitingResponse_ = false;
    waitingForMemory_ = false;
    writeBuffer_ = std::string();
    readBuffer_ = std::string();
    memory_.stopWaitingForPeer();
    memory_.hold(0);
    error_code ignored;
    socket_.close(ignored);
    if (const auto handler = std::exchange(disconnectHandler_, nullptr))
        handler();
    hooks_.closed(*this);
}

} // namespace banyancroft::gateway
