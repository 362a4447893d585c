#pragma once

#include "dispatch/hedge_delay.h"
#include "dispatch/retry_budget.h"
#include "dispatch/success_outlook.h"
#include "gateway/dialect.h"
#include "gateway/settings.h"
#include "http/message_writer.h"
#include "memory_account.h"
#include "reach_tracker.h"
#include "request_log.h"
#include "rollouts.h"
#include "routing/active_configuration.h"
#include "telemetry/metrics.h"
#include "upstream_pool.h"
#include "upstreams/cold_request_limiter.h"
#include "upstreams/placement.h"
#include "upstreams/registry.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>

namespace banyancroft::gateway {

class CreditGate;

/** Metrics of requests and sub-requests. */
struct TrafficMetrics {
    explicit TrafficMetrics(telemetry::Metrics& metrics);

    telemetry::Counter& requests;
    telemetry::Counter& served;
    telemetry::Counter& partial;
    telemetry::Counter& refused;
    telemetry::Counter& unauthorized;
    telemetry::Counter& overLimit;
    telemetry::Counter& limitUnknown;
    telemetry::Counter& creditQuestions;
    telemetry::Counter& creditFallbacks;
    telemetry::Counter& endedEarly;
    telemetry::Counter& failed;
    telemetry::Counter& callersGone;
    telemetry::Counter& subRequests;
    telemetry::Counter& hedges;
    telemetry::Counter& retries;
    telemetry::Counter& repeatsDenied;
    telemetry::Counter& upstreamRefusals;
    telemetry::Counter& upstreamFailures;
    telemetry::Counter& rests;
    telemetry::Counter& malformedStatements;
    telemetry::Counter& capacityReductions;
    telemetry::Counter& targetVersionRequests;
    telemetry::Counter& connections;
    telemetry::Counter& droppedLines;
    telemetry::Counter& offers;
    telemetry::Counter& offersTimedOut;
    telemetry::Counter& offersDeclined;
    telemetry::Counter& handedOver;
    telemetry::Counter& sentDirectly;
    telemetry::Counter& memoryWaits;
    telemetry::Counter& memoryEnded;
    telemetry::Counter& memoryRefused;
    telemetry::Counter& slowCallers;
    telemetry::LatencyHistogram& answerSeconds;
    telemetry::LatencyHistogram& upstreamSeconds;
};

/** Statistics of a route that are kept between requests. */
struct RouteHistory {
    std::string_view route;
    dispatch::LatencyQuantiles responseTimes;
    /** Longest deadline of any request on the route, which is that of a caller's first attempt. */
    Duration longestDeadline {};
};

/**
 * Owns the state shared by the requests of one VM: replicas and their connections, configuration, retry
 * budgets and response times. Selects replicas and records the outcome of requests. Not thread-safe; used
 * on the traffic thread only.
 */
class TrafficManager {
public:
    TrafficManager(boost::asio::io_context& ioContext, const Settings& settings, const Dialect& dialect,
        telemetry::Metrics& metrics, TimePoint startedAt);
    ~TrafficManager();
    TrafficManager(const TrafficManager&) = delete;
    TrafficManager& operator=(const TrafficManager&) = delete;

    upstreams::Registry& registry() { return registry_; }
    routing::ActiveConfiguration& configuration() { return configuration_; }
    const routing::ActiveConfiguration& configuration() const { return configuration_; }
    const Dialect& dialect() const { return dialect_; }
    const Settings& settings() const { return settings_; }
    TrafficMetrics& metrics() { return metrics_; }
    /** Applies changed limits and delays; changed addresses take effect only after a restart. */
    void applySettings(const Settings& settings, TimePoint now);
    RequestLog& requestLog() { return requestLog_; }
    /** Memory of requests, responses and frames on all connections. */
    MemoryAccount& memory() { return memory_; }
    /** Records that a body or a response has to wait for memory. */
    void recordMemoryWait(std::string_view what);
    /** Records that a connection was closed because its caller took its response too slowly. */
    void recordSlowCaller();
    /**
     * Counts a request that is refused because memory is short.
     * @param wait expected time until there is memory  @return its response, with 503
     */
    http::Response refuseForMemory(Duration wait = Duration::zero());
    /**
     * Decides about a request that has not run and waits for `bytes` of memory.
     * @return the refusal of a request that cannot get them before its deadline; empty if it is to wait
     */
    std::optional<http::Response> refusalOfWaiting(
        const http::RequestHead& head, std::size_t bytes, TimePoint arrivedAt, TimePoint now);
    boost::asio::io_context& ioContext() { return ioContext_; }

    UpstreamPool& pool(const upstreams::UpstreamPointer& upstream);
    dispatch::RetryBudget& budget(const ServiceId& service);
    RouteHistory& history(const std::string& route)
    {
        const auto entry = histories_.try_emplace(route).first;
        entry->second.route = entry->first;
        return entry->second;
    }
    double uniformRandom() { return uniform_(random_); }

    /** The request that a replica is selected for; decides on the version during a roll-out. */
    struct SendIdentity {
        std::string_view requestId;
        /** The request was sent to the service before. */
        bool isRepeat = false;
    };
    upstreams::Placement place(const ServiceId& service, Duration typical,
        std::span<const std::uint64_t> excluded, const routing::RouteTable& routes,
        const SendIdentity& identity, TimePoint now);
    Rollouts& rollouts() { return rollouts_; }
    const Rollouts& rollouts() const { return rollouts_; }
    /**
     * Updates the health of a replica and the metrics when a request to it has ended.
     * @param route name of the request's route
     * @param typical usual response time of such a request
     * @param response nullptr unless the replica responded
     */
    void recordOutcome(const upstreams::UpstreamPointer& upstream, std::string_view route, TimePoint sentAt,
        Duration typical, ExchangeOutcome outcome, const ExchangeResponse* response, TimePoint now);
    /** Must be called for each request sent, to limit the request rate of cold replicas. */
    void recordStart(const upstreams::Upstream& upstream, TimePoint now);
    /** Unspent retry budget of a service, from 0 (none) to 1 (sufficient for about a second of traffic). */
    double remainingBudgetShare(const ServiceId& service, TimePoint now);
    /**
     * Takes one repeat from the retry budget of the service.
     * @param reserve fraction of the budget, 0 to 1, that is kept for more urgent repeats
     */
    bool tryWithdrawRepeat(const ServiceId& service, double reserve, TimePoint now)
    {
        return budget(service).tryWithdraw(now, slackSharers(), reserve);
    }

    /**
     * Sets the live dispatchers, which share the fleet-wide limits. A VM that is not among them may still
     * send requests, but uses no part of what is divided: retry slack, rates of cold replicas and kept
     * connections.
     */
    void setDispatchers(std::set<VmId> vms) { dispatchers_ = std::move(vms); }
    const std::set<VmId>& dispatchers() const { return dispatchers_; }
    bool isDispatcher() const { return dispatchers_.contains(settings_.vm); }

    /** Must be set before the first request; must outlive the traffic manager's requests. */
    void setCreditGate(CreditGate* gate) { creditGate_ = gate; }
    CreditGate& creditGate() { return *creditGate_; }

    /** @param handler called when a replica has said, to this VM or a dispatcher, that it is leaving */
    void onUpstreamLeaving(std::function<void(const upstreams::UpstreamRecord&)> handler)
    {
        upstreamLeaving_ = std::move(handler);
    }

    /** Records that another VM uses a configuration, so that this one does not fall behind it. */
    void setNewestVersionSeen(ConfigVersion version)
    {
        newestVersionSeen_ = std::max(newestVersionSeen_, version);
    }
    ConfigVersion newestVersionSeen() const { return newestVersionSeen_; }
    /** True while another VM is known to use a newer configuration. */
    bool isConfigurationOutdated() const { return newestVersionSeen_ > configuration_.version(); }

    /** Expires overdue requests and connections and probes unresponsive replicas; call every few 100 ms. */
    void tick(TimePoint now);
    /** Returns true if at least `needed` shards of a scatter-gather route have a candidate replica. */
    bool isServable(const routing::Route& route, std::size_t needed, TimePoint now) const;
    /**
     * Earliest time at which `needed` services have a candidate because replicas end their rest; empty if
     * rests are not what is missing.
     */
    std::optional<TimePoint> servableAfterRest(
        std::span<const ServiceId> services, std::size_t needed, TimePoint now) const;
    /** What is known of a replica, without regard to where a request was sent before. */
    dispatch::ReplicaOutlook replicaOutlook(
        const upstreams::Upstream& upstream, const routing::RouteTable& routes, TimePoint now) const;
    /** Lower bound of the time in the queue of the replica; empty if it is not known. */
    std::optional<Duration> leastQueueDelay(const upstreams::Upstream& upstream, TimePoint now) const;
    /** Returns true if a replica of the service takes requests now and is not known to be too slow for the
     * deadline. */
    bool hasPromptReplica(const ServiceId& service, TimePoint deadline, TimePoint now) const;
    /** Lower bound of the time at which the retry budget of the service can permit a repeat. */
    TimePoint earliestRepeat(const ServiceId& service, TimePoint now);
    /** Tracks from request outcomes whether this VM can reach the replicas. */
    ReachTracker& reach() { return reach_; }
    const ReachTracker& reach() const { return reach_; }

private:
    /** Number of VMs that share the retry slack; zero if this one has no part of it. */
    unsigned slackSharers() const { return isDispatcher() ? static_cast<unsigned>(dispatchers_.size()) : 0; }
    /** Number of shards of a scatter-gather route with a candidate replica, in `zone` if given. */
    std::size_t countServableShards(
        const routing::Route& route, const AvailabilityZone* zone, TimePoint now) const;
    /** True if the replicas of this VM's availability zone could serve all scatter-gather routes. */
    bool isOwnZoneSufficient(TimePoint now) const;
    void updateReach(TimePoint now);
    upstreams::ColdRequestLimiter& coldLimiter(const upstreams::Upstream& upstream);
    void probeUnresponsiveReplicas(TimePoint now);
    void probeUnresponsiveReplica(const upstreams::UpstreamPointer& upstream, TimePoint now);
    /** Closes the connections to replicas that receive no new requests. */
    void removeUnusedPools();
    /** Requests per second that all VMs together may send to a cold replica; infinite without a limit. */
    double sharedColdRate(const upstreams::Upstream& upstream, const routing::RouteTable& routes) const;
    /** Earliest time at which this VM may send to the replica in its cold phase, whatever its share is. */
    TimePoint earliestColdSend(
        const upstreams::Upstream& upstream, const routing::RouteTable& routes, TimePoint now) const;
    /** Requests per second that this VM may send to the replica while it is cold. */
    double coldRate(const upstreams::Upstream& upstream, const routing::RouteTable& routes) const;
    /** Updates the health of a replica that has answered and reports a change of its useful concurrency. */
    void recordAnswer(upstreams::Upstream& upstream, TimePoint sentAt, Duration typical, TimePoint now);
    /** Applies what the replica says of itself in a response. */
    void applyStatement(
        const upstreams::UpstreamPointer& upstream, const http::ResponseHead& head, TimePoint now);
    /** Adds the end of a request to the samples of a roll-out. */
    void recordSample(const upstreams::Upstream& upstream, std::string_view route, TimePoint sentAt,
        ExchangeOutcome outcome, const ExchangeResponse* response, TimePoint now);
    void registryChanged(upstreams::RegistryEvent event, const upstreams::Upstream& upstream);

    boost::asio::io_context& ioContext_;
    Settings settings_;
    const Dialect dialect_;
    const TimePoint startedAt_;
    TrafficMetrics metrics_;
    RequestLog requestLog_;
    upstreams::Registry registry_;
    routing::ActiveConfiguration configuration_;
    Rollouts rollouts_;
    /** Declared before the connections that use it. */
    MemoryAccount memory_;
    /** Open connections to replicas. */
    std::size_t upstreamSockets_ = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<UpstreamPool>> pools_;
    std::unordered_map<std::uint64_t, upstreams::ColdRequestLimiter> coldLimiters_;
    std::unordered_map<ServiceId, dispatch::RetryBudget> budgets_;
    std::map<std::string, RouteHistory> histories_;
    std::mt19937_64 random_;
    std::uniform_real_distribution<double> uniform_ { 0, 1 };
    ReachTracker reach_;
    std::set<VmId> dispatchers_;
    std::function<void(const upstreams::UpstreamRecord&)> upstreamLeaving_;
    CreditGate* creditGate_ = nullptr;
    ConfigVersion newestVersionSeen_;
    TimePoint lastTickAt_ {};
    /** Nothing is sent to cold replicas before this time. */
    TimePoint coldSendsFrom_ {};
};

} // namespace banyancroft::gateway
