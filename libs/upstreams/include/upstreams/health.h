#pragma once

#include "upstreams/capacity_estimate.h"
#include "upstreams/record.h"

#include <optional>
#include <vector>

namespace banyancroft::upstreams {

/**
 * Passive health statistics of one replica, gathered from the requests of this VM: latency relative to the
 * other replicas, rates of refusals and failures, and the requests that are still unanswered.
 *
 * Detects replicas that pause, become slow, shed load or stop responding while their registration and health
 * checks stay good. Observations decay with time, so an avoided replica receives requests again. Owned by
 * the traffic thread; does no I/O.
 */
class UpstreamHealth {
public:
    /** @param estimatesCapacity false judges the replica by latency and reported load alone */
    explicit UpstreamHealth(bool estimatesCapacity = true)
        : estimatesCapacity_(estimatesCapacity)
    {
    }

    /** A request was written to the replica. */
    void sent(TimePoint now);
    /**
     * The replica answered a request.
     * @param sentAt time given to sent()
     * @param typicalLatency median latency of such requests over all replicas of the service
     * @param slots requests that the replica processes concurrently; with 1, its capacity is not estimated
     */
    void answered(TimePoint sentAt, TimePoint now, Duration typicalLatency, unsigned slots = 1);
    /** The replica refused a request that it did not run. */
    void refused(TimePoint sentAt, TimePoint now);
    /** A request failed: an error answer, a broken connection or malformed bytes. */
    void failed(TimePoint sentAt, TimePoint now);
    /** This VM no longer needs the result of the request; not counted against the replica. */
    void abandoned(TimePoint sentAt);
    /** The replica did not answer before the caller's deadline. */
    void timedOut(TimePoint sentAt, TimePoint now);
    /** An answer carried the current load of the replica. */
    void loadReported(const ReportedLoad& load, TimePoint now);

    /** @param refused true when the connection was refused because no process listens on the port */
    void connectFailed(bool refused, TimePoint now);
    void connected(TimePoint now);

    /** Latest load report; empty before the first one. */
    const std::optional<ReportedLoad>& lastReport() const { return lastReport_; }
    /** Time since lastReport() was received. */
    Duration reportAge(TimePoint now) const { return now - loadReportedAt_; }
    /**
     * Reported slowness of the replica's machine relative to that during the requests that relativeLatency()
     * is derived from; exactly 1 if the replica does not report it. Approaches 1 as the report gets older.
     */
    double slownessFactor(TimePoint now) const;
    /** Requests in progress that the replica handles well, 1 to `slots`. */
    double usefulConcurrency(unsigned slots, TimePoint now) const
    {
        return estimatesCapacity_ ? capacity_.usefulConcurrency(slots, now) : slots;
    }

    /** Requests of this VM that the replica has not answered. */
    unsigned outstanding() const { return static_cast<unsigned>(outstanding_.size()); }
    /** True after repeated failed connections or timed-out requests without a response in between. */
    bool isSuspect(TimePoint now) const;
    /** True while it is uncertain whether the replica is alive and a probe connection should be opened. */
    bool needsProbe(TimePoint now) const;
    /** The earliest time of the next probe connection. */
    TimePoint nextProbe() const { return nextProbe_; }
    /** Schedules the next probe, with exponential backoff. */
    void probeStarted(TimePoint now);

    /**
     * Expected time from sending a request to a usable answer, including the expected cost of retries after
     * refusals and failures.
     * @param slots requests that the replica processes concurrently
     */
    Duration expectedDelay(unsigned slots, Duration typicalLatency, TimePoint now) const;
    /**
     * Lower bound of the time that a request waits in the replica's queue, from a current load report and the
     * shortest answer time of this run of the replica; empty without both. Also empty unless an answer was
     * as late as the reported queue implied, or once an answer was earlier: then the reports are false.
     * @param networkDelay part of the answer time that is not work of the replica
     */
    std::optional<Duration> leastQueueDelay(unsigned slots, Duration networkDelay, TimePoint now) const;
    /** Time since the replica responded to a request; empty if it never has. */
    std::optional<Duration> timeSinceResponse(TimePoint now) const;
    /** Recent latency as a multiple of the typical latency; 1 is average. */
    double relativeLatency(TimePoint now) const;
    /** Fraction of recent requests that were refused, 0 to 1. */
    double refusalShare(TimePoint now) const { return refusals_.value(now); }
    double failureShare(TimePoint now) const { return failures_.value(now); }

private:
    /** Exponentially weighted moving average that decays to zero without observations. */
    class DecayingMean {
    public:
        void observe(double value, TimePoint now);
        double value(TimePoint now) const;

    private:
        double value_ = 0;
        TimePoint observedAt_ {};
    };

    /** A request that has been sent and not answered. */
    struct Outstanding {
        TimePoint sentAt;
        /** Requests of this VM in progress at the replica, with this one, when it was sent. */
        unsigned inProgress;
        /** End of the queue that the latest report implied when it was sent; before `sentAt` if there was
         * none. */
        TimePoint queueClearAt;
    };

    Outstanding removeOutstanding(TimePoint sentAt);
    /** Lower bound of the time that the reported queue takes, if each request takes `work`. */
    Duration reportedQueueTime(unsigned slots, Duration work) const;
    /** Compares an answer with the queue that was reported before it was sent. */
    void checkQueueReport(const Outstanding& request, TimePoint now);
    /** Time since the oldest unanswered request was sent or the last response arrived, whichever is later;
     * zero without unanswered requests. */
    Duration unansweredFor(TimePoint now) const;
    double otherVmsLoad(TimePoint now) const;

    bool estimatesCapacity_;
    std::vector<Outstanding> outstanding_;
    /** Mean of (latency / typicalLatency - 1). */
    DecayingMean latencyExcess_;
    DecayingMean refusals_;
    DecayingMean failures_;
    /** Mean of (reported slowness - 1) over the same answers as latencyExcess_. */
    DecayingMean slownessExcess_;
    std::optional<ReportedLoad> lastReport_;
    /** Requests of other VMs at the replica at its last load report. */
    double otherVmsLoad_ = 0;
    TimePoint loadReportedAt_ {};
    /** Consecutive failed connections and timed-out requests. A connection failure that is conclusive by
     * itself adds `suspectStreak`. */
    unsigned noResponseStreak_ = 0;
    TimePoint lastResponseAt_ {};
    /** Shortest time to an answer so far. */
    std::optional<Duration> leastLatency_;
    /** End of the queue of the latest report, according to leastQueueDelay() without a network delay. */
    TimePoint queueClearAt_ {};
    bool queueReportsConfirmed_ = false;
    bool queueReportsDisproved_ = false;
    TimePoint nextProbe_ {};
    CapacityEstimate capacity_;
};

} // namespace banyancroft::upstreams
