#include "dispatch/hedge_delay.h"

#include <algorithm>
#include <cmath>

namespace banyancroft::dispatch {

namespace {

constexpr double lowestMicros = 100;
constexpr double bucketsPerDoubling = 4;
constexpr std::uint32_t answersPerHalving = 512;
/** With fewer answers the upper quantiles rest on one or two values. */
constexpr float leastWeight = 20;
/** A copy this early is sent for one answer in ten, half of what the usual limit allows. */
constexpr double earlyQuantile = 0.90;
/** With the budget nearly spent, only the slowest answers are worth a copy. */
constexpr double lateQuantile = 0.98;
/** A copy sent later than this part of the objective rarely comes back in time. */
constexpr double latestPart = 0.4;
/** Before there are quantiles, a copy after this part of the objective. */
constexpr double unknownPart = 0.33;

unsigned bucketOf(double micros, unsigned count)
{
    if (micros <= lowestMicros)
        return 0;
    const auto bucket = static_cast<unsigned>(bucketsPerDoubling * std::log2(micros / lowestMicros)) + 1;
    return std::min(bucket, count - 1);
}

} // namespace

void LatencyQuantiles::observe(Duration time)
{
    const auto micros = std::chrono::duration<double, std::micro>(time).count();
    weights_[bucketOf(micros, bucketCount)] += 1;
    total_ += 1;
    if (++sinceHalving_ < answersPerHalving)
        return;
    sinceHalving_ = 0;
    total_ = 0;
    for (auto& weight : weights_) {
        weight *= 0.5F;
        total_ += weight;
    }
}

Duration LatencyQuantiles::quantile(double share, Duration fallback) const
{
    if (total_ < leastWeight)
        return fallback;
    float below = 0;
    unsigned bucket = 0;
    for (; bucket + 1 < bucketCount; ++bucket) {
        below += weights_[bucket];
        if (below >= static_cast<float>(share) * total_)
            break;
    }
    const double micros = lowestMicros * std::exp2(bucket / bucketsPerDoubling);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(micros));
}

Duration hedgeDelay(const LatencyQuantiles& times, double budgetLeft, Duration objective)
{
    const double left = std::clamp(budgetLeft, 0.0, 1.0);
    const double share = earlyQuantile + (lateQuantile - earlyQuantile) * (1 - left);
    const auto delay = times.quantile(share, scaled(objective, unknownPart));
    return std::min(delay, scaled(objective, latestPart));
}

} // namespace banyancroft::dispatch
