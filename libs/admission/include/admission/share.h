#pragma once

#include "base/authority.h"

namespace banyancroft::admission {

/**
 * Part of a limit that a share allows. The parts of UncertainHalf and TakeoverRest never sum to more
 * than `slots`, also when only one of the two homes takes the upstream for cold.
 * @param limit requests at a time that the upstream bears now, at most `slots`
 * @param slots requests at a time that the upstream bears when warm
 */
unsigned limitForShare(Share share, unsigned limit, unsigned slots, bool cold);

} // namespace banyancroft::admission
