#pragma once

#include "base/time.h"

#include <cstdint>

namespace banyancroft {

/** Part of an upstream's concurrency limit that a daemon may use. The home of an upstream is the daemon
 * through which requests are sent to it. */
enum class Share : std::uint8_t {
    /** The daemon is not the home or has no authority; it sends nothing. */
    None,
    /** The daemon holds neither a lease nor the promises of the other daemons: floor(limit/2) while the
     * upstream is warm, nothing while it is cold. */
    UncertainHalf,
    /** The daemon took over from a home that may still be sending: limit - floor(limit/2) while the upstream
     * is warm, the cold limit while it is cold. */
    TakeoverRest,
    /** The whole limit. */
    Full,
};

/** Permission of a home to send requests to one upstream. */
struct Authority {
    Share share = Share::None;
    /** The authority expires at this time; checked before each send. */
    TimePoint validUntil {};
    /** Requests that the previous home had in flight; counted against the limit until `inheritedUntil`. */
    unsigned inheritedInFlight = 0;
    TimePoint inheritedUntil {};

    bool operator==(const Authority&) const = default;
};

} // namespace banyancroft
