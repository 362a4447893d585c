#include "request_runner.h"

#include "answer_time.h"
#include "own_answers.h"
#include "telemetry/log.h"
#include "upstream_answer.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace banyancroft::gateway {

namespace {

using dispatch::Step;
using dispatch::StepKind;

/** A shard whose replicas are busy or cold is looked at again after this time. */
constexpr Duration busyRetry = std::chrono::milliseconds(3);
/** A repeat without budget is looked at again after this time. */
constexpr Duration budgetRetry = std::chrono::milliseconds(20);
/** A connection that takes this multiple of its usual time makes room for another replica. */
constexpr int slowConnectFactor = 3;
constexpr Duration leastSlowConnect = std::chrono::milliseconds(15);
/** Budget that repeats leave which only improve a sufficient answer. */
constexpr double optionalReserve = 0.4;
/** Part of an objective that a request is assumed to take before any answer was timed. */
constexpr int unknownTypicalPart = 8;
/** When a VM without configuration is expected to have one: a start and a listing of the store. */
constexpr Duration configurationWait = std::chrono::milliseconds(200);
/** When replicas that are out of reach are tried again by another VM. */
constexpr Duration unavailableWait = std::chrono::milliseconds(50);

std::string millisText(Duration duration) { return std::to_string(toMillis(duration)); }

} // namespace

void RequestRunner::run(Traffic& traffic, const CallerRequest& request, TimePoint now)
{
    auto& metrics = traffic.metrics();
    metrics.requests.add();
    const auto& names = traffic.dialect().headers;
    const auto id = std::string(request.head.fields.find(names.requestId).value_or(""));
    const auto reject = [&](const http::Response& response, std::string_view reason) {
        traffic.requestLog().end(now, "request rejected",
            { { "id", id }, { "target", request.head.target }, { "reason", std::string(reason) },
                { "status", std::to_string(response.status) },
                { "config", std::to_string(traffic.configuration().version().value) } });
        metrics.refused.add();
        request.connection->respond(response, false);
    };
    const auto routes = traffic.configuration().current();
    if (!routes)
        return reject(refusal(names, configurationWait), "no configuration yet");
    const auto host = request.head.fields.find("host").value_or("");
    const auto* route = routes->match(host, request.head.target);
    if (!route)
        return reject(plainAnswer(statusNotFound), "no route for host and path");
    if (id.empty())
        return reject(plainAnswer(statusBadRequest), "request id is missing");
    const auto deadlineText = request.head.fields.find(names.deadlineMillis);
    const auto millis = deadlineText ? http::parseNumber(*deadlineText) : std::nullopt;
    if (deadlineText && !millis)
        return reject(plainAnswer(statusBadRequest), "deadline is no whole number");
    const Duration deadline = millis ? std::chrono::milliseconds(*millis) : route->timeout;
    std::make_shared<RequestRunner>(traffic, request, routes, *route, deadline)->start(now);
}

RequestRunner::RequestRunner(Traffic& traffic, const CallerRequest& request,
    std::shared_ptr<const routing::RouteTable> routes, const routing::Route& route, Duration deadline)
    : traffic_(traffic)
    , caller_(request.connection)
    , head_(request.head)
    , body_(request.body)
    , id_(request.head.fields.find(traffic.dialect().headers.requestId).value_or(""))
    , arrivedAt_(request.arrivedAt)
    , openedConnection_(request.isFirstOnConnection)
    , routes_(std::move(routes))
    , route_(route)
    , history_(traffic.history(route.name))
    , deadline_(deadline)
    , timer_(traffic.ioContext())
{
}

Duration RequestRunner::typical() const
{
    return history_.times.quantile(0.5, route_.latencyObjective / unknownTypicalPart);
}

const ServiceId& RequestRunner::serviceOf(std::size_t shard) const
{
    return route_.isGather() ? route_.gather.shards[shard] : single_;
}

dispatch::PlanRules RequestRunner::planRules() const
{
    dispatch::PlanRules rules;
    rules.repeatable = route_.idempotent || route_.isGather();
    rules.maxUpstreams = route_.maxUpstreams;
    rules.shards = route_.isGather() ? route_.gather.shards.size() : 1;
    rules.needed = route_.isGather() ? neededParts(rules.shards, route_.gather.minCoverage) : 1;
    AnswerTimeInputs times;
    times.arrivedAt = arrivedAt_;
    times.objective = route_.latencyObjective;
    // A later attempt of the same caller has less time left than its first one had.
    times.spentBefore = std::max(Duration::zero(), history_.longestDeadline - deadline_);
    times.openedConnection = openedConnection_;
    times.callerDelay = traffic_.settings().callerDelay;
    times.shards = rules.shards;
    times.processors = traffic_.settings().processors;
    rules.answerAt = answerTime(times);
    rules.deadline = arrivedAt_ + std::min(deadline_ - wayBack(times), route_.timeout);
    return rules;
}

void RequestRunner::start(TimePoint now)
{
    history_.longestDeadline = std::max(history_.longestDeadline, deadline_);
    if (!route_.isGather()) {
        const auto* service = pickService(route_, traffic_.randomShare());
        if (!service)
            return finish(refusal(traffic_.dialect().headers, configurationWait), "no service", now);
        single_ = *service;
    }
    const auto rules = planRules();
    parts_.resize(rules.shards);
    for (std::size_t shard = 0; shard < rules.shards; ++shard)
        traffic_.budget(serviceOf(shard)).earn(now);
    plan_.emplace(rules, [this](std::size_t shard) {
        return dispatch::hedgeDelay(
            history_.times, traffic_.budgetLeft(serviceOf(shard), BootClock::now()), route_.latencyObjective);
    });
    if (route_.isGather() && !traffic_.isServable(route_, rules.needed, now))
        return refuse(now);
    caller_->onGone([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->callerGone(BootClock::now());
    });
    drive(now);
}

void RequestRunner::drive(TimePoint now)
{
    // Sends can end at once and report back; the outer call goes on with what they changed.
    if (finished_ || driving_)
        return;
    driving_ = true;
    const auto self = shared_from_this();
    while (!finished_) {
        detachSlowConnects(now);
        const auto step = plan_->next(now);
        if (step.kind == StepKind::Send) {
            send(step, now);
            continue;
        }
        if (step.kind == StepKind::Answer)
            answer(now);
        if (step.kind == StepKind::Refuse)
            refuse(now);
        if (step.kind == StepKind::Fail)
            fail(now);
        if (step.kind == StepKind::Wait)
            wait(step.until, now);
        break;
    }
    driving_ = false;
}

void RequestRunner::wait(TimePoint until, TimePoint now)
{
    for (const auto& attempt : attempts_) {
        if (!attempt->sent && !attempt->detached && !attempt->ended) {
            until = std::min(until, connectLimit(*attempt));
        }
    }
    // Below a millisecond the timer would fire early and be set again.
    constexpr Duration leastWait = std::chrono::microseconds(500);
    timer_.expires_after(std::max(until - now, leastWait));
    // The pending wait is what keeps a request alive until it has ended.
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& failure) {
        if (!failure)
            self->drive(BootClock::now());
    });
}

TimePoint RequestRunner::connectLimit(const Attempt& attempt) const
{
    const auto handshake = traffic_.pool(attempt.upstream).handshake();
    return attempt.startedAt + std::max<Duration>(handshake * slowConnectFactor, leastSlowConnect);
}

void RequestRunner::detachSlowConnects(TimePoint now)
{
    for (const auto& attempt : attempts_) {
        if (attempt->sent || attempt->detached || attempt->ended)
            continue;
        if (now < connectLimit(*attempt))
            continue;
        attempt->detached = true;
        plan_->connectFailed(attempt->shard);
        traffic_.requestLog().step(now, "connection is slow",
            { { "id", id_ }, { "upstream", attempt->upstream->record.id.str() },
                { "waited_ms", millisText(now - attempt->startedAt) },
                { "usual_ms", millisText(traffic_.pool(attempt->upstream).handshake()) } });
    }
}

upstreams::Placement RequestRunner::placeFor(
    const Step& step, std::span<const std::uint64_t> tried, TimePoint now)
{
    const auto& service = serviceOf(step.shard);
    upstreams::Placement placement;
    if (!step.sameUpstream) {
        placement = traffic_.place(service, typical(), tried, *routes_, now);
        if (placement.upstream || placement.canWait)
            return placement;
    }
    const auto again = nextAgain(attempts_, step.shard, plan_->rules().repeatable);
    if (!again || isOpen(attempts_, step.shard))
        return placement;
    if (now >= *again)
        return traffic_.place(service, typical(),
            finallyTriedUpstreams(attempts_, step.shard, plan_->rules().repeatable), *routes_, now);
    placement.canWait = true;
    return placement;
}

void RequestRunner::send(const Step& step, TimePoint now)
{
    const auto& service = serviceOf(step.shard);
    const auto tried = triedUpstreams(attempts_, step.shard);
    const auto placement = placeFor(step, tried, now);
    if (!placement.upstream) {
        if (placement.canWait)
            return plan_->blocked(step.shard, now + busyRetry);
        // The send that is open may still be refused, and then its replica may get the request again.
        if (isOpen(attempts_, step.shard))
            return plan_->blocked(step.shard, plan_->rules().deadline);
        traffic_.requestLog().step(now, "no replica can take the request",
            { { "id", id_ }, { "service", service.str() }, { "tried", std::to_string(tried.size()) },
                { "registered", std::to_string(traffic_.registry().upstreams(service).size()) } });
        return plan_->unavailable(step.shard);
    }
    if (step.repeat) {
        const double reserve = step.optional ? optionalReserve : 0;
        if (!traffic_.budget(service).take(now, traffic_.liveVms(), reserve)) {
            traffic_.metrics().repeatsDenied.add();
            return plan_->blocked(step.shard, now + budgetRetry);
        }
        ++repeats_;
        const bool isHedge = isOpen(attempts_, step.shard);
        (isHedge ? traffic_.metrics().hedges : traffic_.metrics().retries).add();
        traffic_.requestLog().step(now, isHedge ? "second copy sent" : "sent again",
            { { "id", id_ }, { "service", service.str() },
                { "upstream", placement.upstream->record.id.str() },
                { "elapsed_ms", millisText(now - arrivedAt_) },
                { "expected_ms", millisText(placement.expectedDelay) },
                { "parts", std::to_string(plan_->partsIn()) } });
    }
    auto attempt = std::make_shared<Attempt>();
    attempt->shard = step.shard;
    attempt->upstream = placement.upstream;
    attempt->startedAt = now;
    attempt->toSameUpstream
        = std::find(tried.begin(), tried.end(), placement.upstream->number) != tried.end();
    attempts_.push_back(attempt);
    if (const auto connection = traffic_.pool(placement.upstream).takeIdle(now))
        return sendOn(attempt, connection, now);
    connect(attempt, now);
}

void RequestRunner::connect(const AttemptPointer& attempt, TimePoint now)
{
    attempt->wasConnecting = true;
    plan_->connecting(attempt->shard, now);
    traffic_.metrics().connections.add();
    auto& traffic = traffic_;
    traffic_.pool(attempt->upstream)
        .connect(now, [weak = weak_from_this(), attempt, &traffic](auto connection) {
            const auto self = weak.lock();
            const bool wanted
                = self && !self->finished_ && !attempt->detached && !self->plan_->isDone(attempt->shard);
            const auto at = BootClock::now();
            if (connection && wanted) {
                self->sendOn(attempt, connection, at);
                return self->drive(at);
            }
            if (connection)
                traffic.pool(attempt->upstream).putBack(connection);
            if (!self || self->finished_ || attempt->detached)
                return;
            attempt->detached = true;
            self->plan_->connectFailed(attempt->shard);
            self->drive(at);
        });
}

std::string RequestRunner::serialiseFor(const upstreams::Upstream& upstream, TimePoint now) const
{
    const auto& names = traffic_.dialect().headers;
    const auto left = std::max<Duration>(plan_->rules().deadline - now, std::chrono::milliseconds(1));
    const auto millis = std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
    const std::array<http::Field, 2> replaced { http::Field { names.deadlineMillis, millis },
        http::Field { names.expectedUpstream, upstream.record.id.view() } };
    return http::serialiseRequest(head_.method, head_.target, head_.fields, replaced, body_);
}

void RequestRunner::sendOn(
    const AttemptPointer& attempt, const std::shared_ptr<UpstreamConnection>& connection, TimePoint now)
{
    attempt->sent = true;
    attempt->sentAt = now;
    attempt->connection = connection;
    plan_->sent(attempt->shard, attempt->wasConnecting, now);
    if (attempt->toSameUpstream)
        plan_->sentToSameUpstream(attempt->shard);
    attempt->upstream->health.sent(now);
    traffic_.noteStart(*attempt->upstream, now);
    traffic_.metrics().subRequests.add();
    Exchange exchange;
    exchange.bytes = serialiseFor(*attempt->upstream, now);
    exchange.requestId = id_;
    exchange.withoutBody = head_.method == "HEAD";
    exchange.deadline = plan_->rules().deadline;
    auto& traffic = traffic_;
    const auto usual = typical();
    connection->send(std::move(exchange),
        [weak = weak_from_this(), attempt, &traffic, &history = history_, usual](
            ExchangeEnd end, const ExchangeAnswer* answer) {
            const auto at = BootClock::now();
            attempt->ended = true;
            attempt->endedAt = at;
            attempt->connection.reset();
            traffic.noteEnd(attempt->upstream, attempt->sentAt, usual, end, answer, at);
            if (answer && classify(answer->head, traffic.dialect()) == AnswerKind::Result)
                history.times.observe(at - attempt->sentAt);
            if (const auto self = weak.lock())
                self->ended(attempt, end, answer, at);
        });
}

void RequestRunner::ended(
    const AttemptPointer& attempt, ExchangeEnd end, const ExchangeAnswer* answer, TimePoint now)
{
    if (finished_)
        return;
    if (answer) {
        answered(attempt, *answer, now);
    } else {
        plan_->failed(attempt->shard);
        traffic_.requestLog().step(now, "no answer of the replica",
            { { "id", id_ }, { "upstream", attempt->upstream->record.id.str() },
                { "end",
                    end == ExchangeEnd::Malformed      ? "malformed"
                        : end == ExchangeEnd::TimedOut ? "timeout"
                                                       : "broken" },
                { "after_ms", millisText(now - attempt->sentAt) } });
    }
    drive(now);
}

void RequestRunner::answered(const AttemptPointer& attempt, const ExchangeAnswer& answer, TimePoint now)
{
    const auto kind = classify(answer.head, traffic_.dialect());
    if (kind == AnswerKind::Result) {
        const auto signature = answer.head.fields.find(traffic_.dialect().headers.signature);
        if (route_.isGather()) {
            auto& part = parts_[attempt->shard];
            if (part.signature.empty()) {
                part.signature = std::string(*signature);
                part.records = std::move(answer.body);
            }
        } else if (!result_) {
            result_ = passOn(answer.head, std::move(answer.body), traffic_.dialect());
        }
        return plan_->answered(attempt->shard);
    }
    const bool refused = kind != AnswerKind::Failure;
    attempt->wasRefused = refused;
    traffic_.requestLog().step(now, refused ? "replica refused the request" : "replica failed",
        { { "id", id_ }, { "upstream", attempt->upstream->record.id.str() },
            { "status", std::to_string(answer.head.status) },
            { "after_ms", millisText(now - attempt->sentAt) } });
    if (kind == AnswerKind::Misdirected)
        return plan_->misdirected(attempt->shard);
    if (refused)
        return plan_->refused(attempt->shard);
    if (!route_.isGather())
        failure_ = passOn(answer.head, std::move(answer.body), traffic_.dialect());
    plan_->failed(attempt->shard);
}

void RequestRunner::answer(TimePoint now)
{
    auto& metrics = traffic_.metrics();
    metrics.served.add();
    traffic_.reach().recordSuccess(now);
    metrics.answerSeconds.record(now - arrivedAt_);
    if (!route_.isGather())
        return finish(*result_, "served", now);
    const bool partial = plan_->partsIn() < parts_.size();
    if (partial)
        metrics.partial.add();
    finish(gatherAnswer(parts_, route_.gather.topRecords, traffic_.dialect().headers),
        partial ? "served in part" : "served", now);
}

void RequestRunner::refuse(TimePoint now)
{
    traffic_.metrics().refused.add();
    auto& reach = traffic_.reach();
    reach.recordFailure(now);
    const bool cutOff = reach.isCutOff(now);
    const auto wait
        = cutOff ? retryDelayAfterCutOff(now - reach.cutOffSince(), unavailableWait) : unavailableWait;
    finish(refusal(traffic_.dialect().headers, wait), cutOff ? "refused, cut off" : "refused", now);
}

void RequestRunner::fail(TimePoint now)
{
    traffic_.metrics().failed.add();
    traffic_.reach().recordFailure(now);
    if (failure_)
        return finish(*failure_, "failure of the replica", now);
    const bool late = now >= plan_->rules().deadline;
    finish(plainAnswer(late ? statusGatewayTimeout : statusBadGateway), late ? "deadline passed" : "failed",
        now);
}

void RequestRunner::finish(const http::Response& response, std::string_view outcome, TimePoint now)
{
    finished_ = true;
    timer_.cancel();
    traffic_.requestLog().end(now, "request ended",
        { { "id", id_ }, { "route", route_.name }, { "outcome", std::string(outcome) },
            { "status", std::to_string(response.status) }, { "elapsed_ms", millisText(now - arrivedAt_) },
            { "parts", std::to_string(plan_ ? plan_->partsIn() : 0) },
            { "shards", std::to_string(parts_.size()) }, { "open", openSends(now) },
            { "sends", std::to_string(attempts_.size()) }, { "repeats", std::to_string(repeats_) },
            { "deadline_ms", millisText(deadline_) },
            { "config", std::to_string(routes_->configuration().version.value) },
            { "config_age_ms", millisText(now - traffic_.configuration().acceptedAt()) } });
    // A caller of a VM that is cut off is served better on a new connection, which leads elsewhere.
    caller_->respond(response, traffic_.reach().isCutOff(now));
}

std::string RequestRunner::openSends(TimePoint now) const
{
    std::vector<AttemptPointer> open;
    std::copy_if(attempts_.begin(), attempts_.end(), std::back_inserter(open), [this](const auto& attempt) {
        return attempt->sent && !attempt->ended && !plan_->isDone(attempt->shard);
    });
    return describeOpen(open, now);
}

void RequestRunner::callerGone(TimePoint now)
{
    if (finished_)
        return;
    finished_ = true;
    timer_.cancel();
    traffic_.metrics().callersGone.add();
    traffic_.requestLog().end(now, "caller left",
        { { "id", id_ }, { "route", route_.name }, { "elapsed_ms", millisText(now - arrivedAt_) },
            { "parts", std::to_string(plan_->partsIn()) } });
    // Replicas stop work when the connection of a request closes.
    const auto open = attempts_;
    for (const auto& attempt : open) {
        if (attempt->connection)
            attempt->connection->abandon();
    }
}

} // namespace banyancroft::gateway
