#pragma once

#include "rollout/types.h"

namespace banyancroft::rollout {

/** Share of the target version at one time. */
struct ScheduledShare {
    double share = 0;
    Phase phase = Phase::Canary;
};

/**
 * Share of the target version by the time since the order.
 *
 * All requests from the order to its deadline count towards the exposure of a bad version, and a version may
 * turn bad late. The share therefore stays small for most of the time, except for short pulses that show what
 * fails only under load, and reaches the full share as late as the propagation of the full share permits.
 */
class Schedule {
public:
    /**
     * @param duration time from the order to its deadline
     * @param propagation time for which the full share must be in force before the completion
     * @param maxExposure fraction of the requests that a bad version may receive, 0 to 1
     */
    Schedule(Duration duration, Duration propagation, double maxExposure);

    /**
     * @param evenShare share at which a replica of the target version gets as much as another one, 0 to 1
     */
    ScheduledShare at(Duration elapsed, double evenShare) const;
    /** Length of a pulse; zero if the duration is too short for one. */
    Duration pulseLength(double evenShare) const;
    double canaryShare() const { return canaryShare_; }
    /** Start of the final steps. */
    Duration rampAt() const { return rampAt_; }
    Duration fullAt() const { return fullAt_; }
    /** Earliest time of the completion. After the deadline if the duration is shorter than the propagation.
     */
    Duration completeAt() const { return completeAt_; }
    Duration duration() const { return duration_; }

private:
    unsigned pulseCount(double evenShare) const;
    /** Time of all pulses together. */
    Duration pulseTime(double evenShare) const;

    Duration duration_;
    double canaryShare_;
    double pulseExposure_;
    Duration rampAt_;
    Duration fullAt_;
    Duration completeAt_;
};

} // namespace banyancroft::rollout
