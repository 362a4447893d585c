#include "http_listener.h"

#include <algorithm>

namespace banyancroft::gateway {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

/** Size of the accept queue: all callers of a VM may reconnect at once after a restart. */
constexpr int listenBacklog = 1024;
/** A longer time between two calls of expire() shows that the process was stalled. */
constexpr Duration maxExpiryInterval = std::chrono::seconds(1);

} // namespace

std::optional<tcp::endpoint> parseEndpoint(const ListenAddress& address, Error& reason)
{
    error_code failure;
    const auto ip = boost::asio::ip::make_address(address.address, failure);
    if (failure) {
        reason = { ErrorKind::InvalidInput, "\"" + address.address + "\" is not an IP address",
            "give the address as IP:port" };
        return std::nullopt;
    }
    return tcp::endpoint(ip, address.port);
}

bool openListener(tcp::acceptor& acceptor, const ListenAddress& address, Error& reason)
{
    const auto endpoint = parseEndpoint(address, reason);
    if (!endpoint)
        return false;
    error_code failure;
    acceptor.open(endpoint->protocol(), failure);
    if (!failure)
        acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    if (!failure)
        acceptor.bind(*endpoint, failure);
    if (!failure)
        acceptor.listen(listenBacklog, failure);
    if (failure) {
        reason = { ErrorKind::Unavailable,
            "cannot listen on " + address.address + ":" + std::to_string(address.port) + ": "
                + failure.message(),
            "stop the process that uses the address, or configure another one" };
        return false;
    }
    return true;
}

HttpListener::HttpListener(
    boost::asio::io_context& ioContext, std::size_t maxConnections, MemoryAccount& memory, Handler handler)
    : acceptor_(ioContext)
    , maxConnections_(maxConnections)
    , memory_(memory)
    , handler_(std::move(handler))
{
}

HttpListener::~HttpListener() { closeAll(); }

bool HttpListener::listen(const ListenAddress& address, Error& reason)
{
    return openListener(acceptor_, address, reason);
}

void HttpListener::startAccepting()
{
    acceptingEnabled_ = true;
    accept();
}

void HttpListener::setLimits(const http::ReadLimits& limits, const CallerTimeouts& timeouts)
{
    limits_ = limits;
    timeouts_ = timeouts;
}

void HttpListener::accept()
{
    if (!acceptingEnabled_ || accepting_ || !acceptor_.is_open() || connections_.size() >= maxConnections_)
        return;
    accepting_ = true;
    acceptor_.async_accept([this](const error_code& failure, tcp::socket socket) {
        accepting_ = false;
        if (failure == boost::asio::error::operation_aborted)
            return;
        if (!failure) {
            addConnection(std::move(socket));
            accept();
        }
        // After a failure, expire() accepts again: running out of descriptors must not become a busy loop.
    });
}

void HttpListener::addConnection(tcp::socket socket)
{
    CallerConnection::Hooks hooks;
    hooks.request = handler_;
    hooks.closed = [this](CallerConnection& closed) {
        connections_.erase(closed.shared_from_this());
        accept();
    };
    hooks.isStopping = [this] { return stopping_; };
    hooks.memory = &memory_;
    hooks.waiting = [this] {
        if (waiting_)
            waiting_();
    };
    hooks.refusal = refusal_;
    auto connection = std::make_shared<CallerConnection>(std::move(socket), limits_, std::move(hooks));
    connections_.insert(connection);
    connection->start(BootClock::now());
}

void HttpListener::stopAccepting()
{
    error_code failure;
    if (acceptingEnabled_ && acceptor_.is_open())
        acceptor_.non_blocking(true, failure);
    // Closing the socket resets the connections that are still in its queue.
    while (acceptingEnabled_ && acceptor_.is_open() && !failure && connections_.size() < maxConnections_) {
        tcp::socket socket(acceptor_.get_executor());
        acceptor_.accept(socket, failure);
        if (!failure)
            addConnection(std::move(socket));
    }
    acceptor_.close(failure);
}

void HttpListener::closeIdleConnections()
{
    const auto open = connections_;
    for (const auto& connection : open) {
        if (connection->isIdle() && !connection->hasUnreadBytes())
            connection->close();
    }
}

void HttpListener::endPendingRequests(
    const std::function<http::Response(const http::RequestHead&)>& makeResponse)
{
    const auto open = connections_;
    for (const auto& connection : open) {
        if (connection->isAwaitingResponse())
            connection->respond(makeResponse(connection->request()), true);
    }
}

void HttpListener::closeAll()
{
    error_code ignored;
    acceptor_.close(ignored);
    const auto open = connections_;
    for (const auto& connection : open)
        connection->close();
}

void HttpListener::expire(TimePoint now)
{
    // Connections remove themselves from the set when they close, so the overdue ones are collected first.
    std::vector<std::shared_ptr<CallerConnection>> overdue;
    const bool wasStalled = now - std::exchange(lastExpiryAt_, now) > maxExpiryInterval;
    for (const auto& connection : connections_) {
        if (wasStalled)
            connection->restartProgress(now);
        if (connection->isOverdue(timeouts_, now))
            overdue.push_back(connection);
    }
    for (const auto& connection : overdue) {
        if (connection->isWriting() && slowCaller_)
            slowCaller_();
        connection->expire();
    }
    resumeWaiting(now);
    accept();
}

void HttpListener::resumeWaiting(TimePoint now)
{
    std::vector<std::shared_ptr<CallerConnection>> waiting;
    std::copy_if(connections_.begin(), connections_.end(), std::back_inserter(waiting),
        [](const auto& connection) { return connection->isWaitingForMemory(); });
    std::sort(waiting.begin(), waiting.end(),
        [](const auto& left, const auto& right) { return left->phaseStartedAt() < right->phaseStartedAt(); });
    std::size_t bytesAhead = 0;
    for (const auto& connection : waiting) {
        connection->resume(bytesAhead, now);
        bytesAhead += connection->missingBytes();
    }
}

std::size_t HttpListener::busyConnectionCount() const
{
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
        [](const auto& connection) { return connection->isBusy() || connection->isReceivingRequest(); }));
}

} // namespace banyancroft::gateway
