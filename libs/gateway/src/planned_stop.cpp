#include "planned_stop.h"

#include "local_responses.h"
#include "run_after.h"
#include "telemetry/log.h"

namespace banyancroft::gateway {

namespace {

using telemetry::log;
using telemetry::LogLevel;

constexpr Duration stepPeriod = std::chrono::milliseconds(20);
/** Retry-After of requests that came too late; a new connection leads to another VM. */
constexpr Duration refusedRetryAfter = std::chrono::milliseconds(50);

std::string requestId(const http::RequestHead& head, const Dialect& dialect)
{
    return std::string(head.fields.find(dialect.headers.requestId).value_or(""));
}

} // namespace

PlannedStop::PlannedStop(
    boost::asio::io_context& ioContext, HttpListener& callers, TrafficManager& traffic, Hooks hooks)
    : callers_(callers)
    , traffic_(traffic)
    , hooks_(std::move(hooks))
    , timer_(ioContext)
{
}

std::size_t PlannedStop::pendingRequests() const
{
    return callers_.busyConnectionCount() + hooks_.requestsOfOtherVms();
}

void PlannedStop::begin(TimePoint now)
{
    if (hasBegun())
        return;
    begunAt_ = now;
    log(LogLevel::Info, "gateway", "stopping",
        { { "connections", std::to_string(callers_.connectionCount()) },
            { "busy", std::to_string(callers_.busyConnectionCount()) } });
    callers_.disableKeepAlive();
    step(now);
}

void PlannedStop::step(TimePoint now)
{
    const auto notAcceptingFor
        = stoppedAcceptingAt_ ? std::optional(now - *stoppedAcceptingAt_) : std::nullopt;
    phase_ = shutdownPhase(now - *begunAt_, hooks_.grace(), pendingRequests(), notAcceptingFor);
    if (phase_ == ShutdownPhase::Exit)
        return exit(now);
    // First, so that an error in one step does not end the steps.
    runAfter(timer_, stepPeriod, [this] { step(BootClock::now()); });
    if (phase_ == ShutdownPhase::AwaitLastRequests && !stoppedAcceptingAt_)
        stopAccepting(now);
    if (phase_ == ShutdownPhase::Drain)
        callers_.closeIdleConnections();
}

void PlannedStop::stopAccepting(TimePoint now)
{
    callers_.stopAccepting();
    stoppedAcceptingAt_ = now;
    log(LogLevel::Info, "gateway", "not accepting connections any more",
        { { "busy", std::to_string(pendingRequests()) },
            { "connections", std::to_string(callers_.connectionCount()) } });
}

void PlannedStop::refuse(const CallerRequest& request, TimePoint now)
{
    const auto response = unavailableResponse(traffic_.dialect().headers, refusedRetryAfter);
    traffic_.metrics().requests.add();
    traffic_.metrics().refused.add();
    traffic_.requestLog().logOutcome(now, "request rejected",
        { { "id", requestId(request.head, traffic_.dialect()) }, { "target", request.head.target },
            { "reason", "VM is stopping" }, { "status", std::to_string(response.status) },
            { "stopping_ms", std::to_string(toMillis(now - *begunAt_)) } });
    request.connection->respond(response, false);
}

void PlannedStop::exit(TimePoint now)
{
    const auto pending = pendingRequests();
    callers_.endPendingRequests([&](const http::RequestHead& head) {
        // The request may have run.
        auto response = emptyResponse(statusBadGateway);
        traffic_.metrics().failed.add();
        traffic_.requestLog().logOutcome(now, "request ended",
            { { "id", requestId(head, traffic_.dialect()) },
                { "outcome", "in progress at the end of the grace period" },
                { "status", std::to_string(response.status) },
                { "stopping_ms", std::to_string(toMillis(now - *begunAt_)) } });
        return response;
    });
    callers_.closeIdleConnections();
    log(LogLevel::Info, "gateway", "stopped",
        { { "busy", std::to_string(pending) },
            { "connections", std::to_string(callers_.connectionCount()) } });
    telemetry::flushLog();
    hooks_.exit();
}

} // namespace banyancroft::gateway
