#include "dispatch/hedge_delay.h"

#include <algorithm>
#include <cmath>

namespace banyancroft::dispatch {

namespace {

/** Upper bound of the first bucket. */
constexpr double firstBucketMicros = 100;
constexpr double bucketsPerDoubling = 4;
constexpr std::uint32_t observationsPerHalving = 512;
/** With fewer observations, the upper quantiles depend on one or two values. */
constexpr float minTotalWeight = 20;
/** Quantile with a full budget: one request in ten is hedged, half of what the default retry limit allows. */
constexpr double earliestQuantile = 0.90;
/** Quantile with an empty budget: only the slowest requests are hedged. */
constexpr double latestQuantile = 0.98;
/** Longest delay as a fraction of the objective; later hedges are rarely answered in time. */
constexpr double maxDelayFraction = 0.4;
/** Delay as a fraction of the objective while there are too few observations. */
constexpr double initialDelayFraction = 0.33;

unsigned bucketOf(double micros, unsigned count)
{
    if (micros <= firstBucketMicros)
        return 0;
    const auto bucket = static_cast<unsigned>(bucketsPerDoubling * std::log2(micros / firstBucketMicros)) + 1;
    return std::min(bucket, count - 1);
}

} // namespace

void LatencyQuantiles::observe(Duration latency)
{
    const auto micros = std::chrono::duration<double, std::micro>(latency).count();
    weights_[bucketOf(micros, bucketCount)] += 1;
    total_ += 1;
    if (++observationsSinceHalving_ < observationsPerHalving)
        return;
    observationsSinceHalving_ = 0;
    total_ = 0;
    for (auto& weight : weights_) {
        weight *= 0.5F;
        total_ += weight;
    }
}

Duration LatencyQuantiles::quantile(double rank, Duration fallback) const
{
    if (total_ < minTotalWeight)
        return fallback;
    float below = 0;
    unsigned bucket = 0;
    for (; bucket + 1 < bucketCount; ++bucket) {
        below += weights_[bucket];
        if (below >= static_cast<float>(rank) * total_)
            break;
    }
    const double micros = firstBucketMicros * std::exp2(bucket / bucketsPerDoubling);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(micros));
}

Duration hedgeDelay(const LatencyQuantiles& latencies, double budgetLeft, Duration objective)
{
    const double remaining = std::clamp(budgetLeft, 0.0, 1.0);
    const double rank = earliestQuantile + (latestQuantile - earliestQuantile) * (1 - remaining);
    const auto delay = latencies.quantile(rank, scaled(objective, initialDelayFraction));
    return std::min(delay, scaled(objective, maxDelayFraction));
}

} // namespace banyancroft::dispatch
