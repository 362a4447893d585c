#include "evacuations.h"

#include <utility>

namespace banyancroft::gateway {

void Evacuations::storeRestored(TimePoint graceEnd)
{
    // A second restore within the grace period of the first one.
    held_.insert(stored_.begin(), stored_.end());
    heldUntil_ = graceEnd;
}

void Evacuations::replaceAll(std::set<AvailabilityZone> zones) { stored_ = std::move(zones); }

void Evacuations::set(const AvailabilityZone& zone, bool isEvacuated)
{
    if (isEvacuated) {
        stored_.insert(zone);
    } else {
        stored_.erase(zone);
        held_.erase(zone);
    }
}

std::set<AvailabilityZone> Evacuations::zones(TimePoint now)
{
    if (now >= heldUntil_)
        held_.clear();
    auto zones = stored_;
    zones.insert(held_.begin(), held_.end());
    return zones;
}

} // namespace banyancroft::gateway
