#include "reach_tracker.h"

#include <algorithm>

namespace banyancroft::gateway {

namespace {

constexpr Duration window = std::chrono::milliseconds(1000);
/** Silence of all other zones that is no chance: their replicas answer many times a second. */
constexpr Duration otherZonesSilent = std::chrono::milliseconds(400);
/** Requests in the window below which nothing is concluded. */
constexpr std::size_t leastOutcomes = 4;
/** Two failed readiness probes, one a second, and the way of the balancer's answer. */
constexpr Duration balancerNotices = std::chrono::milliseconds(2200);

} // namespace

void ReachTracker::otherZoneAnswered(TimePoint now)
{
    lastOtherZoneSign_ = now;
    cutOff_ = false;
}

void ReachTracker::note(bool served, TimePoint now)
{
    outcomes_.push_back({ now, served });
    while (!outcomes_.empty() && now - outcomes_.front().at > window)
        outcomes_.pop_front();
}

bool ReachTracker::isCutOff(TimePoint now)
{
    if (cutOff_)
        return true;
    while (!outcomes_.empty() && now - outcomes_.front().at > window)
        outcomes_.pop_front();
    const auto unserved = static_cast<std::size_t>(std::count_if(
        outcomes_.begin(), outcomes_.end(), [](const Outcome& outcome) { return !outcome.served; }));
    const bool fails = outcomes_.size() >= leastOutcomes && 2 * unserved > outcomes_.size();
    if (!fails || now - lastOtherZoneSign_ < otherZonesSilent)
        return false;
    cutOff_ = true;
    cutOffSince_ = now;
    return true;
}

Duration returnAfterCutOff(Duration sinceCutOff, Duration least)
{
    return std::max<Duration>(least, balancerNotices - sinceCutOff);
}

} // namespace banyancroft::gateway
