#include "handover_runner.h"

#include "local_responses.h"
#include "request_runner.h"

#include <algorithm>
#include <array>
#include <span>

namespace banyancroft::gateway {

namespace {

using handover::HandoverStepKind;

/** Time for a dispatcher to accept, as a fraction of the latency objective, so that a second one can still
 * meet it. */
constexpr double offerTimeoutFraction = 0.2;
constexpr Duration minOfferTimeout = std::chrono::milliseconds(10);
constexpr Duration maxOfferTimeout = std::chrono::milliseconds(40);
/** Dispatchers send a sign of life more often than this while a request has begun. */
constexpr Duration silenceLimit = std::chrono::milliseconds(300);
/** Time after the deadline within which the dispatcher's own answer arrives. */
constexpr Duration answerGrace = std::chrono::milliseconds(50);
constexpr unsigned maxOffers = 2;

std::string formatMillis(Duration duration) { return std::to_string(toMillis(duration)); }

} // namespace

void HandoverRunner::run(HandoverContext& context, const IncomingRequest& request, TimePoint now)
{
    auto routed = routeRequest(context.traffic, request, now);
    if (!routed)
        return;
    const auto& route = *routed->route;
    handover::HandoverRules rules;
    rules.idempotent = route.idempotent || route.isGather();
    rules.offerTimeout = std::clamp<Duration>(
        scaled(route.latencyObjective, offerTimeoutFraction), minOfferTimeout, maxOfferTimeout);
    rules.maxOffers = maxOffers;
    rules.silenceLimit = silenceLimit;
    rules.deadline = request.arrivedAt + std::min(routed->deadline, route.timeout) + answerGrace;
    std::make_shared<HandoverRunner>(context, request, std::move(*routed), rules)->start(now);
}

HandoverRunner::HandoverRunner(HandoverContext& context, const IncomingRequest& request, RoutedRequest routed,
    const handover::HandoverRules& rules)
    : context_(context)
    , respond_(request.respond)
    , onDisconnect_(request.onDisconnect)
    , head_(request.head)
    , body_(request.body)
    , memory_(&context.traffic.memory(), MemoryUse::Parts, [] {})
    , arrivedAt_(request.arrivedAt)
    , openedConnection_(request.openedConnection)
    , routed_(std::move(routed))
    , plan_(rules)
    , timer_(context.traffic.ioContext())
{
}

void HandoverRunner::start(TimePoint now)
{
    const bool hasMemory = memory_.tryHoldRequest(head_.memoryBytes(), now);
    memory_.hold(head_.memoryBytes() + body_.size());
    if (!hasMemory)
        return finish(context_.traffic.refuseForMemory(), "refused, memory is short", now);
    onDisconnect_([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->handleDisconnect(BootClock::now());
    });
    runPlan(now);
}

void HandoverRunner::runPlan(TimePoint now)
{
    if (finished_ || runningPlan_)
        return;
    runningPlan_ = true;
    const auto self = shared_from_this();
    while (!finished_) {
        if (link_ && plan_.hasBegun())
            plan_.heard(link_->lastReceivedAt());
        const auto step = plan_.next(now);
        if (step.kind == HandoverStepKind::Offer) {
            offer(now);
            continue;
        }
        if (step.kind == HandoverStepKind::Withdraw) {
            context_.traffic.metrics().offersTimedOut.add();
            link_->offerTimedOut(now);
            link_->cancel(number_);
            link_.reset();
            continue;
        }
        if (step.kind == HandoverStepKind::SendDirectly)
            sendDirectly(now);
        if (step.kind == HandoverStepKind::Fail)
            fail(now);
        if (step.kind == HandoverStepKind::Wait)
            wait(step.until, now);
        break;
    }
    runningPlan_ = false;
}

void HandoverRunner::wait(TimePoint until, TimePoint now)
{
    timer_.expires_after(std::max<Duration>(until - now, std::chrono::milliseconds(1)));
    // The pending wait keeps this object alive until the request has ended.
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& failure) {
        if (!failure)
            self->runPlan(BootClock::now());
    });
}

void HandoverRunner::offer(TimePoint now)
{
    auto& traffic = context_.traffic;
    link_ = context_.dispatchers.choose(asked_, [&traffic] { return traffic.uniformRandom(); });
    if (!link_)
        return plan_.noDispatcher();
    asked_.push_back(link_);
    plan_.offered(now);
    traffic.metrics().offers.add();
    const auto version = std::max(traffic.configuration().version(), traffic.newestVersionSeen());
    // The dispatcher identifies the customer again, also if the caller lists the field in Connection.
    const auto& authorization = traffic.dialect().headers.authorization;
    const auto credentials = routed_.customer ? head_.fields.find(authorization) : std::nullopt;
    const std::array<http::Field, 1> kept { http::Field { authorization, credentials.value_or("") } };
    number_ = link_->offer(version.value,
        http::serialiseRequest(
            head_.method, head_.target, head_.fields, std::span(kept).first(credentials ? 1 : 0), body_),
        linkHooks(), now);
}

HandoverHooks HandoverRunner::linkHooks()
{
    const auto hook = [this](auto handler) {
        return [weak = weak_from_this(), handler](auto&&... event) {
            if (const auto self = weak.lock(); self && !self->finished_)
                handler(*self, event..., BootClock::now());
        };
    };
    HandoverHooks hooks;
    hooks.accepted = hook([](HandoverRunner& self, const handover::Acceptance& acceptance, TimePoint now) {
        self.handleAccepted(acceptance, now);
    });
    hooks.declined = hook([](HandoverRunner& self, const handover::Decline& decline, TimePoint now) {
        self.handleDeclined(decline, now);
    });
    hooks.answered = hook([](HandoverRunner& self, const handover::Answer& answer, TimePoint now) {
        self.handleAnswered(answer, now);
    });
    hooks.lost = hook([](HandoverRunner& self, TimePoint now) {
        self.link_.reset();
        self.plan_.connectionLost();
        self.runPlan(now);
    });
    return hooks;
}

void HandoverRunner::handleAccepted(const handover::Acceptance& acceptance, TimePoint now)
{
    auto& traffic = context_.traffic;
    if (!plan_.accepted(now))
        return runPlan(now);
    traffic.metrics().handedOver.add();
    if (acceptance.configurationVersion > traffic.configuration().version().value) {
        traffic.setNewestVersionSeen({ acceptance.configurationVersion });
        context_.configurationOutdated(link_->dispatcher().vm);
    }
    traffic.requestLog().logStep(now, "request handed to dispatcher",
        { { "id", routed_.requestId }, { "dispatcher", link_->dispatcher().vm.str() },
            { "accepted_after_ms", formatMillis(now - plan_.offeredAt()) },
            { "offers", std::to_string(plan_.offers()) }, { "elapsed_ms", formatMillis(now - arrivedAt_) },
            { "dispatcher_config", std::to_string(acceptance.configurationVersion) } });
    link_->begin({ number_, now - arrivedAt_, link_->roundTrip(), openedConnection_ });
    runPlan(now);
}

void HandoverRunner::handleDeclined(const handover::Decline& decline, TimePoint now)
{
    context_.traffic.metrics().offersDeclined.add();
    context_.traffic.requestLog().logStep(now, "dispatcher declined the request",
        { { "id", routed_.requestId }, { "dispatcher", link_->dispatcher().vm.str() },
            { "reason", std::string(handover::toString(decline.reason)) },
            { "dispatcher_config", std::to_string(decline.configurationVersion) } });
    link_.reset();
    plan_.declined();
    runPlan(now);
}

void HandoverRunner::handleAnswered(const handover::Answer& answer, TimePoint now)
{
    context_.traffic.metrics().answerSeconds.record(now - arrivedAt_);
    finish(answer.response, "answered by dispatcher", now);
}

void HandoverRunner::sendDirectly(TimePoint now)
{
    finished_ = true;
    timer_.cancel();
    context_.traffic.metrics().sentDirectly.add();
    context_.traffic.requestLog().logStep(now, "no dispatcher took the request, sending it from this VM",
        { { "id", routed_.requestId }, { "offers", std::to_string(plan_.offers()) },
            { "elapsed_ms", formatMillis(now - arrivedAt_) } });
    // The runner asks for the memory of its own copy.
    memory_.hold(0);
    RequestRunner::run(context_.traffic,
        { respond_, onDisconnect_, head_, body_, arrivedAt_, openedConnection_, Duration::zero() }, now);
}

void HandoverRunner::fail(TimePoint now)
{
    context_.traffic.metrics().failed.add();
    if (link_)
        link_->cancel(number_);
    const bool late = now >= arrivedAt_ + std::min(routed_.deadline, routed_.route->timeout);
    finish(emptyResponse(late ? statusGatewayTimeout : statusBadGateway),
        link_ ? "dispatcher is silent" : "connection to dispatcher lost", now);
}

void HandoverRunner::finish(const http::Response& response, std::string_view outcome, TimePoint now)
{
    finished_ = true;
    timer_.cancel();
    context_.traffic.requestLog().logOutcome(now, "request ended",
        { { "id", routed_.requestId }, { "route", routed_.route->name }, { "outcome", std::string(outcome) },
            { "dispatcher", link_ ? link_->dispatcher().vm.str() : "none" },
            { "status", std::to_string(response.status) }, { "elapsed_ms", formatMillis(now - arrivedAt_) },
            { "offers", std::to_string(plan_.offers()) }, { "deadline_ms", formatMillis(routed_.deadline) },
            { "config", std::to_string(routed_.routes->configuration().version.value) } });
    // A caller of a cut-off availability zone reconnects, which the load balancer can direct to another zone.
    respond_(response, context_.dispatchers.cutOffSince().has_value());
}

void HandoverRunner::handleDisconnect(TimePoint now)
{
    if (finished_)
        return;
    finished_ = true;
    timer_.cancel();
    context_.traffic.metrics().callersGone.add();
    context_.traffic.requestLog().logOutcome(now, "caller disconnected before the response",
        { { "id", routed_.requestId }, { "route", routed_.route->name },
            { "elapsed_ms", formatMillis(now - arrivedAt_) } });
    if (link_)
        link_->cancel(number_);
}

} // namespace banyancroft::gateway
