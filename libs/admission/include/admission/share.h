#pragma once

#include "base/authority.h"

namespace banyancroft::admission {

/**
 * Number of concurrent requests that a home with the given share may have at the upstream. The results for
 * UncertainHalf and TakeoverRest never sum to more than `slots`, even when only one of the two homes
 * considers the upstream cold.
 * @param limit concurrent requests that the upstream handles now, at most `slots`
 * @param slots concurrent requests that the upstream handles when warm
 */
unsigned limitForShare(Share share, unsigned limit, unsigned slots, bool cold);

} // namespace banyancroft::admission
