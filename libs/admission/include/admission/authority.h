#pragma once

#include "base/outcome.h"
#include "base/time.h"

#include <cstdint>

namespace banyancroft::admission {

/** How much of an upstream's limit this daemon may use at this moment (design page, section 4). */
enum class Share : std::uint8_t {
    /** Not the home, or no authority: send nothing. */
    None,
    /** Neither lease nor promises: floor(limit/2) while warm, nothing while cold. */
    UncertainHalf,
    /** Took over from a home not known to have stopped: limit - floor(limit/2); the cold limit while cold. */
    TakeoverRest,
    Full,
};

struct Authority {
    Share share = Share::None;
    /** The authority ends by itself at this time; checked before each send. */
    TimePoint validUntil {};
    /** Requests that the previous home still had in flight, counted against the limit until `inheritedUntil`.
     */
    unsigned inheritedInFlight = 0;
    TimePoint inheritedUntil {};
    /** Why work is refused while the share is None; WrongHome when another daemon is the home. */
    Reason refusal = Reason::NoAuthority;
};

/**
 * Part of a limit that a share allows. The parts of UncertainHalf and TakeoverRest never sum to more
 * than `slots`, also when only one of the two homes takes the upstream for cold.
 * @param limit requests at a time that the upstream bears now, at most `slots`
 * @param slots requests at a time that the upstream bears when warm
 */
unsigned partOfLimit(Share share, unsigned limit, unsigned slots, bool cold);

} // namespace banyancroft::admission
