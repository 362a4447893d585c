#include "reach_tracker.h"

#include <algorithm>

namespace banyancroft::gateway {

namespace {

constexpr Duration outcomeWindow = std::chrono::milliseconds(1000);
/** Time without a response from any other zone after which they count as unreachable; normally their replicas
 * respond many times a second. */
constexpr Duration maxOtherZoneSilence = std::chrono::milliseconds(400);
/** With fewer requests in the window, the VM is not considered cut off. */
constexpr std::size_t minOutcomes = 4;
/** Unanswered sends to other zones that count as silence; fewer may have met paused replicas. */
constexpr std::size_t minSilentSends = 8;
/** Two failed readiness probes at one per second, plus network delay. */
constexpr Duration balancerDetectionTime = std::chrono::milliseconds(2200);

} // namespace

void ReachTracker::recordOtherZoneContact(TimePoint now)
{
    usesOtherZones_ = true;
    lastOtherZoneContact_ = now;
    silentSends_ = 0;
    cutOff_ = false;
}

void ReachTracker::recordOtherZoneSend(TimePoint now)
{
    usesOtherZones_ = true;
    if (silentSends_++ == 0)
        firstSilentSend_ = now;
}

void ReachTracker::restart(TimePoint now)
{
    outcomes_.clear();
    silentSends_ = 0;
    lastOtherZoneContact_ = now;
}

bool ReachTracker::areOtherZonesSilent(TimePoint now) const
{
    return silentSends_ >= minSilentSends && now - firstSilentSend_ >= maxOtherZoneSilence;
}

void ReachTracker::setCutOff(TimePoint now)
{
    if (cutOff_)
        return;
    cutOff_ = true;
    cutOffSince_ = now;
}

void ReachTracker::record(bool served, TimePoint now)
{
    outcomes_.push_back({ now, served });
    while (!outcomes_.empty() && now - outcomes_.front().at > outcomeWindow)
        outcomes_.pop_front();
}

bool ReachTracker::isCutOff(TimePoint now)
{
    if (cutOff_)
        return true;
    while (!outcomes_.empty() && now - outcomes_.front().at > outcomeWindow)
        outcomes_.pop_front();
    const auto failures = static_cast<std::size_t>(std::count_if(
        outcomes_.begin(), outcomes_.end(), [](const Outcome& outcome) { return !outcome.served; }));
    const bool mostFail = outcomes_.size() >= minOutcomes && 2 * failures > outcomes_.size();
    // Without replicas in other zones, no contact could ever end the state.
    if (!mostFail || !usesOtherZones_ || now - lastOtherZoneContact_ < maxOtherZoneSilence)
        return false;
    setCutOff(now);
    return true;
}

Duration retryDelayAfterCutOff(Duration sinceCutOff, Duration minDelay)
{
    return std::max<Duration>(minDelay, balancerDetectionTime - sinceCutOff);
}

} // namespace banyancroft::gateway
