#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace banyancroft::upstreams {

/** What a replica last registered of itself. */
struct UpstreamRecord {
    UpstreamId id;
    ServiceId service;
    /** IP number. */
    std::string address;
    std::uint16_t port = 0;
    AvailabilityZone zone;
    /** Requests that the replica processes at a time. */
    unsigned slots = 1;
    /** The replica leaves soon and takes no new work. */
    bool draining = false;
    /** How long the replica stays cold, counted from the registration. */
    Duration coldFor {};
    /** Rises with each registration of one start; starts anew with the replica. */
    std::uint64_t sequence = 0;
    /** Unix time of the replica's start in ms; zero when it is not told. */
    std::uint64_t startedAtUnixMillis = 0;
};

/** Load that a replica told with an answer. */
struct ReportedLoad {
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 1;
};

} // namespace banyancroft::upstreams
