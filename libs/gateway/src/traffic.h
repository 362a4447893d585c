#pragma once

#include "dispatch/hedge_delay.h"
#include "dispatch/retry_budget.h"
#include "gateway/dialect.h"
#include "gateway/settings.h"
#include "reach_tracker.h"
#include "request_log.h"
#include "routing/active_configuration.h"
#include "telemetry/metrics.h"
#include "upstream_pool.h"
#include "upstreams/cold_request_limiter.h"
#include "upstreams/placement.h"
#include "upstreams/registry.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>

namespace banyancroft::gateway {

/** Counters and histograms of the gateway. */
struct TrafficMetrics {
    explicit TrafficMetrics(telemetry::Metrics& metrics);

    telemetry::Counter& requests;
    telemetry::Counter& served;
    telemetry::Counter& partial;
    telemetry::Counter& refused;
    telemetry::Counter& failed;
    telemetry::Counter& callersGone;
    telemetry::Counter& subRequests;
    telemetry::Counter& hedges;
    telemetry::Counter& retries;
    telemetry::Counter& repeatsDenied;
    telemetry::Counter& upstreamRefusals;
    telemetry::Counter& upstreamFailures;
    telemetry::Counter& connections;
    telemetry::Counter& droppedLines;
    telemetry::LatencyHistogram& answerSeconds;
    telemetry::LatencyHistogram& upstreamSeconds;
};

/** What is remembered of a route between requests. */
struct RouteHistory {
    dispatch::LatencyQuantiles times;
    /** Longest time that a caller gave a request: that of its first attempt. */
    Duration longestDeadline {};
};

/**
 * State that the requests of one VM share: replicas and their connections, configuration, retry budgets
 * and answer times. Used on the traffic thread only.
 */
class Traffic {
public:
    Traffic(boost::asio::io_context& ioContext, const Settings& settings, const Dialect& dialect,
        telemetry::Metrics& metrics, TimePoint startedAt);
    ~Traffic();
    Traffic(const Traffic&) = delete;
    Traffic& operator=(const Traffic&) = delete;

    upstreams::Registry& registry() { return registry_; }
    routing::ActiveConfiguration& configuration() { return configuration_; }
    const routing::ActiveConfiguration& configuration() const { return configuration_; }
    const Dialect& dialect() const { return dialect_; }
    const Settings& settings() const { return settings_; }
    TrafficMetrics& metrics() { return metrics_; }
    /** Takes over limits and delays; addresses stay those of the start. */
    void applySettings(const Settings& settings);
    RequestLog& requestLog() { return requestLog_; }
    boost::asio::io_context& ioContext() { return ioContext_; }

    UpstreamPool& pool(const upstreams::UpstreamPointer& upstream);
    dispatch::RetryBudget& budget(const ServiceId& service);
    RouteHistory& history(const std::string& route) { return histories_[route]; }
    double randomShare() { return uniform_(random_); }

    upstreams::Placement place(const ServiceId& service, Duration typical,
        std::span<const std::uint64_t> tried, const routing::RouteTable& routes, TimePoint now);
    /** Learns from the end of a request at a replica. @param typical usual answer time of such a request */
    void noteEnd(const upstreams::UpstreamPointer& upstream, TimePoint sentAt, Duration typical,
        ExchangeEnd end, const ExchangeAnswer* answer, TimePoint now);
    /** Counts a request that goes to a cold replica. */
    void noteStart(const upstreams::Upstream& upstream, TimePoint now);
    /** Share of the retry budget of a service that is unspent, 0 to 1. */
    double budgetLeft(const ServiceId& service, TimePoint now);

    /** Live VMs that share limits with this one, itself included. */
    void setVms(std::set<VmId> vms) { vms_ = std::move(vms); }
    const std::set<VmId>& vms() const { return vms_; }
    unsigned liveVms() const { return std::max(1U, static_cast<unsigned>(vms_.size())); }

    /** Ends overdue work and tries silent replicas; to be called every few hundred milliseconds. */
    void tick(TimePoint now);
    /** True when at least `needed` shards of a gather route have a replica that may be tried. */
    bool isServable(const routing::Route& route, std::size_t needed, TimePoint now) const;
    /** What this VM reaches, as its requests show. */
    ReachTracker& reach() { return reach_; }
    const ReachTracker& reach() const { return reach_; }

private:
    upstreams::ColdRequestLimiter& pacer(const upstreams::Upstream& upstream);
    void trySilentReplicas(TimePoint now);
    void trySilentReplica(const upstreams::UpstreamPointer& upstream, TimePoint now);
    /** Closes the connections of replicas that get no new requests. */
    void removeUnusedPools();
    /** Requests per second that this VM may send to the replica while it is cold. */
    double coldRate(const upstreams::Upstream& upstream, const routing::RouteTable& routes) const;
    void registryChanged(upstreams::RegistryEvent event, const upstreams::Upstream& upstream);

    boost::asio::io_context& ioContext_;
    Settings settings_;
    const Dialect dialect_;
    const TimePoint startedAt_;
    TrafficMetrics metrics_;
    RequestLog requestLog_;
    upstreams::Registry registry_;
    routing::ActiveConfiguration configuration_;
    std::unordered_map<std::uint64_t, std::unique_ptr<UpstreamPool>> pools_;
    std::unordered_map<std::uint64_t, upstreams::ColdRequestLimiter> pacers_;
    std::unordered_map<ServiceId, dispatch::RetryBudget> budgets_;
    std::map<std::string, RouteHistory> histories_;
    std::mt19937_64 random_;
    std::uniform_real_distribution<double> uniform_ { 0, 1 };
    ReachTracker reach_;
    std::set<VmId> vms_;
};

} // namespace banyancroft::gateway
