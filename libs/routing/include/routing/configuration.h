#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace banyancroft::routing {

/** A service that receives a share of the requests of a route. */
struct WeightedService {
    ServiceId service;
    /** Relative to the weights of the other services of the route; not negative. */
    double weight = 1;
};

/** Fan-out and merge settings of a scatter-gather route. */
struct GatherRule {
    /** Services that each receive the request at one of their replicas. */
    std::vector<ServiceId> shards;
    /** Maximum number of records in the merged answer; the greatest ones are kept. */
    std::size_t topRecords = 0;
    /** Minimum fraction of the shards that an answer has to cover, 0 to 1. */
    double minCoverage = 1;
};

/** One route: the requests that it matches, their destination and their limits. */
struct Route {
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    /** True: a request may run more than once. */
    bool idempotent = false;
    /** Maximum time until a request is answered. */
    Duration timeout {};
    /** Target for the latency; answers within this time have the highest value. */
    Duration latencyObjective {};
    /** Maximum number of replicas that a request is sent to; for a scatter-gather route, per shard. */
    unsigned maxUpstreams = 1;
    /** 0 is the highest priority. */
    unsigned priority = 0;
    /** Needs no API key, even if the configuration has customers. */
    bool isPublic = false;
    /** Empty for a scatter-gather route. */
    std::vector<WeightedService> split;
    /** Has no shards for a route to single replicas. */
    GatherRule gather;

    bool isGather() const { return !gather.shards.empty(); }
};

/** Declared properties of a service. */
struct Service {
    ServiceId id;
    std::string healthPath;
    /** Connections that one replica accepts from all VMs together. */
    unsigned maxConnections = 1;
    /** Duration of the cold phase after the start of a replica. */
    Duration coldFor {};
    /** Requests per second that a cold replica may receive from all VMs together; zero means no limit. */
    double coldRequestsPerSecond = 0;
};

/** A customer, whose callers identify themselves by API keys and share a rate limit. */
struct Customer {
    CustomerId id;
    /** Secrets: they must not appear in logs, metrics or errors. */
    std::vector<std::string> keys;
    /** Takes precedence over the priority of the route; 0 is the highest. */
    std::optional<unsigned> priority;
    /** Rate limit over all VMs together; zero means no limit. */
    double requestsPerSecond = 0;
    /** Requests that may exceed the rate at once. */
    double burst = 0;
};

/** Size limits and timeouts for requests of callers. */
struct CallerLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 256 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/** One version of the configuration that operators publish. */
struct Configuration {
    ConfigVersion version;
    std::vector<Route> routes;
    std::vector<Service> services;
    /** True: requests need an API key, except those of public routes. */
    bool requiresKeys = false;
    std::vector<Customer> customers;
    CallerLimits limits;
};

} // namespace banyancroft::routing
