#pragma once

#include "base/time.h"

#include <algorithm>
#include <limits>

namespace banyancroft::upstreams {

/** What one answer says about the capacity of its replica. */
struct CapacitySample {
    /** Latency as a multiple of the typical latency of such requests. */
    double latencyRatio = 1;
    /** Requests in progress at the replica, own and reported, with the one that was answered. */
    double inProgress = 1;
    /** Slowness that the answer reported; 1 if it reported none. */
    double slowness = 1;
    /** Requests that the replica processes concurrently. */
    unsigned slots = 1;
};

/**
 * Estimates the useful concurrency of a replica: the number of requests up to which its latency does not rise
 * with its load. Some replicas slow down long before all their slots are taken.
 *
 * Compares the logarithm of the latency, less that of the reported slowness, between answers at up to half of
 * the slots and answers above, each relative to the recent level of the replica, so that a time at which it
 * is slow at any load does not count as an effect of the load. A difference counts only beyond what chance
 * explains, so a replica whose latency does not rise with its load keeps its number of slots. Once a replica
 * is known to slow down, less evidence suffices, because fewer requests meet the high load that shows it. The
 * estimate lies between 1 and the number of slots and returns to it within a few seconds when the evidence
 * ends, so it cannot stay low. Does no I/O.
 */
class CapacityEstimate {
public:
    /** Takes an answer into account. Answers to requests that waited in a queue of the replica must be left
     * out. */
    void observe(const CapacitySample& sample, TimePoint now);

    /** Requests in progress that the replica handles at its usual speed: `slots`, or less if it slows down
     * earlier; at least 1. */
    double usefulConcurrency(unsigned slots, TimePoint now) const;
    /** Factor by which latency rises with `inProgress` requests; exactly 1 up to the useful concurrency, and
     * for a replica whose useful concurrency is its number of slots. */
    double loadFactor(double inProgress, unsigned slots, TimePoint now) const;
    /**
     * Exponent, 0 to 1, with which reported slowness predicts latency: 1 if latency rises in proportion to
     * it, 0 if the reports are unrelated to latency. 1 without evidence.
     */
    double slownessTrust() const;

private:
    /** Exponentially weighted statistics of answers at similar load. */
    struct LoadClass {
        void forget(double factor);
        void observe(double deviation, double inProgress);
        /** Number of equally weighted answers whose mean is as certain. */
        double effectiveCount() const { return squaredWeights > 0 ? weights * weights / squaredWeights : 0; }
        /** Variance of the mean. */
        double meanVariance() const
        {
            return squaredDeviations / weights / std::min(weights, effectiveCount());
        }

        double weights = 0;
        double squaredWeights = 0;
        double squaredDeviations = 0;
        /** Mean difference of the logarithm of latency to the recent level of the replica. */
        double mean = 0;
        double inProgress = 0;
    };

    void compare(double logLatency, double inProgress, unsigned slots, TimePoint now);
    /** Useful concurrency according to the recent answers alone. */
    double measuredConcurrency(unsigned slots) const;
    void observeSlowness(double logLatency, double logSlowness);

    /** Useful concurrency at the time of the last comparison; infinite if all slots are useful. */
    double limit_ = std::numeric_limits<double>::infinity();
    TimePoint observedAt_ {};
    bool reportsSlowness_ = false;
    LoadClass heavy_;
    LoadClass light_;
    /** Recent mean of the logarithm of latency, at any load. */
    double level_ = 0;
    double meanLogLatency_ = 0;
    double meanLogSlowness_ = 0;
    double slownessVariance_ = 0;
    double slownessCovariance_ = 0;
};

} // namespace banyancroft::upstreams
