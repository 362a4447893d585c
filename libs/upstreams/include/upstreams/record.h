#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace banyancroft::upstreams {

/** Latest registration of a replica. */
struct UpstreamRecord {
    UpstreamId id;
    ServiceId service;
    /** IP address. */
    std::string address;
    std::uint16_t port = 0;
    AvailabilityZone zone;
    /** Requests that the replica processes concurrently. */
    unsigned slots = 1;
    /** The replica is shutting down and accepts no new requests. */
    bool draining = false;
    /** Duration of the cold phase, counted from the registration. */
    Duration coldFor {};
    /** Increases with each registration; restarts when the replica restarts. */
    std::uint64_t sequence = 0;
    /** Unix time of the replica's start in ms; zero when not registered. */
    std::uint64_t startedAtUnixMillis = 0;
    /** Version of the replica's program; empty when not registered. */
    std::string version;
};

/** Load that a replica reported with an answer. */
struct ReportedLoad {
    unsigned running = 0;
    /** Requests in the queue of the replica. */
    unsigned waiting = 0;
    unsigned slots = 1;
    /** How long work takes on the replica's machine at the moment, as a multiple of its usual time; 1 if the
     * replica does not report it. */
    double slowness = 1;
};

} // namespace banyancroft::upstreams
