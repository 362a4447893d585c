#pragma once

#include "base/time.h"

#include <algorithm>

namespace banyancroft::quota {

/** Limit on the requests of one customer over all VMs together. */
struct RateLimit {
    double perSecond = 0;
    double burst = 0;

    bool isLimited() const { return perSecond > 0; }
    /** Capacity of the token bucket; a bucket that never holds a whole token would grant nothing. */
    double capacity() const { return std::max(burst, 1.0); }
};

/** How far the requests of a customer may exceed its limit in any window. */
struct LimitBounds {
    Duration window = std::chrono::seconds(5);
    /** Fraction of what the limit permits in a window. */
    double overshoot = 0.1;
    /** Requests on top of that. */
    double slack = 20;
};

/** Requests of a customer that may run in any window beyond those that its limit permits. */
double tolerance(const RateLimit& limit, const LimitBounds& bounds);

/**
 * Credit of a bucket whose past is unknown, since its previous holder has ended. Only an eighth of the
 * tolerance, so that several changes of the holder within a window and the credit of fallbacks fit into it as
 * well.
 */
double startingCredit(const RateLimit& limit, const LimitBounds& bounds);

} // namespace banyancroft::quota
