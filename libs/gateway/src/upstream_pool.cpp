#include "upstream_pool.h"

#include "telemetry/log.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace banyancroft::gateway {

namespace {

/** A replica that does not accept a connection within this time is considered unreachable. */
constexpr Duration connectTimeout = std::chrono::milliseconds(150);
/** Initial estimate of the time to open a connection. */
constexpr Duration defaultHandshakeTime = std::chrono::milliseconds(5);
/** Period after a reset in which new connections are used only after the settle time. */
constexpr Duration cautionPeriod = std::chrono::seconds(3);
/** Pause before the next connect to a replica that has reset a connection. */
constexpr Duration reconnectPause = std::chrono::milliseconds(30);
/** Settle time as a multiple of the handshake time. A reset takes as long to arrive as the SYN-ACK. */
constexpr int settleTimeFactor = 2;
constexpr Duration minSettleTime = std::chrono::milliseconds(2);
constexpr Duration maxSettleTime = std::chrono::milliseconds(12);

} // namespace

UpstreamPool::UpstreamPool(boost::asio::io_context& ioContext, upstreams::UpstreamPointer upstream,
    std::string requestIdField, MemoryAccount& memory, std::size_t& openSockets,
    std::function<void()> waiting, TimePoint cautiousUntil)
    : ioContext_(ioContext)
    , upstream_(std::move(upstream))
    , requestIdField_(std::move(requestIdField))
    , memory_(memory)
    , openSockets_(openSockets)
    , waiting_(std::move(waiting))
    , cautiousUntil_(cautiousUntil)
    , handshakeTime_(defaultHandshakeTime)
{
}

UpstreamPool::~UpstreamPool()
{
    const auto open = connections_;
    for (const auto& connection : open)
        connection->abandon();
}

std::optional<Duration> UpstreamPool::connectDelay(TimePoint now) const
{
    const bool hasIdle = std::any_of(
        idle_.begin(), idle_.end(), [now](const auto& connection) { return connection->isFresh(now); });
    if (hasIdle)
        return Duration::zero();
    if (connections_.size() - idle_.size() >= limit_ || now < noConnectBefore_)
        return std::nullopt;
    return handshakeTime_ + settleTime(now);
}

Duration UpstreamPool::settleTime(TimePoint now) const
{
    if (now >= cautiousUntil_)
        return Duration::zero();
    return std::clamp<Duration>(handshakeTime_ * settleTimeFactor, minSettleTime, maxSettleTime);
}

std::shared_ptr<UpstreamConnection> UpstreamPool::takeIdle(
    TimePoint now, const std::function<bool(const UpstreamConnection&)>& mayUse)
{
    std::vector<std::shared_ptr<UpstreamConnection>> unfit;
    std::shared_ptr<UpstreamConnection> taken;
    while (!idle_.empty() && !taken) {
        auto connection = std::move(idle_.back());
        idle_.pop_back();
        if (!connection->isOpen() || !connection->isFresh(now)) {
            connection->abandon();
        } else if (mayUse(*connection)) {
            taken = std::move(connection);
        } else {
            unfit.push_back(std::move(connection));
        }
    }
    if (!taken && !unfit.empty()) {
        unfit.back()->abandon();
        unfit.pop_back();
    }
    idle_.insert(idle_.end(), unfit.rbegin(), unfit.rend());
    return taken;
}

void UpstreamPool::connect(TimePoint now, ConnectHandler handler)
{
    UpstreamConnection::Hooks hooks;
    hooks.idle = [this](UpstreamConnection& connection) { release(connection.shared_from_this()); };
    hooks.closed = [this](UpstreamConnection& connection) { removeClosed(connection); };
    hooks.now = [] { return BootClock::now(); };
    hooks.memory = &memory_;
    hooks.waiting = waiting_;
    auto connection = std::make_shared<UpstreamConnection>(ioContext_, requestIdField_, std::move(hooks));
    connections_.push_back(connection);
    ++openSockets_;
    ++connecting_;
    boost::system::error_code ignored;
    // The address was validated when the registration was decoded.
    const auto address = boost::asio::ip::make_address(upstream_->record.address, ignored);
    connection->connect({ address, upstream_->record.port }, now + connectTimeout,
        [this, connection, started = now, handler = std::move(handler)](
            const boost::system::error_code& failure) {
            --connecting_;
            const auto at = BootClock::now();
            if (failure) {
                upstream_->health.connectFailed(failure == boost::asio::error::connection_refused, at);
                return handler(nullptr);
            }
            upstream_->health.connected(at);
            handshakeTime_ = (handshakeTime_ * 3 + (at - started)) / 4;
            const auto time = settleTime(at);
            if (time == Duration::zero())
                return handler(connection);
            settle(connection, time, handler);
        });
}

void UpstreamPool::settle(
    std::shared_ptr<UpstreamConnection> connection, Duration time, ConnectHandler handler)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(ioContext_, time);
    timer->async_wait(
        [timer, connection = std::move(connection), handler = std::move(handler)](
            const boost::system::error_code&) { handler(connection->isOpen() ? connection : nullptr); });
}

void UpstreamPool::release(const std::shared_ptr<UpstreamConnection>& connection)
{
    if (retired_ || !reusesConnections_)
        return connection->abandon();
    idle_.push_back(connection);
}

void UpstreamPool::removeClosed(UpstreamConnection& connection)
{
    if (connection.wasReset() && !connection.hasResponded()) {
        const auto now = BootClock::now();
        cautiousUntil_ = std::max(cautiousUntil_, now + cautionPeriod);
        noConnectBefore_ = now + reconnectPause;
    }
    if (connection.sentSurplus() && !std::exchange(surplusLogged_, true))
        telemetry::log(telemetry::LogLevel::Warn, "upstream",
            "closing connections on which a replica sends more than its response",
            { { "upstream", upstream_->record.id.str() } });
    const auto isSame = [&connection](const auto& entry) { return entry.get() == &connection; };
    idle_.erase(std::remove_if(idle_.begin(), idle_.end(), isSame), idle_.end());
    openSockets_ -= std::erase_if(connections_, isSame);
}

void UpstreamPool::expire(TimePoint now)
{
    // Connections remove themselves from the lists when they close, so the overdue ones are collected first.
    std::vector<std::shared_ptr<UpstreamConnection>> overdue;
    for (const auto& connection : connections_) {
        if (connection->isOverdue(now))
            overdue.push_back(connection);
    }
    for (const auto& connection : idle_) {
        if (!connection->isFresh(now))
            overdue.push_back(connection);
    }
    for (const auto& connection : overdue)
        connection->expire();
}

void UpstreamPool::resumeWaiting(TimePoint now)
{
    for (const auto& connection : connections_)
        connection->resume(now);
}

void UpstreamPool::retire()
{
    retired_ = true;
    closeIdle();
}

void UpstreamPool::closeIdle()
{
    const auto idle = idle_;
    for (const auto& connection : idle)
        connection->abandon();
}

} // namespace banyancroft::gateway
