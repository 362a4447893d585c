#pragma once

#include "base/time.h"

#include <cstdint>

namespace banyancroft {

/** How much of an upstream's limit a daemon may use at this moment. */
enum class Share : std::uint8_t {
    /** Not the home, or no authority: send nothing. */
    None,
    /** Neither lease nor promises: floor(limit/2) while warm, nothing while cold. */
    UncertainHalf,
    /** Took over from a home not known to have stopped: limit - floor(limit/2); the cold limit while cold. */
    TakeoverRest,
    Full,
};

/** A home's right to send to one upstream. */
struct Authority {
    Share share = Share::None;
    /** The authority ends by itself at this time; checked before each send. */
    TimePoint validUntil {};
    /** Requests that the previous home still had in flight, counted against the limit until `inheritedUntil`.
     */
    unsigned inheritedInFlight = 0;
    TimePoint inheritedUntil {};

    bool operator==(const Authority&) const = default;
};

} // namespace banyancroft
