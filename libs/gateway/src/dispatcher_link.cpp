#include "dispatcher_link.h"

#include "http_listener.h"
#include "telemetry/log.h"

namespace banyancroft::gateway {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using telemetry::log;
using telemetry::LogLevel;

constexpr Duration connectTimeout = std::chrono::milliseconds(300);
constexpr Duration reconnectPause = std::chrono::milliseconds(100);
/** A connection on which an overdue dispatcher stays silent for this long is replaced. */
constexpr Duration maxSilence = std::chrono::milliseconds(1000);
/** Interval of messages on an idle connection; the dispatcher closes it after some missed ones. */
constexpr Duration idleQueryInterval = std::chrono::seconds(5);
constexpr Duration initialRoundTrip = std::chrono::milliseconds(2);
/** Limit on a frame of a dispatcher, which is a whole answer at most. */
constexpr std::size_t maxAnswerFrameBytes = 9 * 1024 * 1024;

} // namespace

DispatcherLink::DispatcherLink(boost::asio::io_context& ioContext, MemoryAccount& memory,
    Dispatcher dispatcher, LeavingHandler upstreamLeaving)
    : ioContext_(ioContext)
    , memory_(memory)
    , dispatcher_(std::move(dispatcher))
    , upstreamLeaving_(std::move(upstreamLeaving))
    , roundTrip_(initialRoundTrip)
{
}

TimePoint DispatcherLink::lastReceivedAt() const
{
    return connection_ ? connection_->lastReceivedAt() : TimePoint {};
}

handover::DispatcherLoad DispatcherLink::load() const
{
    const bool usable = connection_ && accepting_ && !unresponsiveSince_;
    return { usable, dispatcher_.processors, pending_.size(), utilization_ };
}

void DispatcherLink::tick(TimePoint now)
{
    if (closed_)
        return;
    if (connecting_ && now - connectStartedAt_ >= connectTimeout) {
        error_code ignored;
        connecting_->close(ignored);
        connecting_.reset();
        nextConnectAt_ = now + reconnectPause;
    }
    if (!connection_) {
        if (!connecting_ && now >= nextConnectAt_)
            connect(now);
        return;
    }
    const auto silence = now - connection_->lastReceivedAt();
    if (unresponsiveSince_ && silence >= maxSilence)
        return closeConnection();
    if (unresponsiveSince_ || silence >= idleQueryInterval)
        connection_->send(handover::StatusQuery {});
}

void DispatcherLink::connect(TimePoint now)
{
    Error reason;
    const auto endpoint = parseEndpoint(dispatcher_.address, reason);
    if (!endpoint) {
        log(LogLevel::Warn, "handover", "address of dispatcher is invalid",
            { { "dispatcher", dispatcher_.vm.str() }, { "reason", toString(reason) } });
        closed_ = true;
        return;
    }
    connectStartedAt_ = now;
    connecting_ = std::make_shared<tcp::socket>(ioContext_);
    connecting_->async_connect(
        *endpoint, [weak = weak_from_this(), socket = connecting_](const error_code& failure) {
            const auto self = weak.lock();
            if (!self || self->connecting_ != socket)
                return;
            const auto at = BootClock::now();
            self->connecting_.reset();
            if (failure) {
                self->nextConnectAt_ = at + reconnectPause;
                return;
            }
            FrameConnection::Hooks hooks;
            hooks.frame = [weak](handover::Frame frame) {
                if (const auto link = weak.lock())
                    link->handleFrame(std::move(frame), BootClock::now());
            };
            hooks.skipped = [weak](const handover::SkippedFrame& frame) {
                if (const auto link = weak.lock())
                    link->handleSkipped(frame);
            };
            hooks.closed = [weak] {
                if (const auto link = weak.lock())
                    link->handleClosed();
            };
            hooks.memory = &self->memory_;
            self->connection_ = std::make_shared<FrameConnection>(
                std::move(*socket), maxAnswerFrameBytes, std::move(hooks));
            self->connection_->start(at);
            self->connection_->send(handover::StatusQuery {});
        });
}

void DispatcherLink::close()
{
    closed_ = true;
    connecting_.reset();
    closeConnection();
}

void DispatcherLink::closeConnection()
{
    if (const auto connection = connection_)
        connection->close();
}

void DispatcherLink::handleClosed()
{
    connection_.reset();
    accepting_ = false;
    cutOffSince_.reset();
    unresponsiveSince_.reset();
    nextConnectAt_ = BootClock::now() + reconnectPause;
    const auto lost = std::exchange(pending_, {});
    const auto questions = std::exchange(creditQuestions_, {});
    log(LogLevel::Info, "handover", "connection to dispatcher closed",
        { { "dispatcher", dispatcher_.vm.str() }, { "requests", std::to_string(lost.size()) } });
    for (const auto& [number, request] : lost)
        request.hooks.lost();
    for (const auto& [number, handler] : questions)
        handler(std::nullopt);
}

std::uint64_t DispatcherLink::askCredit(handover::CreditRequest request, CreditHandler handler)
{
    request.number = ++lastNumber_;
    creditQuestions_.emplace(request.number, std::move(handler));
    connection_->send(request);
    return request.number;
}

void DispatcherLink::returnCredit(const CustomerId& customer)
{
    if (connection_)
        connection_->send(handover::CreditReturn { customer });
}

void DispatcherLink::query()
{
    if (connection_)
        connection_->send(handover::StatusQuery {});
}

std::uint64_t DispatcherLink::offer(
    std::uint64_t configurationVersion, std::string request, HandoverHooks hooks, TimePoint now)
{
    const auto number = ++lastNumber_;
    pending_.emplace(number, Pending { std::move(hooks), now });
    connection_->send(handover::Offer { number, configurationVersion, std::move(request) });
    return number;
}

void DispatcherLink::begin(const handover::Begin& begin)
{
    if (connection_)
        connection_->send(begin);
}

void DispatcherLink::cancel(std::uint64_t number)
{
    if (pending_.erase(number) > 0 && connection_)
        connection_->send(handover::Cancel { number });
}

void DispatcherLink::offerTimedOut(TimePoint now)
{
    if (!connection_ || unresponsiveSince_)
        return;
    unresponsiveSince_ = now;
    log(LogLevel::Warn, "handover", "dispatcher did not accept an offer in time",
        { { "dispatcher", dispatcher_.vm.str() },
            { "silent_ms", std::to_string(toMillis(now - connection_->lastReceivedAt())) },
            { "usual_ms", std::to_string(toMillis(roundTrip_)) } });
}

void DispatcherLink::handleFrame(handover::Frame frame, TimePoint now)
{
    unresponsiveSince_.reset();
    std::visit([this, now](auto& value) { handle(value, now); }, frame);
}

void DispatcherLink::handleSkipped(const handover::SkippedFrame& frame)
{
    const auto found = pending_.find(frame.number);
    if (found == pending_.end())
        return;
    const auto hooks = std::move(found->second.hooks);
    pending_.erase(found);
    hooks.lost();
}

void DispatcherLink::handle(const handover::Acceptance& acceptance, TimePoint now)
{
    const auto found = pending_.find(acceptance.number);
    if (found == pending_.end())
        return;
    roundTrip_ = (roundTrip_ * 7 + (now - found->second.offeredAt)) / 8;
    const auto accepted = found->second.hooks.accepted;
    accepted(acceptance);
}

void DispatcherLink::handle(const handover::Decline& decline, TimePoint)
{
    const auto found = pending_.find(decline.number);
    if (found == pending_.end())
        return;
    const auto hooks = std::move(found->second.hooks);
    pending_.erase(found);
    hooks.declined(decline);
}

void DispatcherLink::handle(const handover::CreditReply& reply, TimePoint)
{
    const auto found = creditQuestions_.find(reply.number);
    if (found == creditQuestions_.end())
        return;
    const auto handler = std::move(found->second);
    creditQuestions_.erase(found);
    handler(reply);
}

void DispatcherLink::handle(handover::Answer& answer, TimePoint)
{
    const auto found = pending_.find(answer.number);
    if (found == pending_.end())
        return;
    const auto hooks = std::move(found->second.hooks);
    pending_.erase(found);
    hooks.answered(answer);
}

void DispatcherLink::handle(const handover::Status& status, TimePoint now)
{
    accepting_ = status.accepting;
    utilization_ = status.utilization;
    cutOffSince_.reset();
    if (status.cutOffFor)
        cutOffSince_ = now - *status.cutOffFor;
}

} // namespace banyancroft::gateway
