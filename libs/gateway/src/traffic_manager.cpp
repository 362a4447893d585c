#include "traffic_manager.h"

#include "gather_response.h"
#include "local_responses.h"
#include "telemetry/log.h"
#include "upstream_response.h"
#include "upstreams/cold_share.h"
#include "upstreams/connection_share.h"

#include <limits>

namespace banyancroft::gateway {

namespace {

using telemetry::log;
using telemetry::LogLevel;

/** Replicas may keep connections of this VM's previous process open for about this long. */
constexpr Duration startupCautionPeriod = std::chrono::seconds(4);
/** Fraction of a cold replica's request rate that all VMs together use. */
constexpr double coldRateUtilization = 0.8;
/**
 * Shares of the VM's memory for requests, responses and frames: together a half, since a buffer is copied
 * once while it moves from one connection to another, and the program and its tables need the rest.
 */
constexpr MemoryAccount::Limits memoryShares(std::size_t memoryBytes)
{
    return { memoryBytes / 8 * 3, memoryBytes / 8 };
}
/** Replicas may use half of the sockets, as callers may, but for a reserve for the hop, the store and probes.
 */
constexpr std::size_t maxUpstreamSockets(std::size_t maxSockets)
{
    constexpr std::size_t reserve = 64;
    return maxSockets / 2 - std::min(reserve, maxSockets / 8);
}

/** Retry-After for requests that are refused because memory is short. */
constexpr Duration memoryRetryAfter = std::chrono::milliseconds(200);
/** It exceeds that by a random fraction, at most this, so that callers do not return all at once. */
constexpr double memoryRetrySpread = 1.0;

/** A tick that is later than this shows that the process was stalled. */
constexpr Duration maxTickDelay = std::chrono::milliseconds(350);
/** After a stall, other VMs may have taken over this VM's share of the cold rates: time to learn of it. */
constexpr Duration coldPauseAfterStall = std::chrono::seconds(2);

/** Each VM extends the rest of a replica by a random fraction of it, at most this. */
constexpr double restSpread = 0.25;
/** The fraction is taken of at most this much of a rest. */
constexpr Duration maxSpreadRest = std::chrono::seconds(4);

std::string_view eventMessage(upstreams::RegistryEvent event)
{
    switch (event) {
    case upstreams::RegistryEvent::Added:
        return "upstream registered";
    case upstreams::RegistryEvent::Restarted:
        return "upstream restarted";
    case upstreams::RegistryEvent::Draining:
        return "upstream is draining";
    case upstreams::RegistryEvent::Leaving:
        return "upstream says that it is leaving";
    case upstreams::RegistryEvent::RemovalDeferred:
        return "upstream removal deferred";
    case upstreams::RegistryEvent::Removed:
        return "upstream removed";
    case upstreams::RegistryEvent::CopyIgnored:
        return "upstream entry of the restored store ignored, older than what is known";
    }
    return "upstream changed";
}

} // namespace

TrafficMetrics::TrafficMetrics(telemetry::Metrics& metrics)
    : requests(metrics.counter("banyancroft_gateway_requests_total", "Requests read"))
    , served(metrics.counter("banyancroft_gateway_served_total", "Requests answered with a success"))
    , partial(metrics.counter("banyancroft_gateway_partial_total", "Successes that lack shards"))
    , refused(metrics.counter("banyancroft_gateway_refused_total", "Requests refused as not run"))
    , unauthorized(metrics.counter(
          "banyancroft_gateway_unauthorized_total", "Requests without a valid API key, answered with 401"))
    , overLimit(metrics.counter("banyancroft_quota_over_limit_total",
          "Requests beyond the limit of their customer, answered with 429"))
    , limitUnknown(metrics.counter("banyancroft_quota_unknown_total",
          "Requests refused because this VM could not learn whether they are within the limit"))
    , creditQuestions(metrics.counter(
          "banyancroft_quota_questions_total", "Requests whose credit was asked of another VM"))
    , creditFallbacks(metrics.counter("banyancroft_quota_fallbacks_total",
          "Requests decided by this VM's own share of the customer's limit"))
    , endedEarly(metrics.counter("banyancroft_gateway_ended_early_total",
          "Requests ended before their deadline because they could not succeed any more"))
    , failed(metrics.counter("banyancroft_gateway_failed_total", "Requests that failed and may have run"))
    , callersGone(metrics.counter("banyancroft_gateway_callers_gone_total", "Callers that left early"))
    , subRequests(metrics.counter("banyancroft_gateway_sub_requests_total", "Requests sent to replicas"))
    , hedges(metrics.counter("banyancroft_gateway_hedges_total", "Second copies of unanswered requests"))
    , retries(metrics.counter("banyancroft_gateway_retries_total", "Requests sent again after an end"))
    , repeatsDenied(
          metrics.counter("banyancroft_gateway_repeats_denied_total", "Repeats without retry budget"))
    , upstreamRefusals(
          metrics.counter("banyancroft_gateway_upstream_refusals_total", "Requests replicas did not run"))
    , upstreamFailures(
          metrics.counter("banyancroft_gateway_upstream_failures_total", "Requests without usable answer"))
    , rests(metrics.counter(
          "banyancroft_gateway_upstream_rests_total", "Responses with which replicas asked for no requests"))
    , malformedStatements(metrics.counter("banyancroft_gateway_malformed_statements_total",
          "Responses with unreadable header fields about the replica"))
    , capacityReductions(metrics.counter("banyancroft_gateway_capacity_reductions_total",
          "Times that a replica was found to slow down before its slots are taken"))
    , targetVersionRequests(metrics.counter("banyancroft_rollout_target_requests_total",
          "Requests sent to replicas of a version that is being rolled out"))
    , connections(metrics.counter("banyancroft_gateway_connections_total", "Connections opened to replicas"))
    , droppedLines(metrics.counter("banyancroft_gateway_log_dropped_total", "Request lines not written"))
    , offers(metrics.counter("banyancroft_handover_offers_total", "Requests offered to dispatchers"))
    , offersTimedOut(metrics.counter(
          "banyancroft_handover_offers_timed_out_total", "Offers that a dispatcher did not accept in time"))
    , offersDeclined(
          metrics.counter("banyancroft_handover_offers_declined_total", "Offers that a dispatcher declined"))
    , handedOver(
          metrics.counter("banyancroft_handover_accepted_total", "Requests that a dispatcher took over"))
    , sentDirectly(metrics.counter("banyancroft_handover_sent_directly_total",
          "Requests that no dispatcher took over, sent from this VM"))
    , memoryWaits(metrics.counter(
          "banyancroft_memory_waits_total", "Bodies and responses that had to wait for memory"))
    , memoryEnded(
          metrics.counter("banyancroft_memory_ended_total", "Slow connections ended to make room for others"))
    , memoryRefused(
          metrics.counter("banyancroft_memory_refused_total", "Requests refused because memory was short"))
    , slowCallers(metrics.counter("banyancroft_gateway_slow_callers_total",
          "Connections closed because the caller took its response too slowly"))
    , answerSeconds(metrics.latency("banyancroft_gateway_answer_seconds", "First byte read to answer"))
    , upstreamSeconds(
          metrics.latency("banyancroft_gateway_upstream_seconds", "Request sent to answer of the replica"))
{
}

TrafficManager::TrafficManager(boost::asio::io_context& ioContext, const Settings& settings,
    const Dialect& dialect, telemetry::Metrics& metrics, TimePoint startedAt)
    : ioContext_(ioContext)
    , settings_(settings)
    , dialect_(dialect)
    , startedAt_(startedAt)
    , metrics_(metrics)
    , requestLog_(settings.requestLogRate, metrics_.droppedLines)
    , registry_(settings.reregistrationGrace,
          [this](upstreams::RegistryEvent event, const upstreams::Upstream& upstream) {
              registryChanged(event, upstream);
          })
    , rollouts_({ settings.maxRolloutExposure, settings.maxPropagationDelay })
    , memory_(memoryShares(settings.memoryBytes))
    , random_(std::random_device {}())
{
    metrics.gauge("banyancroft_gateway_upstream_sockets", "Open connections to replicas",
        [this] { return static_cast<double>(upstreamSockets_); });
    metrics.gauge("banyancroft_memory_held_bytes", "Memory of requests, responses and frames",
        [this] { return static_cast<double>(memory_.total()); });
    memory_.onEnded([this](const EndedHolder& ended) {
        metrics_.memoryEnded.add();
        requestLog_.logStep(BootClock::now(), "ending a slow connection to make room",
            { { "use", std::string(toString(ended.use)) }, { "bytes", std::to_string(ended.bytes) },
                { "bytes_per_s", std::to_string(static_cast<std::size_t>(ended.bytesPerSecond)) },
                { "held_bytes", std::to_string(memory_.total()) } });
    });
}

void TrafficManager::recordMemoryWait(std::string_view what)
{
    metrics_.memoryWaits.add();
    requestLog_.logStep(BootClock::now(), "waiting for memory",
        { { "use", std::string(what) }, { "held_bytes", std::to_string(memory_.total()) } });
}

http::Response TrafficManager::refuseForMemory(Duration wait)
{
    metrics_.memoryRefused.add();
    const auto retryAfter = scaled(std::max(wait, memoryRetryAfter), 1 + memoryRetrySpread * uniformRandom());
    return unavailableResponse(dialect_.headers, retryAfter);
}

std::optional<http::Response> TrafficManager::refusalOfWaiting(
    const http::RequestHead& head, std::size_t bytes, TimePoint arrivedAt, TimePoint now)
{
    const auto routes = configuration_.current();
    const auto* route = routes ? routes->match(head.fields.find("host").value_or(""), head.target) : nullptr;
    if (!route)
        return std::nullopt;
    const auto text = head.fields.find(dialect_.headers.deadlineMillis);
    const auto millis = text ? http::parseNumber(*text) : std::nullopt;
    const auto deadline = millis ? statedDuration(*millis, std::chrono::milliseconds(1)) : route->timeout;
    const auto remaining = arrivedAt + std::min(deadline, route->timeout) - now;
    const auto wait = memory_.expectedWait(bytes);
    if (remaining > Duration::zero() && wait.value_or(Duration::zero()) <= remaining)
        return std::nullopt;
    requestLog_.logOutcome(now, "request rejected",
        { { "id", std::string(head.fields.find(dialect_.headers.requestId).value_or("")) },
            { "target", head.target }, { "reason", "memory is short" },
            { "status", std::to_string(statusUnavailable) },
            { "expected_wait_ms", wait ? std::to_string(toMillis(*wait)) : "unknown" },
            { "remaining_ms", std::to_string(toMillis(remaining)) } });
    return refuseForMemory(wait.value_or(Duration::zero()));
}

void TrafficManager::recordSlowCaller()
{
    metrics_.slowCallers.add();
    requestLog_.logStep(BootClock::now(), "closing connection whose caller does not take its response",
        { { "held_bytes", std::to_string(memory_.total()) } });
}

TrafficManager::~TrafficManager() = default;

void TrafficManager::registryChanged(upstreams::RegistryEvent event, const upstreams::Upstream& upstream)
{
    log(LogLevel::Info, "registry", eventMessage(event),
        { { "upstream", upstream.record.id.str() }, { "service", upstream.record.service.str() },
            { "address", upstream.record.address + ":" + std::to_string(upstream.record.port) },
            { "zone", upstream.record.zone.str() }, { "sequence", std::to_string(upstream.record.sequence) },
            { "started_ms", std::to_string(upstream.record.startedAtUnixMillis) } });
    if (event == upstreams::RegistryEvent::Leaving && upstreamLeaving_)
        upstreamLeaving_(upstream.record);
}

UpstreamPool& TrafficManager::pool(const upstreams::UpstreamPointer& upstream)
{
    auto& pool = pools_[upstream->number];
    if (!pool)
        pool = std::make_unique<UpstreamPool>(
            ioContext_, upstream, dialect_.headers.requestId, memory_, upstreamSockets_,
            [this] { recordMemoryWait("response of a replica"); }, startedAt_ + startupCautionPeriod);
    return *pool;
}

dispatch::RetryBudget& TrafficManager::budget(const ServiceId& service)
{
    const auto found = budgets_.find(service);
    if (found != budgets_.end())
        return found->second;
    return budgets_.emplace(service, dispatch::RetryBudget(settings_.retries, startedAt_)).first->second;
}

void TrafficManager::applySettings(const Settings& settings, TimePoint now)
{
    settings_.retries = settings.retries;
    settings_.customerLimits = settings.customerLimits;
    settings_.coldOvershoot = settings.coldOvershoot;
    settings_.coldSlack = settings.coldSlack;
    settings_.callerDelay = settings.callerDelay;
    for (auto& [service, budget] : budgets_)
        budget.setLimit(settings.retries, now);
}

double TrafficManager::remainingBudgetShare(const ServiceId& service, TimePoint now)
{
    /** Number of repeats that suffices for one to two seconds of a VM's traffic. */
    constexpr double sufficientRepeats = 8;
    return std::clamp(budget(service).available(now, slackSharers()) / sufficientRepeats, 0.0, 1.0);
}

upstreams::ColdRequestLimiter& TrafficManager::coldLimiter(const upstreams::Upstream& upstream)
{
    return coldLimiters_.try_emplace(upstream.number, startedAt_).first->second;
}

double TrafficManager::sharedColdRate(
    const upstreams::Upstream& upstream, const routing::RouteTable& routes) const
{
    const auto* service = routes.service(upstream.record.service);
    if (!service || service->coldRequestsPerSecond <= 0)
        return std::numeric_limits<double>::infinity();
    const double rate = service->coldRequestsPerSecond * settings_.coldOvershoot + settings_.coldSlack;
    return coldRateUtilization * rate;
}

double TrafficManager::coldRate(const upstreams::Upstream& upstream, const routing::RouteTable& routes) const
{
    const double rate = sharedColdRate(upstream, routes);
    if (rate == std::numeric_limits<double>::infinity())
        return rate;
    return upstreams::coldShare(upstream.record.id, rate, dispatchers_, settings_.vm);
}

TimePoint TrafficManager::earliestColdSend(
    const upstreams::Upstream& upstream, const routing::RouteTable& routes, TimePoint now) const
{
    // The share of this VM can become the whole rate when other dispatchers stop.
    const double rate = sharedColdRate(upstream, routes);
    const auto limiter = coldLimiters_.find(upstream.number);
    const auto limited = limiter != coldLimiters_.end() ? limiter->second.earliestSend(rate, now) : now;
    return std::max({ now, coldSendsFrom_, limited });
}

dispatch::ReplicaOutlook TrafficManager::replicaOutlook(
    const upstreams::Upstream& upstream, const routing::RouteTable& routes, TimePoint now) const
{
    dispatch::ReplicaOutlook outlook;
    // The longest of several exclusions counts. A misdirected replica is not excluded: its registration may
    // change at any time.
    const auto exclude = [&outlook](dispatch::Exclusion exclusion, TimePoint until) {
        if (until <= outlook.availableAt)
            return;
        outlook.exclusion = exclusion;
        outlook.availableAt = until;
    };
    const auto& health = upstream.health;
    outlook.leastDelay = leastQueueDelay(upstream, now);
    outlook.knowledgeAge = outlook.leastDelay ? health.reportAge(now)
                                              : health.timeSinceResponse(now).value_or(Duration::zero());
    const auto found = pools_.find(upstream.number);
    const bool isConnecting = found != pools_.end() && found->second->isConnecting();
    // Any response ends the suspicion and may end the cold phase.
    const bool mayRespond = health.outstanding() > 0 || isConnecting;
    if (health.isSuspect(now) && !mayRespond)
        exclude(dispatch::Exclusion::Suspect, std::max(now, health.nextProbe()));
    if (upstream.isCold(now) && !mayRespond)
        exclude(
            dispatch::Exclusion::Cold, std::min(upstream.coldUntil, earliestColdSend(upstream, routes, now)));
    if (upstream.isResting(now))
        exclude(dispatch::Exclusion::Resting, upstream.restUntil);
    if (registry_.isEvacuated(upstream.record.zone))
        exclude(dispatch::Exclusion::Evacuated, TimePoint::max());
    if (!upstream.usable)
        exclude(dispatch::Exclusion::Leaving, TimePoint::max());
    outlook.availableForNewAt = outlook.availableAt;
    return outlook;
}

std::optional<Duration> TrafficManager::leastQueueDelay(
    const upstreams::Upstream& upstream, TimePoint now) const
{
    const auto found = pools_.find(upstream.number);
    if (found == pools_.end())
        return std::nullopt;
    return upstream.health.leastQueueDelay(upstream.record.slots, found->second->handshakeTime(), now);
}

bool TrafficManager::hasPromptReplica(const ServiceId& service, TimePoint deadline, TimePoint now) const
{
    const auto replicas = registry_.upstreams(service);
    return std::any_of(replicas.begin(), replicas.end(), [&](const auto& upstream) {
        return upstreams::isCandidate(*upstream, registry_, now) && !upstream->isCold(now)
            && now + leastQueueDelay(*upstream, now).value_or(Duration::zero()) < deadline;
    });
}

TimePoint TrafficManager::earliestRepeat(const ServiceId& service, TimePoint now)
{
    // Half of the dispatchers may stop meanwhile, which increases this VM's share of the slack.
    const auto sharers = std::max<std::size_t>(1, dispatchers_.size() / 2);
    return budget(service).earliestRepeat(now, static_cast<unsigned>(sharers));
}

upstreams::Placement TrafficManager::place(const ServiceId& service, Duration typical,
    std::span<const std::uint64_t> excluded, const routing::RouteTable& routes, const SendIdentity& identity,
    TimePoint now)
{
    const auto* declared = routes.service(service);
    const auto candidates = registry_.upstreams(service);
    const auto share = isDispatcher() ? upstreams::connectionShare(declared ? declared->maxConnections : 1,
                           candidates.size(), static_cast<unsigned>(dispatchers_.size()))
                                      : upstreams::ConnectionShare { 1, 0 };
    // Idle connections are kept to these replicas only. The others serve overflow, on connections that are
    // closed after each request.
    const bool reusesAll = share.replicas >= candidates.size();
    std::vector<upstreams::UpstreamPointer> reusable;
    if (!reusesAll)
        reusable = upstreams::replicaSubset(
            candidates, share.replicas, registry_, settings_.vm, settings_.zone, now);
    upstreams::PlacementHooks hooks;
    hooks.connectDelay = [&](const upstreams::UpstreamPointer& upstream) {
        auto& connectionPool = pool(upstream);
        const bool isReusable
            = reusesAll || std::find(reusable.begin(), reusable.end(), upstream) != reusable.end();
        connectionPool.setLimit(share.perReplica, isReusable);
        const auto delay = connectionPool.connectDelay(now);
        if (delay && !connectionPool.hasIdle()
            && upstreamSockets_ >= maxUpstreamSockets(settings_.maxSockets))
            return std::optional<Duration>();
        return delay;
    };
    hooks.maySend = [&](const upstreams::Upstream& upstream) {
        return !upstream.isCold(now)
            || (now >= coldSendsFrom_ && coldLimiter(upstream).maySend(coldRate(upstream, routes), now));
    };
    hooks.random = [this] { return uniformRandom(); };
    upstreams::PlacementRequest request;
    request.typicalLatency = typical;
    request.ownZone = settings_.zone;
    request.excluded = excluded;
    const auto* division = rollouts_.division(service);
    if (!division)
        return upstreams::place(candidates, registry_, request, hooks, now);
    const auto versions
        = Rollouts::candidates(*division, service, candidates, identity.requestId, identity.isRepeat);
    auto placement = upstreams::place(versions.preferred, registry_, request, hooks, now);
    if (placement.upstream && versions.withoutWaiting)
        requestLog_.logStep(now, "request sent to the target version of a roll-out",
            { { "id", std::string(identity.requestId) }, { "service", service.str() },
                { "target", division->target }, { "upstream", placement.upstream->record.id.str() },
                { "share", std::to_string(division->share) } });
    if (placement.upstream || versions.fallback.empty() || (placement.canWait && !versions.withoutWaiting))
        return placement;
    return upstreams::place(versions.fallback, registry_, request, hooks, now);
}

void TrafficManager::recordSample(const upstreams::Upstream& upstream, std::string_view route,
    TimePoint sentAt, ExchangeOutcome outcome, const ExchangeResponse* response, TimePoint now)
{
    if (outcome == ExchangeOutcome::Abandoned)
        return;
    const auto kind = response ? classifyResponse(response->head, dialect_) : ResponseKind::Failure;
    // A request that did not run says nothing about the version.
    if (kind == ResponseKind::Refused || kind == ResponseKind::Misdirected)
        return;
    const bool hasLatency = !upstream.isCold(now) && !upstream.isReturning;
    rollouts_.record(upstream, route, kind == ResponseKind::Failure, hasLatency, sentAt, now);
}

void TrafficManager::recordOutcome(const upstreams::UpstreamPointer& upstream, std::string_view route,
    TimePoint sentAt, Duration typical, ExchangeOutcome outcome, const ExchangeResponse* response,
    TimePoint now)
{
    if (!rollouts_.isEmpty())
        recordSample(*upstream, route, sentAt, outcome, response, now);
    auto& health = upstream->health;
    if (outcome == ExchangeOutcome::Abandoned || outcome == ExchangeOutcome::NoMemory)
        return health.abandoned(sentAt);
    if (outcome == ExchangeOutcome::TimedOut) {
        metrics_.upstreamFailures.add();
        return health.timedOut(sentAt, now);
    }
    if (!response) {
        metrics_.upstreamFailures.add();
        return health.failed(sentAt, now);
    }
    const auto& fields = response->head.fields;
    if (const auto text = fields.find(dialect_.headers.load)) {
        if (const auto load = dialect_.parseLoad(*text))
            health.loadReported(*load, now);
    }
    applyStatement(upstream, response->head, now);
    if (upstream->record.zone != settings_.zone)
        reach_.recordOtherZoneContact(now);
    switch (classifyResponse(response->head, dialect_)) {
    case ResponseKind::Result:
        upstream->isReturning = upstream->isResting(now);
        metrics_.upstreamSeconds.record(now - sentAt);
        return recordAnswer(*upstream, sentAt, typical, now);
    case ResponseKind::Misdirected:
        // The address belongs to another replica until the registration changes.
        upstream->misdirected = true;
        metrics_.upstreamRefusals.add();
        log(LogLevel::Warn, "registry", "registered address belongs to another replica",
            { { "upstream", upstream->record.id.str() }, { "address", upstream->record.address } });
        return health.refused(sentAt, now);
    case ResponseKind::Refused:
        metrics_.upstreamRefusals.add();
        return health.refused(sentAt, now);
    case ResponseKind::Failure:
        metrics_.upstreamFailures.add();
        return health.failed(sentAt, now);
    }
}

void TrafficManager::recordAnswer(
    upstreams::Upstream& upstream, TimePoint sentAt, Duration typical, TimePoint now)
{
    const auto slots = upstream.record.slots;
    const bool wasLimited = upstream.health.usefulConcurrency(slots, now) < slots;
    upstream.health.answered(sentAt, now, typical, slots);
    const double useful = upstream.health.usefulConcurrency(slots, now);
    const bool isLimited = useful < slots;
    if (isLimited == wasLimited)
        return;
    if (isLimited)
        metrics_.capacityReductions.add();
    requestLog_.logStep(now,
        isLimited ? "upstream slows down before its slots are taken" : "upstream handles all its slots",
        { { "upstream", upstream.record.id.str() }, { "slots", std::to_string(slots) },
            { "useful_slots", std::to_string(useful) } });
}

void TrafficManager::applyStatement(
    const upstreams::UpstreamPointer& upstream, const http::ResponseHead& head, TimePoint now)
{
    auto [statement, isMalformed] = readStatement(head, upstream->record.id, dialect_);
    if (isMalformed) {
        metrics_.malformedStatements.add();
        if (!std::exchange(upstream->hasLoggedMalformed, true))
            log(LogLevel::Warn, "registry",
                "ignoring malformed header fields that an upstream sets about itself",
                { { "upstream", upstream->record.id.str() }, { "status", std::to_string(head.status) } });
    }
    if (statement.restFor) {
        // VMs must not return to the replica all at the same moment.
        *statement.restFor
            += scaled(std::min(*statement.restFor, maxSpreadRest), restSpread * uniformRandom());
        metrics_.rests.add();
        requestLog_.logStep(now, "upstream wants no requests for a time",
            { { "upstream", upstream->record.id.str() },
                { "rest_ms", std::to_string(toMillis(*statement.restFor)) },
                { "rested_ms",
                    std::to_string(toMillis(std::max(upstream->restUntil - now, Duration::zero()))) } });
    }
    registry_.applyStatement(upstream, statement, now);
}

void TrafficManager::recordStart(const upstreams::Upstream& upstream, TimePoint now)
{
    if (upstream.isCold(now))
        coldLimiter(upstream).sent(now);
    const auto* division = rollouts_.division(upstream.record.service);
    if (division && upstream.record.version == division->target)
        metrics_.targetVersionRequests.add();
    if (upstream.record.zone != settings_.zone)
        reach_.recordOtherZoneSend(now);
}

void TrafficManager::tick(TimePoint now)
{
    registry_.applyDeferredRemovals(now);
    updateReach(now);
    memory_.measure(now);
    for (auto& [number, connectionPool] : pools_)
        connectionPool->expire(now);
    for (auto& [number, connectionPool] : pools_)
        connectionPool->resumeWaiting(now);
    // Otherwise idle connections to some replicas would keep requests from the others.
    const bool lacksSockets = upstreamSockets_ >= maxUpstreamSockets(settings_.maxSockets);
    for (auto& [number, connectionPool] : pools_) {
        if (lacksSockets)
            connectionPool->closeIdle();
    }
    probeUnresponsiveReplicas(now);
    removeUnusedPools();
}

void TrafficManager::updateReach(TimePoint now)
{
    const auto previousTick = std::exchange(lastTickAt_, now);
    if (previousTick != TimePoint {} && now - previousTick >= maxTickDelay) {
        reach_.restart(now);
        memory_.restartRates(now);
        coldSendsFrom_ = now + coldPauseAfterStall;
        log(LogLevel::Warn, "gateway", "process was stalled",
            { { "stalled_ms", std::to_string(toMillis(now - previousTick)) } });
    }
    if (reach_.areOtherZonesSilent(now) && !isOwnZoneSufficient(now))
        reach_.setCutOff(now);
}

bool TrafficManager::isOwnZoneSufficient(TimePoint now) const
{
    const auto routes = configuration_.current();
    if (!routes)
        return true;
    const auto& all = routes->configuration().routes;
    return std::all_of(all.begin(), all.end(), [&](const routing::Route& route) {
        const auto needed = requiredShards(route.gather.shards.size(), route.gather.minCoverage);
        return !route.isGather() || countServableShards(route, &settings_.zone, now) >= needed;
    });
}

void TrafficManager::probeUnresponsiveReplicas(TimePoint now)
{
    const auto routes = configuration_.current();
    if (!routes)
        return;
    for (const auto& service : routes->configuration().services) {
        for (const auto& upstream : registry_.upstreams(service.id)) {
            if (upstream->health.needsProbe(now) && now >= upstream->health.nextProbe())
                probeUnresponsiveReplica(upstream, now);
        }
    }
}

void TrafficManager::probeUnresponsiveReplica(const upstreams::UpstreamPointer& upstream, TimePoint now)
{
    auto& connectionPool = pool(upstream);
    if (connectionPool.isConnecting())
        return;
    const bool wasSuspect = upstream->health.isSuspect(now);
    upstream->health.probeStarted(now);
    metrics_.connections.add();
    connectionPool.connect(now, [this, upstream, wasSuspect](auto connection) {
        const bool reached = connection != nullptr;
        if (reached == wasSuspect)
            log(LogLevel::Info, "health",
                reached ? "unresponsive upstream accepts connections again"
                        : "upstream accepts no connections",
                { { "upstream", upstream->record.id.str() },
                    { "outstanding", std::to_string(upstream->health.outstanding()) } });
        if (!reached)
            return;
        if (upstream->record.zone != settings_.zone)
            reach_.recordOtherZoneContact(BootClock::now());
        // A second idle connection would stay unused until its timeout.
        auto& currentPool = pool(upstream);
        if (currentPool.hasIdle()) {
            connection->abandon();
        } else {
            currentPool.release(connection);
        }
    });
}

void TrafficManager::removeUnusedPools()
{
    std::erase_if(pools_, [](const auto& entry) {
        if (entry.second->isInUse())
            return false;
        entry.second->retire();
        return entry.second->isUnused();
    });
    std::erase_if(coldLimiters_, [this](const auto& entry) { return !pools_.contains(entry.first); });
}

bool TrafficManager::isServable(const routing::Route& route, std::size_t needed, TimePoint now) const
{
    return countServableShards(route, nullptr, now) >= needed;
}

std::optional<TimePoint> TrafficManager::servableAfterRest(
    std::span<const ServiceId> services, std::size_t needed, TimePoint now) const
{
    std::vector<TimePoint> servableAt;
    for (const auto& service : services) {
        const auto candidates = registry_.upstreams(service);
        const bool hasCandidate = std::any_of(candidates.begin(), candidates.end(),
            [&](const auto& upstream) { return upstreams::isCandidate(*upstream, registry_, now); });
        const auto restEnd
            = hasCandidate ? std::optional(now) : upstreams::earliestRestEnd(candidates, registry_, now);
        if (restEnd)
            servableAt.push_back(*restEnd);
    }
    if (needed == 0 || servableAt.size() < needed)
        return std::nullopt;
    std::sort(servableAt.begin(), servableAt.end());
    const auto at = servableAt[needed - 1];
    return at > now ? std::optional(at) : std::nullopt;
}

std::size_t TrafficManager::countServableShards(
    const routing::Route& route, const AvailabilityZone* zone, TimePoint now) const
{
    const auto hasCandidate = [&](const ServiceId& service) {
        const auto candidates = registry_.upstreams(service);
        return std::any_of(candidates.begin(), candidates.end(), [&](const auto& upstream) {
            return (!zone || upstream->record.zone == *zone)
                && upstreams::isCandidate(*upstream, registry_, now);
        });
    };
    const auto& shards = route.gather.shards;
    return static_cast<std::size_t>(std::count_if(shards.begin(), shards.end(), hasCandidate));
}

} // namespace banyancroft::gateway
