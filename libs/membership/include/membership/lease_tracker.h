#pragma once

#include "base/time.h"

namespace banyancroft::membership {

/** Part of a lease or promise on which its holder does not rely, for clocks that run at different rates. */
constexpr int clockMarginPercent = 10;

/** The duration less the clock margin. */
constexpr Duration lessClockMargin(Duration duration) { return duration * (100 - clockMarginPercent) / 100; }
/** The duration plus the clock margin. */
constexpr Duration plusClockMargin(Duration duration) { return duration * (100 + clockMarginPercent) / 100; }

/**
 * Until when a store lease certainly holds by the own clock.
 *
 * Counted from the start of the last successful grant or renewal, since the reply may take any time.
 * Owned by Membership.
 */
class LeaseTracker {
public:
    explicit LeaseTracker(Duration length)
        : length_(length)
    {
    }

    /** Grant or renewal that was sent at `started` has succeeded. */
    void succeeded(TimePoint started);
    /** The store answered that the lease has lapsed. */
    void lost() { *this = LeaseTracker(length_); }

    /** True from the grant until the store says that the lease has lapsed; it may be out of date. */
    bool granted() const { return granted_; }
    TimePoint validUntil() const { return validUntil_; }
    bool valid(TimePoint now) const { return granted_ && now < validUntil_; }

private:
    Duration length_;
    TimePoint validUntil_ {};
    bool granted_ = false;
};

} // namespace banyancroft::membership
