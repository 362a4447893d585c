#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "dispatch/retry_budget.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace banyancroft::gateway {

/** Where a listener is bound. */
struct ListenAddress {
    /** IP number. */
    std::string address;
    /** Zero for one that the system picks. */
    std::uint16_t port = 0;
};

/** Settings of one VM's gateway; durations are checked to be positive by whoever fills them in. */
struct Settings {
    VmId vm;
    AvailabilityZone zone;
    ListenAddress callers;
    ListenAddress readiness;
    ListenAddress metrics;
    /** Where other VMs ask for this VM's view of the store; port zero turns that off. */
    ListenAddress relay;
    /** Such addresses of other VMs that may be asked before any VM is known. */
    std::vector<ListenAddress> seeds;
    std::string metricsPath = "/metrics";

    /** Limit on repeated sends over all VMs. */
    dispatch::RetryLimit retries;
    /** Factor on the declared rate of a cold upstream that all VMs together may reach. */
    double coldOvershoot = 1;
    /** Requests per second that a cold upstream may get besides. */
    double coldSlack = 0;
    /** Longest time between a stop signal and the end of the process. */
    Duration stopGrace = std::chrono::seconds(6);
    /** Time in which registrations that lapsed during a store outage come back. */
    Duration reregistrationGrace = std::chrono::seconds(2);
    /** Time in one direction between callers and the VM. */
    Duration callerDelay = std::chrono::milliseconds(3);
    /** Shortest lease that the store grants. */
    Duration minLeaseTtl = std::chrono::seconds(1);
    /** Shortest time in which a change at the store has to be known on all VMs. */
    Duration maxPropagationDelay = std::chrono::seconds(3);
    /** Processor cores that the VM may use; parts of one are usual. */
    double processors = 1;
    /** Descriptors that may be open for callers and upstreams together. */
    std::size_t maxSockets = 3000;
    /** Lines per second that requests may write to the log; the rest is counted. */
    double requestLogRate = 300;
};

} // namespace banyancroft::gateway
