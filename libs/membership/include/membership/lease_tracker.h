#pragma once

#include "base/time.h"

namespace banyancroft::membership {

/** Part of a duration that is subtracted by a holder and added by a granter, since clocks drift. */
constexpr int clockMarginPercent = 10;

/** The duration reduced by the clock margin, for a holder of a lease or promise. */
constexpr Duration lessClockMargin(Duration duration) { return duration * (100 - clockMarginPercent) / 100; }
/** The duration extended by the clock margin, for a wait until a lease or promise has ended elsewhere. */
constexpr Duration plusClockMargin(Duration duration) { return duration * (100 + clockMarginPercent) / 100; }

/**
 * Tracks until when this daemon's store lease is certainly valid, by its own clock.
 *
 * The time counts from the start of the last successful grant or renewal, since the reply may be delayed.
 * Owned by Membership.
 */
class LeaseTracker {
public:
    explicit LeaseTracker(Duration length)
        : length_(length)
    {
    }

    /** The grant or renewal that was sent at `started` succeeded. */
    void succeeded(TimePoint started);
    /** The store reported that the lease has lapsed. */
    void lost() { *this = LeaseTracker(length_); }

    /** True from the grant until the store reports a lapse, so the lease may already have lapsed. */
    bool granted() const { return granted_; }
    TimePoint validUntil() const { return validUntil_; }
    bool valid(TimePoint now) const { return granted_ && now < validUntil_; }

private:
    Duration length_;
    TimePoint validUntil_ {};
    bool granted_ = false;
};

} // namespace banyancroft::membership
