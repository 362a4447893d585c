#pragma once

#include "base/time.h"

#include <deque>

namespace banyancroft::dispatch {

/** The limit on repeated sends that holds for all VMs together. */
struct RetryLimit {
    /** Repeats per request in a window. */
    double ratio = 0.2;
    Duration window = std::chrono::seconds(10);
    /** Repeats that all VMs may send in a window besides. */
    double slack = 0;
};

/**
 * This VM's share of the retry budget of one service: in any window, repeats stay below
 * ratio x requests + slack / VMs, less a margin.
 *
 * Answers loads where many replicas are slow, refuse or fall silent at once and every request would like
 * to be sent again. The ratio is earned by this VM's own requests, so no VM has to know the traffic of the
 * others; only the slack is divided. A VM that has just started cannot know what it sent before, so less
 * than half of the slack is used by one process.
 *
 * Owned by the traffic thread; counts in steps of a tenth of the window.
 */
class RetryBudget {
public:
    RetryBudget(const RetryLimit& limit, TimePoint startedAt);

    /** Replaces the limit; what was counted stays. */
    void setLimit(const RetryLimit& limit) { limit_ = limit; }
    /** Counts a request for the service, sent or not. */
    void deposit(TimePoint now);
    /**
     * Takes one repeat.
     * @param vms live VMs that share the slack
     * @param reserve share of the budget, 0 to 1, that has to stay for more urgent repeats
     */
    bool tryWithdraw(TimePoint now, unsigned vms, double reserve);
    /** Repeats that are left now. */
    double available(TimePoint now, unsigned vms) const;

private:
    struct Step {
        long number = 0;
        unsigned requests = 0;
        unsigned repeats = 0;
    };

    Step& step(TimePoint now);
    double allowed(TimePoint now, unsigned vms) const;
    unsigned spent(TimePoint now) const;
    long stepNumber(TimePoint now) const;

    RetryLimit limit_;
    TimePoint startedAt_;
    std::deque<Step> steps_;
};

} // namespace banyancroft::dispatch
