#pragma once

#include "base/time.h"

#include <deque>

namespace banyancroft::dispatch {

/** Limit on repeated sends (retries and hedged requests), for all VMs together. */
struct RetryLimit {
    /** Repeats per request within a window. */
    double ratio = 0.2;
    Duration window = std::chrono::seconds(10);
    /** Additional repeats per window, shared by all VMs. */
    double slack = 0;
};

/**
 * This VM's share of the retry budget of one service: in any window, the number of repeats stays below
 * ratio x requests + slack / VMs, less a margin.
 *
 * Prevents retry storms when many replicas are slow, refuse or stop responding at the same time. The ratio
 * applies to this VM's own requests, so a VM does not need to know the traffic of the others; only the slack
 * is divided among the VMs. A process that has just started does not know what the previous one sent, so one
 * process uses less than half of the slack.
 *
 * Owned by the traffic thread; counts in intervals of a tenth of the window.
 */
class RetryBudget {
public:
    RetryBudget(const RetryLimit& limit, TimePoint startedAt);

    /** Replaces the limit; the counts are kept. */
    void setLimit(const RetryLimit& limit, TimePoint now);
    /** Counts a request for the service, whether or not it is sent. */
    void deposit(TimePoint now);
    /**
     * Withdraws one repeat if the budget permits it.
     * @param vms number of live VMs that share the slack; zero if this VM has no part of it
     * @param reserve fraction of the budget, 0 to 1, that is kept for more urgent repeats
     * @return false when the repeat must not be sent
     */
    bool tryWithdraw(TimePoint now, unsigned vms, double reserve);
    /**
     * Lower bound of the time at which a repeat can be permitted; TimePoint::max() if never. Assumes that
     * requests arrive much faster than in the window, so that a surge does not make it wrong.
     * @param vms least number of VMs that may share the slack by then, at least 1
     */
    TimePoint earliestRepeat(TimePoint now, unsigned vms) const;
    /** Remaining repeats; negative when the budget is overdrawn. */
    double available(TimePoint now, unsigned vms) const;

private:
    struct Interval {
        long number = 0;
        unsigned requests = 0;
        unsigned repeats = 0;
    };

    Interval& currentInterval(TimePoint now);
    double allowed(TimePoint now, unsigned vms) const;
    unsigned spent(TimePoint now) const;
    /** Upper bound of the requests per second that may arrive from now on. */
    double surgeRate() const;
    Duration intervalLength() const;
    long intervalNumber(TimePoint now) const;

    RetryLimit limit_;
    TimePoint startedAt_;
    std::deque<Interval> intervals_;
};

} // namespace banyancroft::dispatch
