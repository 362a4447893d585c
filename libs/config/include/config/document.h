#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyancroft::config {

/** An availability zone and whether operators let it serve. */
struct Zone {
    AvailabilityZone id;
    RegionId region;
    /** False after `take out zone`: the zone receives no new work. */
    bool serving = true;

    bool operator==(const Zone&) const = default;
};

/** One upstream process: a replica of a shard group. */
struct Upstream {
    UpstreamId id;
    /** IP number, without port. */
    std::string address;
    std::uint16_t port = 0;
    AvailabilityZone zone;
    /** True after `drain upstream`: it receives no new work. */
    bool draining = false;

    bool operator==(const Upstream&) const = default;
};

/** Upstreams that hold the same shards. A pool of equal upstreams is one group with one shard. */
struct ShardGroup {
    GroupId id;
    std::vector<ShardId> shards;
    std::vector<Upstream> upstreams;

    bool operator==(const ShardGroup&) const = default;
};

/** What each upstream of a service bears. */
struct Service {
    ServiceId id;
    /** Requests that one warm upstream runs at a time. */
    unsigned slots = 1;
    /** Connections that one upstream accepts. */
    unsigned connections = 1;
    /** Requests that one upstream runs at a time during a cold start; at most `slots`. */
    unsigned coldLimit = 1;
    /** Time that a new connection takes. */
    Duration connectTime = std::chrono::milliseconds(1);
    std::vector<ShardGroup> groups;

    bool operator==(const Service&) const = default;
};

/** Shard groups that form a searchable whole. */
struct Collection {
    std::string name;
    /** All groups of these services belong to the collection, and no other. */
    std::vector<ServiceId> services;

    bool operator==(const Collection&) const = default;
};

/** A request other than a search, run by one upstream of a service. */
struct Operation {
    std::string name;
    ServiceId service;
    /** True: at most once, needs an idempotency key. */
    bool nonIdempotent = true;

    bool operator==(const Operation&) const = default;
};

/** How long to wait for missing shards and how much additional load to spend. */
struct Policy {
    /** Deadline of a request that names none. */
    Duration defaultDeadline = std::chrono::milliseconds(150);
    /** Longest deadline that a caller may ask for; also the margin after a lapsed lease. */
    Duration maxDeadline = std::chrono::seconds(2);
    /** Time kept back for merging and for the way to the caller. */
    Duration answerReserve = std::chrono::milliseconds(5);
    bool hedge = true;
    /** Quantile of the service's running latency after which a hedge is sent, 0 to 1. */
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

/** The configuration of a deployment. Only the version decides which of two documents is newer. */
struct Document {
    /** Version of the format; this code reads version 1. */
    static constexpr std::uint64_t schemaVersion = 1;

    ConfigVersion version;
    /** Rises with each change of the assignment of shards to groups. */
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
