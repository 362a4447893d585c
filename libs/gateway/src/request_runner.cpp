#include "request_runner.h"

#include "credit_gate.h"
#include "local_responses.h"
#include "response_timing.h"
#include "telemetry/log.h"
#include "upstream_response.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace banyancroft::gateway {

namespace {

using dispatch::Step;
using dispatch::StepKind;

/** Delay before replica selection is retried for a shard whose replicas are busy or cold. */
constexpr Duration busyRetryDelay = std::chrono::milliseconds(3);
/** Delay before a repeat that the retry budget denied is tried again. */
constexpr Duration budgetRetryDelay = std::chrono::milliseconds(20);
/** An attempt is detached when its connect takes this multiple of the usual handshake time. */
constexpr int slowConnectFactor = 3;
constexpr Duration minSlowConnectTime = std::chrono::milliseconds(15);
/** Share of the retry budget that repeats must leave if the response is already sufficient without them. */
constexpr double optionalRepeatReserve = 0.4;
/** Until a response time has been measured, the latency objective divided by this value is assumed. */
constexpr int defaultTypicalDivisor = 8;
/** Retry-After for requests that no replica could serve; another VM may reach the replicas. */
constexpr Duration unavailableRetryAfter = std::chrono::milliseconds(50);
/** Retry-After for requests whose replicas rest exceeds the rest by a random fraction of it, at most this. */
constexpr double returnSpread = 0.2;

std::string formatMillis(Duration duration) { return std::to_string(toMillis(duration)); }

} // namespace

void RequestRunner::run(TrafficManager& traffic, const IncomingRequest& request, TimePoint now)
{
    auto routed = routeRequest(traffic, request, now);
    if (!routed)
        return;
    std::make_shared<RequestRunner>(traffic, request, std::move(*routed))->start(now);
}

RequestRunner::RequestRunner(TrafficManager& traffic, const IncomingRequest& request, RoutedRequest routed)
    : traffic_(traffic)
    , respond_(request.respond)
    , onDisconnect_(request.onDisconnect)
    , head_(request.head)
    , body_(std::make_shared<const std::string>(request.body))
    , memory_(&traffic.memory(), MemoryUse::Parts, [] {})
    , requestId_(std::move(routed.requestId))
    , arrivedAt_(request.arrivedAt)
    , openedConnection_(request.openedConnection)
    , returnDelay_(request.returnDelay)
    , routes_(std::move(routed.routes))
    , route_(*routed.route)
    , customer_(routed.customer)
    , history_(traffic.history(route_.name))
    , deadline_(routed.deadline)
    , timer_(traffic.ioContext())
{
}

Duration RequestRunner::typicalResponseTime() const
{
    return history_.responseTimes.quantile(0.5, route_.latencyObjective / defaultTypicalDivisor);
}

const ServiceId& RequestRunner::serviceOf(std::size_t shard) const
{
    return route_.isGather() ? route_.gather.shards[shard] : selectedService_;
}

Duration RequestRunner::previousAttemptsTime() const
{
    // The remaining time of a caller shrinks with each attempt, so the difference to the longest deadline of
    // the route estimates the time spent on earlier attempts.
    return std::max(Duration::zero(), history_.longestDeadline - deadline_);
}

dispatch::PlanRules RequestRunner::planRules() const
{
    dispatch::PlanRules rules;
    rules.idempotent = route_.idempotent || route_.isGather();
    rules.maxUpstreams = route_.maxUpstreams;
    rules.shards = route_.isGather() ? route_.gather.shards.size() : 1;
    rules.requiredParts = route_.isGather() ? requiredShards(rules.shards, route_.gather.minCoverage) : 1;
    ResponseTimingInputs times;
    times.arrivedAt = arrivedAt_;
    times.objective = route_.latencyObjective;
    times.previousAttemptsTime = previousAttemptsTime();
    times.openedConnection = openedConnection_;
    times.callerDelay = traffic_.settings().callerDelay;
    times.returnDelay = returnDelay_;
    times.shards = rules.shards;
    times.processors = traffic_.settings().processors;
    rules.partialAnswerAt = partialResponseTime(times);
    rules.deadline = arrivedAt_ + std::min(deadline_ - responseDelay(times), route_.timeout);
    return rules;
}

void RequestRunner::start(TimePoint now)
{
    // The caller's connection has reserved the body already, which is about to move to this object.
    const bool hasMemory = memory_.tryHoldRequest(head_.memoryBytes(), now);
    memory_.hold(head_.memoryBytes() + body_->size());
    history_.longestDeadline = std::max(history_.longestDeadline, deadline_);
    if (!hasMemory)
        return finish(traffic_.refuseForMemory(), "refused, memory is short", now);
    if (traffic_.isConfigurationOutdated())
        return finish(unavailableResponse(traffic_.dialect().headers, configurationRetryAfter),
            "newer configuration is in force", now);
    if (!route_.isGather()) {
        const auto* service = pickService(route_, traffic_.uniformRandom());
        if (!service)
            return finish(
                unavailableResponse(traffic_.dialect().headers, configurationRetryAfter), "no service", now);
        selectedService_ = *service;
    }
    onDisconnect_([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->handleDisconnect(BootClock::now());
    });
    if (!customer_)
        return begin(now);
    const bool isLate = previousAttemptsTime() >= route_.latencyObjective;
    traffic_.creditGate().request(
        *customer_, isLate, now, [self = shared_from_this()](const quota::CreditResult& credit) {
            self->handleCredit(credit, BootClock::now());
        });
}

void RequestRunner::handleCredit(const quota::CreditResult& credit, TimePoint now)
{
    hasCredit_ = credit.answer == quota::CreditAnswer::Granted;
    if (finished_) {
        // The caller left while the owner of the credit was asked.
        if (hasCredit_)
            traffic_.creditGate().giveBack(customer_->id);
        return;
    }
    if (hasCredit_)
        return begin(now);
    const auto& names = traffic_.dialect().headers;
    if (credit.answer == quota::CreditAnswer::NotOwner) {
        traffic_.metrics().limitUnknown.add();
        return finish(unavailableResponse(names, unavailableRetryAfter), "refused, limit unknown", now);
    }
    traffic_.metrics().overLimit.add();
    const auto wait = scaled(credit.retryAfter, 1 + returnSpread * traffic_.uniformRandom());
    finish(overLimitResponse(names, wait), "refused, over the limit", now);
}

void RequestRunner::begin(TimePoint now)
{
    const auto rules = planRules();
    shardResults_.resize(rules.shards);
    for (std::size_t shard = 0; shard < rules.shards; ++shard)
        traffic_.budget(serviceOf(shard)).deposit(now);
    plan_.emplace(rules, [this](std::size_t shard) {
        return dispatch::hedgeDelay(history_.responseTimes,
            traffic_.remainingBudgetShare(serviceOf(shard), BootClock::now()), route_.latencyObjective);
    });
    if (route_.isGather() && !traffic_.isServable(route_, rules.requiredParts, now)) {
        const auto restEnd = traffic_.servableAfterRest(route_.gather.shards, rules.requiredParts, now);
        if (!restEnd || *restEnd >= rules.partialAnswerAt)
            return respondWithRefusal(now);
    }
    if (route_.isGather())
        excludeLostShards(now);
    runPlan(now);
}

void RequestRunner::excludeLostShards(TimePoint now)
{
    Step step;
    for (step.shard = 0; step.shard < plan_->rules().shards; ++step.shard) {
        if (!traffic_.hasPromptReplica(serviceOf(step.shard), plan_->rules().deadline, now)
            && isLost(step, {}, {}, now))
            plan_->unavailable(step.shard);
    }
}

dispatch::ShardOutlook RequestRunner::shardOutlook(
    const Step& step, std::span<const std::uint64_t> tried, TimePoint now) const
{
    dispatch::ShardOutlook outlook;
    outlook.sendInProgress = isOpen(attempts_, step.shard);
    const bool idempotent = plan_->rules().idempotent;
    const auto resendAt = nextResendTime(attempts_, step.shard, idempotent);
    const auto notAgain = excludedUpstreams(attempts_, step.shard, idempotent);
    const auto contains = [](std::span<const std::uint64_t> numbers, std::uint64_t number) {
        return std::find(numbers.begin(), numbers.end(), number) != numbers.end();
    };
    for (const auto& upstream : traffic_.registry().upstreams(serviceOf(step.shard))) {
        auto& replica = outlook.replicas.emplace_back(traffic_.replicaOutlook(*upstream, *routes_, now));
        const bool wasTried = contains(tried, upstream->number);
        if (wasTried ? !resendAt || contains(notAgain, upstream->number) : step.sameUpstream) {
            replica.exclusion = dispatch::Exclusion::AlreadySent;
            replica.availableAt = TimePoint::max();
        } else if (wasTried) {
            replica.availableAt = std::max(replica.availableAt, *resendAt);
        }
    }
    return outlook;
}

bool RequestRunner::isLost(
    const Step& step, std::span<const std::uint64_t> tried, std::optional<TimePoint> repeatAt, TimePoint now)
{
    auto outlook = shardOutlook(step, tried, now);
    outlook.repeatAt = repeatAt;
    const auto verdict = outlook_.update(step.shard, outlook, plan_->rules().deadline, now);
    if (verdict.loss == dispatch::LossReason::None)
        return false;
    const auto millisUntil
        = [now](TimePoint at) { return at == TimePoint::max() ? "unknown" : formatMillis(at - now); };
    traffic_.requestLog().logStep(now, "request cannot succeed at a service",
        { { "id", requestId_ }, { "service", serviceOf(step.shard).str() },
            { "reason", std::string(toString(verdict.loss)) },
            { "left_ms", formatMillis(plan_->rules().deadline - now) },
            { "earliest_ms", millisUntil(verdict.earliestAt) }, { "room_ms", millisUntil(verdict.roomAt) },
            { "repeat_ms", repeatAt ? millisUntil(*repeatAt) : "0" },
            { "replicas", dispatch::describe(outlook.replicas, now) },
            { "knowledge_age_ms", formatMillis(verdict.oldestKnowledge) } });
    return true;
}

bool RequestRunner::recordEarlyEnd(TimePoint now)
{
    const bool early = outlook_.hasLostShards() && now < plan_->rules().deadline;
    if (early)
        traffic_.metrics().endedEarly.add();
    return early;
}

void RequestRunner::runPlan(TimePoint now)
{
    // An attempt may end synchronously and re-enter this function; the outer call handles the resulting
    // state.
    if (finished_ || runningPlan_)
        return;
    runningPlan_ = true;
    const auto self = shared_from_this();
    while (!finished_) {
        detachSlowConnects(now);
        const auto step = plan_->next(now);
        if (step.kind == StepKind::Send) {
            send(step, now);
            continue;
        }
        if (step.kind == StepKind::Answer)
            respondWithResult(now);
        if (step.kind == StepKind::Refuse)
            respondWithRefusal(now);
        if (step.kind == StepKind::Fail)
            respondWithFailure(now);
        if (step.kind == StepKind::Wait)
            wait(step.until, now);
        break;
    }
    runningPlan_ = false;
}

void RequestRunner::wait(TimePoint until, TimePoint now)
{
    for (const auto& attempt : attempts_) {
        if (!attempt->sent && !attempt->detached && !attempt->ended) {
            until = std::min(until, connectLimit(*attempt));
        }
    }
    // With shorter waits the timer would fire early and be rearmed repeatedly.
    constexpr Duration minTimerWait = std::chrono::microseconds(500);
    timer_.expires_after(std::max(until - now, minTimerWait));
    // The pending wait keeps this object alive until the request has ended.
    timer_.async_wait([self = shared_from_this()](const boost::system::error_code& failure) {
        if (!failure)
            self->runPlan(BootClock::now());
    });
}

TimePoint RequestRunner::connectLimit(const Attempt& attempt) const
{
    const auto handshakeTime = traffic_.pool(attempt.upstream).handshakeTime();
    return attempt.startedAt + std::max<Duration>(handshakeTime * slowConnectFactor, minSlowConnectTime);
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
        traffic_.requestLog().logStep(now, "connect to upstream is slow",
            { { "id", requestId_ }, { "upstream", attempt->upstream->record.id.str() },
                { "waited_ms", formatMillis(now - attempt->startedAt) },
                { "usual_ms", formatMillis(traffic_.pool(attempt->upstream).handshakeTime()) } });
    }
}

upstreams::Placement RequestRunner::selectReplica(
    const Step& step, std::span<const std::uint64_t> tried, TimePoint now)
{
    const auto& service = serviceOf(step.shard);
    const TrafficManager::SendIdentity identity { requestId_, !tried.empty() };
    upstreams::Placement placement;
    if (!step.sameUpstream) {
        placement = traffic_.place(service, typicalResponseTime(), tried, *routes_, identity, now);
        if (placement.upstream || placement.canWait)
            return placement;
    }
    const auto resendAt = nextResendTime(attempts_, step.shard, plan_->rules().idempotent);
    if (!resendAt || isOpen(attempts_, step.shard))
        return placement;
    if (now >= *resendAt)
        return traffic_.place(service, typicalResponseTime(),
            excludedUpstreams(attempts_, step.shard, plan_->rules().idempotent), *routes_, identity, now);
    placement.canWait = true;
    return placement;
}

void RequestRunner::send(const Step& step, TimePoint now)
{
    const auto& service = serviceOf(step.shard);
    const auto tried = triedUpstreams(attempts_, step.shard);
    const auto placement = selectReplica(step, tried, now);
    if (!placement.upstream) {
        if (placement.canWait) {
            if (isLost(step, tried, {}, now))
                return plan_->unavailable(step.shard);
            return plan_->blocked(step.shard, now + busyRetryDelay);
        }
        // The attempt in progress may still be refused; its replica may then receive the request again.
        if (isOpen(attempts_, step.shard))
            return plan_->blocked(step.shard, plan_->rules().deadline);
        const auto restEnd = traffic_.servableAfterRest({ &service, 1 }, 1, now);
        if (restEnd && *restEnd < arrivedAt_ + route_.latencyObjective)
            return plan_->blocked(step.shard, *restEnd);
        traffic_.requestLog().logStep(now, "no replica available for the request",
            { { "id", requestId_ }, { "service", service.str() }, { "tried", std::to_string(tried.size()) },
                { "resting_ms", restEnd ? formatMillis(*restEnd - now) : "0" },
                { "registered", std::to_string(traffic_.registry().upstreams(service).size()) } });
        return plan_->unavailable(step.shard);
    }
    const auto queueDelay = traffic_.leastQueueDelay(*placement.upstream, now).value_or(Duration::zero());
    if (now + queueDelay >= plan_->rules().deadline && isLost(step, tried, {}, now))
        return plan_->unavailable(step.shard);
    if (step.repeat) {
        const double reserve = step.optional ? optionalRepeatReserve : 0;
        if (!traffic_.tryWithdrawRepeat(service, reserve, now)) {
            traffic_.metrics().repeatsDenied.add();
            if (!isOpen(attempts_, step.shard)
                && isLost(step, tried, traffic_.earliestRepeat(service, now), now))
                return plan_->unavailable(step.shard);
            return plan_->blocked(step.shard, now + budgetRetryDelay);
        }
        ++repeats_;
        const bool isHedge = isOpen(attempts_, step.shard);
        (isHedge ? traffic_.metrics().hedges : traffic_.metrics().retries).add();
        traffic_.requestLog().logStep(now, isHedge ? "request hedged to another replica" : "request retried",
            { { "id", requestId_ }, { "service", service.str() },
                { "upstream", placement.upstream->record.id.str() },
                { "elapsed_ms", formatMillis(now - arrivedAt_) },
                { "expected_ms", formatMillis(placement.expectedDelay) },
                { "parts", std::to_string(plan_->partsReceived()) } });
    }
    auto attempt = std::make_shared<Attempt>();
    attempt->shard = step.shard;
    attempt->upstream = placement.upstream;
    attempt->startedAt = now;
    attempt->toSameUpstream
        = std::find(tried.begin(), tried.end(), placement.upstream->number) != tried.end();
    attempts_.push_back(attempt);
    const auto mayUse = [&](const UpstreamConnection& connection) {
        return !attempt->toSameUpstream || !hasCarriedRequest(connection, attempts_);
    };
    if (const auto connection = traffic_.pool(placement.upstream).takeIdle(now, mayUse))
        return sendOnConnection(attempt, connection, now);
    connect(attempt, now);
}

void RequestRunner::connect(const AttemptPointer& attempt, TimePoint now)
{
    attempt->openedConnection = true;
    plan_->connecting(attempt->shard, now);
    traffic_.metrics().connections.add();
    const bool otherZone = attempt->upstream->record.zone != traffic_.settings().zone;
    if (otherZone)
        traffic_.reach().recordOtherZoneSend(now);
    auto& traffic = traffic_;
    traffic_.pool(attempt->upstream)
        .connect(now, [weak = weak_from_this(), attempt, &traffic, otherZone](auto connection) {
            const auto self = weak.lock();
            const auto at = BootClock::now();
            // The replica may have started to leave or to rest meanwhile.
            const bool wanted = self && !self->finished_ && !attempt->detached
                && !self->plan_->isDone(attempt->shard)
                && upstreams::isCandidate(*attempt->upstream, traffic.registry(), at);
            if (connection && otherZone)
                traffic.reach().recordOtherZoneContact(at);
            if (connection && wanted) {
                self->sendOnConnection(attempt, connection, at);
                return self->runPlan(at);
            }
            if (connection)
                traffic.pool(attempt->upstream).release(connection);
            if (!self || self->finished_ || attempt->detached)
                return;
            attempt->detached = true;
            self->plan_->connectFailed(attempt->shard);
            self->runPlan(at);
        });
}

std::string RequestRunner::serialiseHeadFor(const upstreams::Upstream& upstream, TimePoint now) const
{
    const auto& names = traffic_.dialect().headers;
    const auto remaining = std::max<Duration>(plan_->rules().deadline - now, std::chrono::milliseconds(1));
    const auto millis
        = std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count());
    const std::array<http::Field, 3> fields { http::Field { names.deadlineMillis, millis },
        http::Field { names.expectedUpstream, upstream.record.id.view() },
        http::Field { names.customer, customer_ ? customer_->id.view() : std::string_view() } };
    const auto replaced = std::span(fields).first(customer_ ? 3 : 2);
    // Replicas see neither API keys nor a customer that the caller has named itself.
    const std::array<std::string_view, 2> secrets { names.authorization, names.customer };
    const auto removed = std::span(secrets).first(routes_->configuration().requiresKeys ? secrets.size() : 0);
    return http::serialiseRequestHead(
        head_.method, head_.target, head_.fields, replaced, body_->size(), removed);
}

void RequestRunner::sendOnConnection(
    const AttemptPointer& attempt, const std::shared_ptr<UpstreamConnection>& connection, TimePoint now)
{
    attempt->sent = true;
    attempt->sentAt = now;
    attempt->connection = connection;
    attempt->usedConnection = connection;
    plan_->sent(attempt->shard, attempt->openedConnection, now);
    if (attempt->toSameUpstream)
        plan_->sentToSameUpstream(attempt->shard);
    attempt->upstream->health.sent(now);
    traffic_.recordStart(*attempt->upstream, now);
    traffic_.metrics().subRequests.add();
    Exchange exchange;
    exchange.head = serialiseHeadFor(*attempt->upstream, now);
    exchange.body = body_;
    exchange.requestId = requestId_;
    exchange.withoutBody = head_.method == "HEAD";
    exchange.deadline = plan_->rules().deadline;
    auto& traffic = traffic_;
    const auto typicalTime = typicalResponseTime();
    connection->send(std::move(exchange),
        [weak = weak_from_this(), attempt, &traffic, &history = history_, typicalTime](
            ExchangeOutcome outcome, const ExchangeResponse* response) {
            const auto at = BootClock::now();
            attempt->ended = true;
            attempt->endedAt = at;
            attempt->connection.reset();
            traffic.recordOutcome(
                attempt->upstream, history.route, attempt->sentAt, typicalTime, outcome, response, at);
            if (response && classifyResponse(response->head, traffic.dialect()) == ResponseKind::Result)
                history.responseTimes.observe(at - attempt->sentAt);
            if (const auto self = weak.lock())
                self->handleAttemptEnd(attempt, outcome, response, at);
        });
}

void RequestRunner::handleAttemptEnd(
    const AttemptPointer& attempt, ExchangeOutcome outcome, const ExchangeResponse* response, TimePoint now)
{
    if (finished_)
        return;
    if (response) {
        handleResponse(attempt, *response, now);
    } else {
        plan_->failed(attempt->shard);
        lackedMemory_ = lackedMemory_ || outcome == ExchangeOutcome::NoMemory;
        traffic_.requestLog().logStep(now, "no valid response from replica",
            { { "id", requestId_ }, { "upstream", attempt->upstream->record.id.str() },
                { "end",
                    outcome == ExchangeOutcome::Malformed      ? "malformed"
                        : outcome == ExchangeOutcome::TooLong  ? "too long"
                        : outcome == ExchangeOutcome::TimedOut ? "timeout"
                        : outcome == ExchangeOutcome::NoMemory ? "no memory"
                                                               : "broken" },
                { "after_ms", formatMillis(now - attempt->sentAt) } });
    }
    runPlan(now);
}

void RequestRunner::handleResponse(
    const AttemptPointer& attempt, const ExchangeResponse& response, TimePoint now)
{
    memory_.hold(memory_.held() + response.body.size());
    const auto kind = classifyResponse(response.head, traffic_.dialect());
    if (kind == ResponseKind::Result) {
        const auto signature = response.head.fields.find(traffic_.dialect().headers.signature);
        if (route_.isGather()) {
            auto& result = shardResults_[attempt->shard];
            if (result.signature.empty()) {
                result.signature = std::string(*signature);
                result.records = std::move(response.body);
            }
        } else if (!result_) {
            result_ = forwardedResponse(response.head, std::move(response.body), traffic_.dialect());
        }
        return plan_->answered(attempt->shard);
    }
    const bool refused = kind != ResponseKind::Failure;
    attempt->wasRefused = refused;
    traffic_.requestLog().logStep(now,
        refused ? "replica refused the request" : "replica responded with a failure",
        { { "id", requestId_ }, { "upstream", attempt->upstream->record.id.str() },
            { "status", std::to_string(response.head.status) },
            { "after_ms", formatMillis(now - attempt->sentAt) } });
    if (kind == ResponseKind::Misdirected)
        return plan_->misdirected(attempt->shard);
    if (refused)
        return plan_->refused(attempt->shard);
    if (!route_.isGather())
        failureResponse_ = forwardedResponse(response.head, std::move(response.body), traffic_.dialect());
    plan_->failed(attempt->shard);
}

void RequestRunner::respondWithResult(TimePoint now)
{
    auto& metrics = traffic_.metrics();
    metrics.served.add();
    traffic_.reach().recordSuccess(now);
    metrics.answerSeconds.record(now - arrivedAt_);
    if (!route_.isGather())
        return finish(*result_, "served", now);
    const bool partial = plan_->partsReceived() < shardResults_.size();
    if (partial)
        metrics.partial.add();
    finish(mergeShardResults(shardResults_, route_.gather.topRecords, traffic_.dialect().headers),
        partial ? "served in part" : "served", now);
}

void RequestRunner::respondWithRefusal(TimePoint now)
{
    traffic_.metrics().refused.add();
    if (std::exchange(hasCredit_, false))
        traffic_.creditGate().giveBack(customer_->id);
    auto& reach = traffic_.reach();
    reach.recordFailure(now);
    const bool cutOff = reach.isCutOff(now);
    const auto restEnd = route_.isGather()
        ? traffic_.servableAfterRest(route_.gather.shards, plan_->rules().requiredParts, now)
        : traffic_.servableAfterRest({ &selectedService_, 1 }, 1, now);
    auto wait = cutOff ? retryDelayAfterCutOff(now - reach.cutOffSince(), unavailableRetryAfter)
                       : unavailableRetryAfter;
    // Callers that are refused at the same time must not return all at once.
    if (restEnd)
        wait = std::max(wait, scaled(*restEnd - now, 1 + returnSpread * traffic_.uniformRandom()));
    const bool early = recordEarlyEnd(now);
    if (early) {
        const auto& rules = plan_->rules();
        const auto roomAt = outlook_.roomAt(rules.shards, rules.requiredParts, now);
        const auto room = std::max<Duration>(unavailableRetryAfter, roomAt.value_or(now) - now);
        wait = std::max(wait, scaled(room, 1 + returnSpread * traffic_.uniformRandom()));
    }
    finish(unavailableResponse(traffic_.dialect().headers, wait),
        cutOff        ? "refused, cut off"
            : restEnd ? "refused, replicas rest"
            : early   ? "refused, cannot succeed"
                      : "refused",
        now);
}

void RequestRunner::respondWithFailure(TimePoint now)
{
    traffic_.metrics().failed.add();
    const bool early = recordEarlyEnd(now);
    // A replica whose answer this VM could not take in was reached.
    if (!lackedMemory_)
        traffic_.reach().recordFailure(now);
    if (failureResponse_)
        return finish(*failureResponse_, "failure of the replica", now);
    const bool late = now >= plan_->rules().deadline;
    finish(emptyResponse(late ? statusGatewayTimeout : statusBadGateway),
        late        ? "deadline passed"
            : early ? "failed, cannot succeed"
                    : "failed",
        now);
}

void RequestRunner::finish(const http::Response& response, std::string_view outcome, TimePoint now)
{
    finished_ = true;
    timer_.cancel();
    traffic_.requestLog().logOutcome(now, "request ended",
        { { "id", requestId_ }, { "route", route_.name },
            { "customer", customer_ ? customer_->id.str() : "none" }, { "outcome", std::string(outcome) },
            { "status", std::to_string(response.status) }, { "elapsed_ms", formatMillis(now - arrivedAt_) },
            { "parts", std::to_string(plan_ ? plan_->partsReceived() : 0) },
            { "shards", std::to_string(shardResults_.size()) }, { "open", describeOpenSends(now) },
            { "sends", std::to_string(attempts_.size()) }, { "repeats", std::to_string(repeats_) },
            { "deadline_ms", formatMillis(deadline_) },
            { "config", std::to_string(routes_->configuration().version.value) },
            { "config_age_ms", formatMillis(now - traffic_.configuration().acceptedAt()) } });
    // Closing the connection makes the caller reconnect, which the load balancer can direct to another VM.
    respond_(response, traffic_.reach().isCutOff(now));
}

std::string RequestRunner::describeOpenSends(TimePoint now) const
{
    std::vector<AttemptPointer> open;
    std::copy_if(attempts_.begin(), attempts_.end(), std::back_inserter(open), [this](const auto& attempt) {
        return attempt->sent && !attempt->ended && !plan_->isDone(attempt->shard);
    });
    return describeOpenAttempts(open, now);
}

void RequestRunner::handleDisconnect(TimePoint now)
{
    if (finished_)
        return;
    finished_ = true;
    timer_.cancel();
    traffic_.metrics().callersGone.add();
    traffic_.requestLog().logOutcome(now, "caller disconnected before the response",
        { { "id", requestId_ }, { "route", route_.name }, { "elapsed_ms", formatMillis(now - arrivedAt_) },
            { "parts", std::to_string(plan_ ? plan_->partsReceived() : 0) } });
    if (plan_ && !plan_->wasSent() && std::exchange(hasCredit_, false))
        traffic_.creditGate().giveBack(customer_->id);
    // Replicas stop processing a request when its connection closes.
    const auto open = attempts_;
    for (const auto& attempt : open) {
        if (attempt->connection)
            attempt->connection->abandon();
    }
}

} // namespace banyancroft::gateway
