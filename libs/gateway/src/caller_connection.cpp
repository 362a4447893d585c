#include "caller_connection.h"

#include "close_on_exception.h"
#include "local_responses.h"

namespace banyancroft::gateway {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/** Reading pauses once this many bytes of further requests are buffered behind a pending one. */
constexpr std::size_t maxReadAheadBytes = 64 * 1024;

constexpr unsigned statusRequestTimeout = 408;
constexpr unsigned statusContentTooLarge = 413;
constexpr unsigned statusHeaderTooLarge = 431;

} // namespace

CallerConnection::CallerConnection(tcp::socket socket, http::ReadLimits limits, Hooks hooks)
    : socket_(std::move(socket))
    , hooks_(std::move(hooks))
    , reader_(http::MessageReader::Kind::Request, limits)
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
    if (!awaitingResponse_ && writeBuffer_.empty())
        parse();
    if (!closed_ && readBuffer_.size() < maxReadAheadBytes)
        read();
}

void CallerConnection::parse()
{
    std::size_t consumed = 0;
    const auto state = reader_.read(readBuffer_, consumed);
    readBuffer_.erase(0, consumed);
    if (state == http::ReadState::Incomplete)
        return;
    if (state != http::ReadState::Complete)
        return rejectRequest(state);
    awaitingResponse_ = true;
    const bool isFirst = !std::exchange(hasReceivedRequest_, true);
    hooks_.request({ shared_from_this(), reader_.request(), reader_.body(), phaseStartedAt_, isFirst });
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
    write();
}

void CallerConnection::write()
{
    const auto self = shared_from_this();
    error_code failure;
    bytesWritten_ += socket_.write_some(
        boost::asio::buffer(writeBuffer_.data() + bytesWritten_, writeBuffer_.size() - bytesWritten_),
        failure);
    if (failure && failure != boost::asio::error::would_block)
        return close();
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
    if (closeAfterWrite_) {
        error_code ignored;
        // Closing with unread bytes sends a reset, so the FIN after the response is sent first.
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        return close();
    }
    phaseStartedAt_ = BootClock::now();
    reader_.begin();
    if (!readBuffer_.empty())
        parse();
    read();
}

bool CallerConnection::hasUnreadBytes() const
{
    error_code ignored;
    return socket_.available(ignored) > 0;
}

bool CallerConnection::isOverdue(const CallerTimeouts& timeouts, TimePoint now) const
{
    if (closed_ || isBusy())
        return false;
    return now - phaseStartedAt_ > (reader_.hasStarted() ? timeouts.header : timeouts.idle);
}

void CallerConnection::expire()
{
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
    writeBuffer_.clear();
    error_code ignored;
    socket_.close(ignored);
    if (const auto handler = std::exchange(disconnectHandler_, nullptr))
        handler();
    hooks_.closed(*this);
}

} // namespace banyancroft::gateway
