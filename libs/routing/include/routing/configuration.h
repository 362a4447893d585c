#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace banyancroft::routing {

/** A service that takes a share of a route's requests. */
struct WeightedService {
    ServiceId service;
    /** Share relative to the other services of the route; not negative. */
    double weight = 1;
};

/** How a scatter-gather route merges the answers of its shards. */
struct GatherRule {
    /** Services of which one replica each is asked. */
    std::vector<ServiceId> shards;
    /** Number of greatest records in the merged answer. */
    std::size_t topRecords = 0;
    /** Least share of the shards that an answer has to cover, 0 to 1. */
    double minCoverage = 1;
};

/** One route: which requests it takes, where they go and what may be done for them. */
struct Route {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    /** True: a request may run more than once. */
    bool idempotent = false;
    /** Longest time that a request is kept waiting. */
    Duration timeout {};
    /** Answers within this time are worth most. */
    Duration latencyObjective {};
    /** Most replicas that one request (of each shard) is sent to. */
    unsigned maxUpstreams = 1;
    /** 0 is the most urgent. */
    unsigned priority = 0;
    /** Empty for a scatter-gather route. */
    std::vector<WeightedService> split;
    /** Without shards for a route to single replicas. */
    GatherRule gather;

    bool isGather() const { return !gather.shards.empty(); }
};

/** What is declared of a service. */
struct Service {
    ServiceId id;
    std::string healthPath;
    /** Connections that one replica accepts from all callers together. */
    unsigned maxConnections = 1;
    /** How long a replica stays cold after a start. */
    Duration coldFor {};
    /** Requests per second that a cold replica bears from all VMs; zero: no limit is declared. */
    double coldRequestsPerSecond = 0;
};

/** What a caller may send, and how long it may take. */
struct CallerLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 256 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/** One version of the operators' configuration. */
struct Configuration {
    ConfigVersion version;
    std::vector<Route> routes;
    std::vector<Service> services;
    CallerLimits limits;
};

} // namespace banyancroft::routing
