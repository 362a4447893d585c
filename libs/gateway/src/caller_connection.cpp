#include "caller_connection.h"

#include "local_responses.h"

namespace banyancroft::gateway {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/** Bytes of a next request that are kept while one waits for its answer; then reading pauses. */
constexpr std::size_t longestReadAhead = 64 * 1024;

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
    since_ = now;
    error_code ignored;
    // Without the option answers only take longer.
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
            self->received(count);
        });
}

void CallerConnection::received(std::size_t count)
{
    if (!waiting_ && !reader_.hasStarted() && inbox_.empty())
        since_ = BootClock::now();
    inbox_.append(chunk_.data(), count);
    if (!waiting_ && outbox_.empty())
        parse();
    if (!closed_ && inbox_.size() < longestReadAhead)
        read();
}

void CallerConnection::parse()
{
    std::size_t consumed = 0;
    const auto state = reader_.read(inbox_, consumed);
    inbox_.erase(0, consumed);
    if (state == http::ReadState::Incomplete)
        return;
    if (state != http::ReadState::Complete)
        return reject(state);
    waiting_ = true;
    const bool isFirst = !std::exchange(hasServed_, true);
    hooks_.request({ shared_from_this(), reader_.request(), reader_.body(), since_, isFirst });
}

void CallerConnection::reject(http::ReadState state)
{
    http::Response response;
    response.status = statusBadRequest;
    if (state == http::ReadState::HeaderTooLong)
        response.status = statusHeaderTooLarge;
    if (state == http::ReadState::BodyTooLong)
        response.status = statusContentTooLarge;
    waiting_ = true;
    respond(response, true);
}

void CallerConnection::respond(const http::Response& response, bool close)
{
    gone_ = nullptr;
    if (closed_ || !waiting_)
        return;
    waiting_ = false;
    const bool malformed = !reader_.isHeaderDone();
    closeAfterWrite_ = close || malformed || hooks_.isStopping() || !reader_.keepsAlive();
    outbox_ = http::serialise(response, closeAfterWrite_, reader_.request().method == "HEAD");
    written_ = 0;
    write();
}

void CallerConnection::write()
{
    const auto self = shared_from_this();
    error_code failure;
    written_ += socket_.write_some(
        boost::asio::buffer(outbox_.data() + written_, outbox_.size() - written_), failure);
    if (failure && failure != boost::asio::error::would_block)
        return close();
    if (written_ == outbox_.size())
        return finishWrite();
    socket_.async_wait(tcp::socket::wait_write, [self](const error_code& waitFailure) {
        if (!waitFailure && !self->closed_)
            self->write();
    });
}

void CallerConnection::finishWrite()
{
    outbox_.clear();
    if (closeAfterWrite_) {
        error_code ignored;
        // The end of the answer is told before the close, since a close with unread bytes is a reset.
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        return close();
    }
    since_ = BootClock::now();
    reader_.begin();
    if (!inbox_.empty())
        parse();
    read();
}

bool CallerConnection::isOverdue(const CallerTimeouts& timeouts, TimePoint now) const
{
    if (closed_ || isBusy())
        return false;
    return now - since_ > (reader_.hasStarted() ? timeouts.header : timeouts.idle);
}

void CallerConnection::expire()
{
    if (!reader_.hasStarted())
        return close();
    http::Response response;
    response.status = statusRequestTimeout;
    waiting_ = true;
    respond(response, true);
}

void CallerConnection::close()
{
    if (closed_)
        return;
    const auto self = shared_from_this();
    closed_ = true;
    waiting_ = false;
    outbox_.clear();
    error_code ignored;
    socket_.close(ignored);
    if (const auto gone = std::exchange(gone_, nullptr))
        gone();
    hooks_.closed(*this);
}

} // namespace banyancroft::gateway
