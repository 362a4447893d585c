#include "quota/rate_limit.h"

namespace banyancroft::quota {

double tolerance(const RateLimit& limit, const LimitBounds& bounds)
{
    const double seconds = std::chrono::duration<double>(bounds.window).count();
    return bounds.overshoot * (limit.perSecond * seconds + limit.burst) + bounds.slack;
}

double startingCredit(const RateLimit& limit, const LimitBounds& bounds)
{
    constexpr double startingFraction = 0.125;
    return std::min(limit.capacity(), startingFraction * tolerance(limit, bounds));
}

} // namespace banyancroft::quota
