#include "membership/lease_tracker.h"

#include <algorithm>

namespace banyancroft::membership {

void LeaseTracker::succeeded(TimePoint started)
{
    granted_ = true;
    validUntil_ = std::max(validUntil_, started + lessClockMargin(length_));
}

} // namespace banyancroft::membership
