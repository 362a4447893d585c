#include "upstreams/capacity_estimate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace banyancroft::upstreams {

namespace {

/** An answer loses 63 % of its weight in this time or this number of answers, whichever is longer: changes
 * are followed within a second or two, and a replica that answers rarely is still estimated. */
constexpr double memorySeconds = 1;
constexpr double memoryAnswers = 40;
/** The same for the recent level. Shorter, so that a change at any load is soon part of the level, and longer
 * than the load of a replica takes to change. */
constexpr double levelSeconds = 0.3;
constexpr double levelAnswers = 16;
/** Answers of each kind that are needed to find that a replica slows down, and to keep finding so. */
constexpr double minCount = 6;
constexpr double minCountToKeep = 3;
/** Weight of the answers at high load at which a comparison ends. */
constexpr double forgottenWeight = 0.05;
/** Standard deviations by which latencies must differ for the same. At 4, chance and short queues reduced the
 * estimate of ordinary replicas at high load in 3 of 12 trials, at 5 in 1 of 12. */
constexpr double significance = 5;
constexpr double significanceToKeep = 2.5;
/** Smallest difference of logarithms that counts: 15 % of latency. */
constexpr double minDifference = 0.14;
/** The estimate counts in full from this multiple of the difference that chance may explain. */
constexpr double certainDifference = 1.25;
/** Time constant with which a limit rises towards a higher measurement. Slower than it falls: at a limit that
 * rises at once, load and limit would take turns. */
constexpr double riseSeconds = 0.5;
/** Time constant with which a limit loses its effect without answers. */
constexpr double idleDecaySeconds = 4;
/** A limit that is closer to the number of slots has no effect and ends. */
constexpr double minReduction = 0.05;
/** Weight of the newest answer in the correlation of latency with reported slowness. */
constexpr double newestWeight = 0.04;
/** Weight of the assumption that reported slowness is true, as a variance of its logarithm. */
constexpr double slownessPrior = 0.02;
/** Slope of the logarithm of latency over that of reported slowness up to which reports are not trusted, and
 * from which they are trusted in full. Below 1, because a report is made at the end of a request and says
 * less of its beginning. */
constexpr double untrustedSlope = 0.2;
constexpr double trustedSlope = 0.5;
/** Bounds the logarithm of one latency ratio. */
constexpr double maxLogLatency = 4;

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

void CapacityEstimate::LoadClass::forget(double factor)
{
    weights *= factor;
    squaredWeights *= factor * factor;
    squaredDeviations *= factor;
}

void CapacityEstimate::LoadClass::observe(double deviation, double inProgressNow)
{
    weights += 1;
    squaredWeights += 1;
    const double difference = deviation - mean;
    mean += difference / weights;
    squaredDeviations += difference * (deviation - mean);
    inProgress += (inProgressNow - inProgress) / weights;
}

void CapacityEstimate::observe(const CapacitySample& sample, TimePoint now)
{
    reportsSlowness_ = reportsSlowness_ || sample.slowness != 1;
    // With all slots taken latency rises because requests wait, and requests of other VMs are known with
    // delay. Only replicas with two slots are judged with all of them taken.
    const bool isComparable
        = sample.slots >= 2 && sample.inProgress <= std::max(sample.slots / 2 + 1, sample.slots - 1) + 0.5;
    const bool isHeavy = sample.inProgress > sample.slots / 2.0;
    // Answers at low load count only beside recent ones at high load, so most answers cost nothing.
    const bool isCompared = isComparable && (isHeavy || heavy_.weights > forgottenWeight);
    if (!isCompared && !reportsSlowness_)
        return;
    const double logLatency
        = std::clamp(std::log(std::max(sample.latencyRatio, 1e-6)), -maxLogLatency, maxLogLatency);
    double explained = 0;
    if (reportsSlowness_) {
        const double logSlowness = std::log(std::max(sample.slowness, 1e-3));
        explained = slownessTrust() * logSlowness;
        observeSlowness(logLatency, logSlowness);
    }
    if (isCompared)
        compare(logLatency - explained, sample.inProgress, sample.slots, now);
}

void CapacityEstimate::compare(double logLatency, double inProgress, unsigned slots, TimePoint now)
{
    if (heavy_.weights <= forgottenWeight) {
        light_ = {};
        heavy_ = {};
        level_ = logLatency;
    }
    const double elapsed = seconds(now - std::exchange(observedAt_, now));
    const double forgotten = std::exp(-std::min(elapsed / memorySeconds, 1 / memoryAnswers));
    light_.forget(forgotten);
    heavy_.forget(forgotten);
    const double deviation = logLatency - level_;
    level_ += deviation * std::min(elapsed / levelSeconds, 1 / levelAnswers);
    (inProgress > slots / 2.0 ? heavy_ : light_).observe(deviation, inProgress);
    const double measured = measuredConcurrency(slots);
    const double limit = std::min<double>(limit_, slots);
    limit_ = measured < limit ? measured : limit + (measured - limit) * -std::expm1(-elapsed / riseSeconds);
    if (limit_ > slots - minReduction)
        limit_ = std::numeric_limits<double>::infinity();
}

void CapacityEstimate::observeSlowness(double logLatency, double logSlowness)
{
    const double slownessDifference = logSlowness - meanLogSlowness_;
    const double latencyDifference = logLatency - meanLogLatency_;
    meanLogSlowness_ += newestWeight * slownessDifference;
    meanLogLatency_ += newestWeight * latencyDifference;
    slownessVariance_
        = (1 - newestWeight) * (slownessVariance_ + newestWeight * slownessDifference * slownessDifference);
    slownessCovariance_
        = (1 - newestWeight) * (slownessCovariance_ + newestWeight * slownessDifference * latencyDifference);
}

double CapacityEstimate::slownessTrust() const
{
    const double slope = (slownessCovariance_ + slownessPrior) / (slownessVariance_ + slownessPrior);
    return std::clamp((slope - untrustedSlope) / (trustedSlope - untrustedSlope), 0.0, 1.0);
}

double CapacityEstimate::measuredConcurrency(unsigned slots) const
{
    const bool isLimited = limit_ < slots;
    const double difference = heavy_.mean - light_.mean;
    const double needed = isLimited ? minCountToKeep : minCount;
    if (difference <= minDifference || light_.weights < needed || heavy_.weights < needed)
        return slots;
    const double deviations = isLimited ? significanceToKeep : significance;
    const double chance = deviations * std::sqrt(light_.meanVariance() + heavy_.meanVariance());
    const double margin = std::max(minDifference, chance);
    if (difference <= margin)
        return slots;
    // Beyond its useful concurrency c a replica shares its speed, so that latency grows with inProgress / c.
    const double measured = heavy_.inProgress * std::exp(-difference);
    const double certainty = std::min(1.0, (difference / margin - 1) / (certainDifference - 1));
    return std::clamp(slots + (measured - slots) * certainty, 1.0, static_cast<double>(slots));
}

double CapacityEstimate::usefulConcurrency(unsigned slots, TimePoint now) const
{
    const double all = std::max(1U, slots);
    if (limit_ >= all)
        return all;
    return all + (limit_ - all) * std::exp(-seconds(now - observedAt_) / idleDecaySeconds);
}

double CapacityEstimate::loadFactor(double inProgress, unsigned slots, TimePoint now) const
{
    const double useful = usefulConcurrency(slots, now);
    return useful < slots ? std::max(1.0, inProgress / useful) : 1.0;
}

} // namespace banyancroft::upstreams
