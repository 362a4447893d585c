#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyancroft::config {

/** An availability zone. */
struct Zone {
    AvailabilityZone id;
    RegionId region;
    /** False after `take out zone`: the zone receives no new requests. */
    bool serving = true;

    bool operator==(const Zone&) const = default;
};

/** One upstream process, a replica of its shard group. */
struct Upstream {
    UpstreamId id;
    /** IPv4 or IPv6 address, without port. */
    std::string address;
    std::uint16_t port = 0;
    AvailabilityZone zone;
    /** True after `drain upstream`: the upstream receives no new requests. */
    bool draining = false;

    bool operator==(const Upstream&) const = default;
};

/** Replicas that hold the same shards. A pool of identical upstreams is one group with one shard. */
struct ShardGroup {
    GroupId id;
    std::vector<ShardId> shards;
    std::vector<Upstream> upstreams;

    bool operator==(const ShardGroup&) const = default;
};

/** A service: the capacity of each of its upstreams and its shard groups. */
struct Service {
    ServiceId id;
    /** Concurrent requests that one warm upstream runs. */
    unsigned slots = 1;
    /** Connections that one upstream accepts. */
    unsigned connections = 1;
    /** Concurrent requests that one upstream runs during a cold start; at most `slots`. */
    unsigned coldLimit = 1;
    /** Time that it takes to establish a new connection. */
    Duration connectTime = std::chrono::milliseconds(1);
    std::vector<ShardGroup> groups;

    bool operator==(const Service&) const = default;
};

/** A set of services that one search covers. */
struct Collection {
    std::string name;
    /** The collection consists of exactly the shard groups of these services. */
    std::vector<ServiceId> services;

    bool operator==(const Collection&) const = default;
};

/** A request other than a search, run by one upstream of a service. */
struct Operation {
    std::string name;
    ServiceId service;
    /** True: runs at most once and requires an idempotency key. */
    bool nonIdempotent = true;

    bool operator==(const Operation&) const = default;
};

/** Deadlines, and the limits of hedging, retries, queues and warm-up. */
struct Policy {
    /** Deadline of a request that does not specify one. */
    Duration defaultDeadline = std::chrono::milliseconds(150);
    /** Longest deadline that a caller may ask for; also the safety margin after a lease has expired. */
    Duration maxDeadline = std::chrono::seconds(2);
    /** Time reserved for merging the results and sending the answer to the caller. */
    Duration answerReserve = std::chrono::milliseconds(5);
    bool hedge = true;
    /** Quantile of the service's measured latency after which a hedge is sent, between 0 and 1. */
    double hedgeQuantile = 0.95;
    /** Hedges as a share of all sub-requests, in percent. */
    double hedgeBudgetPercent = 5.0;
    /** Retries as a share of all sub-requests, in percent. */
    double retryBudgetPercent = 10.0;
    /** Longest queue per upstream, in requests. */
    unsigned queueLimit = 256;
    /** Completed answers that raise the limit of a cold upstream by one. */
    unsigned warmupAnswersPerStep = 8;

    bool operator==(const Policy&) const = default;
};

/** The configuration of a deployment. Of two documents the one with the higher version is newer. */
struct Document {
    /** Version of the document format, the only one that this code reads. */
    static constexpr std::uint64_t schemaVersion = 1;

    ConfigVersion version;
    /** Increases with each change of the assignment of shards to groups. */
    LayoutVersion layout;
    std::string deployment;
    Policy policy;
    std::vector<Zone> zones;
    std::vector<Service> services;
    std::vector<Collection> collections;
    std::vector<Operation> operations;

    bool operator==(const Document&) const = default;
};

} // namespace banyancroft::config
