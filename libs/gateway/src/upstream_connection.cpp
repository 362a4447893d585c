#include "upstream_connection.h"

#include "close_on_exception.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace banyancroft::gateway {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/** An idle connection is closed this long before the replica does, to allow for the delay of a request. */
constexpr Duration idleCloseMargin = std::chrono::milliseconds(300);
/** Limit on the body of a response. */
constexpr std::size_t maxBodyBytes = 8 * 1024 * 1024;
/**
 * Interim responses and copies of earlier ones that are discarded before the response to a request. A replica
 * sends at most a few.
 */
constexpr unsigned maxDiscardedResponses = 16;
/** The memory for a response without a length is reserved in steps of this size. */
constexpr std::size_t reservationStep = 256 * 1024;

} // namespace

UpstreamConnection::UpstreamConnection(
    boost::asio::io_context& ioContext, std::string requestIdField, Hooks hooks)
    : socket_(ioContext)
    , requestIdField_(std::move(requestIdField))
    , hooks_(std::move(hooks))
    , reader_(http::MessageReader::Kind::Response, { 64 * 1024, maxBodyBytes })
    , memory_(hooks_.memory, MemoryUse::UpstreamResponse, [] {})
{
}

UpstreamConnection::~UpstreamConnection() = default;

void UpstreamConnection::resetMemory() { memory_.hold(writeBuffer_.size()); }

UpstreamConnection::Room UpstreamConnection::reserveMemory(TimePoint now)
{
    const auto received = readBuffer_.size() + reader_.body().size();
    auto needed = writeBuffer_.size() + received;
    const auto length
        = reader_.isHeaderDone() ? reader_.response().fields.find("content-length") : std::nullopt;
    const auto bodyBytes = length ? http::parseNumber(*length) : std::nullopt;
    if (bodyBytes) {
        needed = writeBuffer_.size() + readBuffer_.size() + std::min<std::size_t>(*bodyBytes, maxBodyBytes);
    } else if (received > MemoryHolder::smallBytes - chunk_.size()) {
        needed = writeBuffer_.size() + (received / reservationStep + 1) * reservationStep;
    }
    if (needed <= memory_.held() || memory_.tryHold(needed, now)) {
        if (bodyBytes)
            reader_.body().reserve(needed - writeBuffer_.size() - readBuffer_.size());
        return Room::Available;
    }
    // Responses without a length that all wait for more would wait for each other.
    const bool mayWait = received <= MemoryHolder::smallBytes && needed <= memory_.maxBytes();
    return mayWait ? Room::Wait : Room::None;
}

void UpstreamConnection::resume(TimePoint now)
{
    if (closed_ || !waitingForMemory_ || !exchange_ || reserveMemory(now) != Room::Available)
        return;
    waitingForMemory_ = false;
    read();
}

void UpstreamConnection::connect(
    const tcp::endpoint& upstream, TimePoint deadline, std::function<void(const error_code&)> handler)
{
    connectHandler_ = std::move(handler);
    connectDeadline_ = deadline;
    socket_.async_connect(upstream, [self = shared_from_this()](const error_code& failure) {
        if (self->closed_)
            return;
        if (failure) {
            self->closed_ = true;
            self->hooks_.closed(*self);
        } else {
            self->open_ = true;
            error_code ignored;
            // Without TCP_NODELAY requests are only slower, so a failure is ignored.
            self->socket_.set_option(tcp::no_delay(true), ignored);
            self->socket_.non_blocking(true, ignored);
            self->read();
        }
        if (const auto connected = std::exchange(self->connectHandler_, nullptr))
            connected(failure);
    });
}

void UpstreamConnection::send(Exchange exchange, ExchangeHandler handler)
{
    exchange_ = std::move(exchange);
    handler_ = std::move(handler);
    reader_.begin(exchange_->withoutBody);
    writeBuffer_ = std::move(exchange_->head);
    writeBody_ = std::move(exchange_->body);
    bytesWritten_ = 0;
    discardedResponses_ = 0;
    resetMemory();
    write();
}

void UpstreamConnection::write()
{
    error_code failure;
    const auto headSent = std::min(bytesWritten_, writeBuffer_.size());
    std::array<boost::asio::const_buffer, 2> buffers { boost::asio::buffer(writeBuffer_) + headSent };
    if (writeBody_)
        buffers[1] = boost::asio::buffer(*writeBody_) + (bytesWritten_ - headSent);
    bytesWritten_ += socket_.write_some(buffers, failure);
    if (failure && failure != boost::asio::error::would_block) {
        boost::asio::post(socket_.get_executor(),
            [self = shared_from_this()] { self->closeWith(ExchangeOutcome::Broken); });
        return;
    }
    if (bytesWritten_ == requestBytes()) {
        memory_.hold(memory_.held() - std::min(memory_.held(), writeBuffer_.size()));
        return clearRequest();
    }
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const error_code& waitFailure) {
        if (!waitFailure && !self->closed_ && self->exchange_)
            self->write();
    });
}

void UpstreamConnection::clearRequest()
{
    writeBuffer_ = std::string();
    writeBody_.reset();
    bytesWritten_ = 0;
}

void UpstreamConnection::read()
{
    socket_.async_read_some(boost::asio::buffer(chunk_),
        [self = shared_from_this()](const error_code& failure, std::size_t count) {
            if (self->closed_)
                return;
            if (!failure)
                return closeOnException(*self, [&] { self->handleBytes(count); });
            if (failure == boost::asio::error::eof)
                return closeOnException(*self, [&] { self->handleEnd(); });
            self->closeWith(ExchangeOutcome::Broken);
        });
}

void UpstreamConnection::handleEnd()
{
    // A response without a length ends with an orderly close of the connection, but not with a reset.
    if (exchange_ && reader_.end() == http::ReadState::Complete
        && matchResponse() == ResponseMatch::CurrentRequest)
        return complete();
    closeWith(ExchangeOutcome::Broken);
}

UpstreamConnection::ResponseMatch UpstreamConnection::matchResponse() const
{
    if (http::isInterimStatus(reader_.response().status))
        return ResponseMatch::Interim;
    const auto responseId = reader_.response().fields.find(requestIdField_);
    if (!responseId)
        return returnsRequestId_ ? ResponseMatch::Unknown : ResponseMatch::CurrentRequest;
    return *responseId == exchange_->requestId ? ResponseMatch::CurrentRequest
                                               : ResponseMatch::EarlierRequest;
}

void UpstreamConnection::handleBytes(std::size_t count)
{
    readBuffer_.append(chunk_.data(), count);
    // No request is pending, so these bytes cannot be a response.
    if (!exchange_) {
        sentSurplus_ = true;
        return closeWith(ExchangeOutcome::Malformed);
    }
    while (exchange_ && !closed_ && !readBuffer_.empty()) {
        std::size_t consumed = 0;
        const auto state = reader_.read(readBuffer_, consumed);
        readBuffer_.erase(0, consumed);
        if (state == http::ReadState::Incomplete) {
            // The copy of a response that ends with the connection leaves no room for the current one.
            if (reader_.isHeaderDone() && !reader_.response().hasFraming
                && matchResponse() == ResponseMatch::EarlierRequest)
                return closeWith(ExchangeOutcome::Malformed);
            const auto room = reserveMemory(hooks_.now());
            if (room == Room::None)
                return closeWith(ExchangeOutcome::TooLong);
            waitingForMemory_ = room == Room::Wait;
            if (waitingForMemory_) {
                hasWaitedForMemory_ = true;
                hooks_.waiting();
            }
            break;
        }
        if (state == http::ReadState::HeaderTooLong || state == http::ReadState::BodyTooLong)
            return closeWith(ExchangeOutcome::TooLong);
        if (state != http::ReadState::Complete)
            return closeWith(ExchangeOutcome::Malformed);
        const auto match = matchResponse();
        if (match == ResponseMatch::CurrentRequest)
            return complete();
        if (match == ResponseMatch::Unknown)
            return closeWith(ExchangeOutcome::Malformed);
        if (++discardedResponses_ > maxDiscardedResponses)
            return closeWith(ExchangeOutcome::TooLong);
        returnsRequestId_ = returnsRequestId_ || match == ResponseMatch::EarlierRequest;
        reader_.begin(exchange_->withoutBody);
        resetMemory();
    }
    if (!closed_ && !waitingForMemory_)
        read();
}

void UpstreamConnection::complete()
{
    hasResponded_ = true;
    sentSurplus_ = !readBuffer_.empty();
    returnsRequestId_ = reader_.response().fields.find(requestIdField_).has_value();
    const bool reusable = readBuffer_.empty() && bytesWritten_ == requestBytes()
        && reader_.response().hasFraming && reader_.keepsAlive();
    updateIdleTimeout();
    const auto self = shared_from_this();
    if (!reusable) {
        closed_ = true;
        open_ = false;
        error_code ignored;
        socket_.close(ignored);
    }
    const ExchangeResponse response { reader_.response(), reader_.body() };
    finishExchange(ExchangeOutcome::Completed, &response);
    if (closed_)
        return hooks_.closed(*this);
    hooks_.idle(*this);
    if (!closed_)
        read();
}

void UpstreamConnection::updateIdleTimeout()
{
    const auto field = reader_.response().fields.find("keep-alive");
    if (!field)
        return;
    constexpr std::string_view key = "timeout=";
    const auto at = field->find(key);
    if (at == std::string_view::npos)
        return;
    const auto digits = field->substr(at + key.size());
    const auto seconds = http::parseNumber(digits.substr(0, digits.find_first_not_of("0123456789")));
    if (seconds)
        idleUntil_ = hooks_.now() + statedDuration(*seconds, std::chrono::seconds(1)) - idleCloseMargin;
}

void UpstreamConnection::finishExchange(ExchangeOutcome outcome, const ExchangeResponse* response)
{
    exchange_.reset();
    waitingForMemory_ = false;
    hasWaitedForMemory_ = false;
    clearRequest();
    // The handler counts what it keeps of the response.
    resetMemory();
    if (const auto handler = std::exchange(handler_, nullptr))
        handler(outcome, response);
}

void UpstreamConnection::closeWith(ExchangeOutcome outcome)
{
    if (closed_)
        return;
    const auto self = shared_from_this();
    // A replica that cannot send, because this VM does not read, is neither late nor broken.
    if (hasWaitedForMemory_ && (outcome == ExchangeOutcome::Broken || outcome == ExchangeOutcome::TimedOut))
        outcome = ExchangeOutcome::NoMemory;
    reset_ = open_ && outcome == ExchangeOutcome::Broken;
    closed_ = true;
    open_ = false;
    error_code ignored;
    socket_.close(ignored);
    hooks_.closed(*this);
    if (const auto connected = std::exchange(connectHandler_, nullptr))
        connected(boost::asio::error::timed_out);
    finishExchange(outcome, nullptr);
}

bool UpstreamConnection::isOverdue(TimePoint now) const
{
    if (!open_ && !closed_)
        return now >= connectDeadline_;
    return exchange_ && now >= exchange_->deadline;
}

void UpstreamConnection::expire() { closeWith(ExchangeOutcome::TimedOut); }

void UpstreamConnection::close() { closeWith(ExchangeOutcome::Broken); }

void UpstreamConnection::abandon() { closeWith(ExchangeOutcome::Abandoned); }

} // namespace banyancroft::gateway
