#pragma once

#include "upstreams/record.h"

#include <optional>
#include <vector>

namespace banyancroft::upstreams {

/**
 * What one VM knows of a replica from its own requests: how long answers take compared with other
 * replicas, how often requests are refused or fail, which requests are unanswered and since when.
 *
 * Answers loads where a few replicas pause, turn slow, shed or fall silent while their registration and
 * health checks stay good. Observations lose weight with time, so a replica that was avoided is tried
 * again. Owned by the traffic thread; does no I/O.
 */
class UpstreamHealth {
public:
    /** A request was written to the replica. */
    void sent(TimePoint now);
    /**
     * A request ended with an answer of the replica.
     * @param sentAt time given to sent()
     * @param typicalLatency usual time of such a request over all replicas of the service
     */
    void answered(TimePoint sentAt, TimePoint now, Duration typicalLatency);
    /** The replica refused a request that it did not run. */
    void refused(TimePoint sentAt, TimePoint now);
    /** A request failed: an error answer, a broken connection or malformed bytes. */
    void failed(TimePoint sentAt, TimePoint now);
    /** Nobody waits for the answer any more; says nothing about the replica. */
    void abandoned(TimePoint sentAt);
    /** No answer came until the caller's deadline. */
    void timedOut(TimePoint sentAt, TimePoint now);
    void loadReported(const ReportedLoad& load, TimePoint now);

    /** @param refused true when the VM of the replica answered that nothing listens there */
    void connectFailed(bool refused, TimePoint now);
    void connected(TimePoint now);

    /** Requests of this VM that the replica has not answered. */
    unsigned outstanding() const { return static_cast<unsigned>(sendTimes_.size()); }
    /** True while connections fail, or while requests have had no answer for a long time. */
    bool isSuspect(TimePoint now) const;
    /** True while it is unclear whether the replica is alive, so that a connection should be tried. */
    bool needsProbe(TimePoint now) const;
    /** The next time at which a suspect replica may be tried by opening a connection. */
    TimePoint nextProbe() const { return nextProbe_; }
    /** Counts a trial, so that the next one waits longer. */
    void probeStarted(TimePoint now);

    /**
     * Expected time from sending a request to a usable answer, with the cost of trying again after
     * refusals and failures.
     * @param slots requests that the replica processes at a time
     */
    Duration expectedDelay(unsigned slots, Duration typicalLatency, TimePoint now) const;
    /** Recent time of answers relative to other replicas; 1 is usual. */
    double relativeLatency(TimePoint now) const;
    /** Share of recent requests that were refused, 0 to 1. */
    double refusalShare(TimePoint now) const { return refusals_.value(now); }
    double failureShare(TimePoint now) const { return failures_.value(now); }

private:
    /** Exponentially weighted mean that returns to zero while nothing is observed. */
    class DecayingMean {
    public:
        void observe(double value, TimePoint now);
        double value(TimePoint now) const;

    private:
        double value_ = 0;
        TimePoint at_ {};
    };

    void removeSendTime(TimePoint sentAt);
    /** Time since the oldest request without an answer was sent; zero with none. */
    Duration oldestAge(TimePoint now) const;
    double othersLoad(TimePoint now) const;

    std::vector<TimePoint> sendTimes_;
    /** Mean of (time / typicalLatency - 1). */
    DecayingMean excess_;
    DecayingMean refusals_;
    DecayingMean failures_;
    /** Requests of other VMs at the replica when it last told its load. */
    double othersLoad_ = 0;
    TimePoint loadAt_ {};
    /** Failed connections and unanswered requests in a row. */
    unsigned silentStreak_ = 0;
    TimePoint lastSign_ {};
    TimePoint nextProbe_ {};
};

} // namespace banyancroft::upstreams
