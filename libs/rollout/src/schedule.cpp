#include "rollout/schedule.h"

#include <algorithm>
#include <array>

namespace banyancroft::rollout {

namespace {

/** Fractions of the permitted exposure; the rest is for the requests until a late fault is found. */
constexpr double canaryFraction = 0.5;
constexpr double pulseFraction = 0.2;
/** The completion comes this long before the deadline: a fraction of the duration, and at least the time for
 * seeing the order and writing the status. */
constexpr double completionReserve = 0.03;
constexpr Duration minCompletionReserve = std::chrono::milliseconds(2500);
/** The intermediate steps take this fraction of the duration, within limits: shorter ones give too few
 * samples, longer ones add to the exposure. */
constexpr double rampFraction = 0.02;
constexpr Duration minRampTime = std::chrono::milliseconds(1500);
constexpr Duration maxRampTime = std::chrono::seconds(20);
constexpr std::array<double, 2> rampShares { 0.25, 0.6 };
/** Other VMs learn of a step up to half a second apart, so shorter pulses would hardly overlap. */
constexpr Duration minPulseTime = std::chrono::seconds(1);
/** A pulse should last longer than the pauses of single replicas and the collection of the samples. */
constexpr Duration usualPulseLength = std::chrono::seconds(2);
constexpr Duration::rep maxPulses = 4;

} // namespace

Schedule::Schedule(Duration duration, Duration propagation, double maxExposure)
    : duration_(duration)
    , canaryShare_(canaryFraction * maxExposure)
    , pulseExposure_(pulseFraction * maxExposure)
{
    const auto reserve = std::max(scaled(duration, completionReserve), minCompletionReserve);
    // In a short roll-out the canary phase keeps half of the time, and the completion may come late.
    fullAt_ = std::max(duration - reserve - propagation, duration / 2);
    completeAt_ = fullAt_ + propagation;
    const auto ramp = std::clamp<Duration>(scaled(duration, rampFraction), minRampTime, maxRampTime);
    rampAt_ = std::max(fullAt_ - ramp, duration / 4);
}

Duration Schedule::pulseTime(double evenShare) const
{
    const auto extraShare = evenShare - canaryShare_;
    return extraShare > 0 ? scaled(duration_, std::min(pulseExposure_ / extraShare, 0.25)) : Duration::zero();
}

unsigned Schedule::pulseCount(double evenShare) const
{
    const auto time = pulseTime(evenShare);
    const auto count = std::min<Duration::rep>(time / usualPulseLength, maxPulses);
    return time < minPulseTime ? 0 : std::max(static_cast<unsigned>(count), 1U);
}

Duration Schedule::pulseLength(double evenShare) const
{
    const auto count = pulseCount(evenShare);
    return count > 0 ? pulseTime(evenShare) / count : Duration::zero();
}

ScheduledShare Schedule::at(Duration elapsed, double evenShare) const
{
    if (elapsed >= fullAt_)
        return { 1, Phase::Full };
    if (elapsed >= rampAt_) {
        const auto position = (elapsed - rampAt_) * static_cast<Duration::rep>(rampShares.size())
            / std::max<Duration>(fullAt_ - rampAt_, Duration(1));
        return { rampShares[std::min<std::size_t>(static_cast<std::size_t>(position), rampShares.size() - 1)],
            Phase::Ramp };
    }
    const auto count = pulseCount(evenShare);
    const auto length = pulseLength(evenShare);
    // Pulse i of n starts at (i + 1) / (n + 1) of the time before the final steps.
    for (unsigned i = 0; i < count; ++i) {
        const auto start = rampAt_ * (i + 1) / (count + 1);
        if (elapsed >= start && elapsed < start + length)
            return { evenShare, Phase::Pulse };
    }
    return { canaryShare_, Phase::Canary };
}

} // namespace banyancroft::rollout
