#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "dispatch/retry_budget.h"
#include "quota/rate_limit.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace banyancroft::gateway {

/** Address that a listener is bound to. */
struct ListenAddress {
    /** Numeric IP address. */
    std::string address;
    /** Zero lets the operating system choose a port. */
    std::uint16_t port = 0;

    bool operator==(const ListenAddress& other) const
    {
        return address == other.address && port == other.port;
    }
};

/** Settings of one VM's gateway. The caller must ensure that durations are positive. */
struct Settings {
    VmId vm;
    AvailabilityZone zone;
    ListenAddress callers;
    ListenAddress readiness;
    ListenAddress metrics;
    /** Serves this VM's view of the store to other VMs; port zero disables it. */
    ListenAddress relay;
    /** Takes over requests of other VMs of the availability zone; with port zero, this VM neither hands
     * requests over nor takes them over. */
    ListenAddress handover;
    /** Dispatchers that each availability zone has at least. */
    std::size_t minDispatchersPerZone = 2;
    /** Relay addresses of other VMs, used until the registered VMs are known. */
    std::vector<ListenAddress> seeds;
    std::string metricsPath = "/metrics";

    /** Limit on retries across all VMs. */
    dispatch::RetryLimit retries;
    /** How far the requests of a customer may exceed its limit, over all VMs. */
    quota::LimitBounds customerLimits;
    /** Factor applied to the declared request rate of a cold upstream; bounds the sum over all VMs. */
    double coldOvershoot = 1;
    /** Requests per second that a cold upstream may receive on top of that. */
    double coldSlack = 0;
    /** Maximum time between a stop signal and the end of the process. */
    Duration stopGrace = std::chrono::seconds(6);
    /** Time after a store outage within which upstreams renew their lapsed registrations. */
    Duration reregistrationGrace = std::chrono::seconds(2);
    /** One-way network delay between callers and the VM. */
    Duration callerDelay = std::chrono::milliseconds(3);
    /** Minimum time to live of a lease that the store grants. */
    Duration minLeaseTtl = std::chrono::seconds(1);
    /** Time within which a change in the store must reach all VMs. */
    Duration maxPropagationDelay = std::chrono::seconds(3);
    /** Fraction of the requests of a service, from order to deadline, that a bad version may receive. */
    double maxRolloutExposure = 0.1;
    /** Requests that a bad version may receive on top of that. */
    double rolloutExposureSlack = 50;
    /** Processor cores available to the VM; may be fractional. */
    double processors = 1;
    /** Memory available to the process. */
    std::size_t memoryBytes = std::size_t { 256 } * 1024 * 1024;
    /** Maximum number of open sockets, callers and upstreams together. */
    std::size_t maxSockets = 3000;
    /** Maximum rate of request log lines, per second; further lines are dropped and counted. */
    double requestLogRate = 300;
};

} // namespace banyancroft::gateway
