#pragma once

#include "base/time.h"

#include <cstddef>
#include <deque>

namespace banyancroft::gateway {

/**
 * Notices that this VM is cut off from the other availability zones while callers still reach it.
 *
 * Answers the load of a zone that is partitioned: its replicas alone do not cover most requests, so
 * callers are served better by VMs of another zone. The VM counts as cut off once it fails most requests
 * while no replica of another zone has given a sign, and until one does. A shard that is down everywhere
 * does not count, since replicas of other shards in other zones go on answering.
 */
class ReachTracker {
public:
    /** A replica of another zone answered a request or took a connection. */
    void otherZoneAnswered(TimePoint now);
    void recordSuccess(TimePoint now) { record(true, now); }
    /** A request was refused or failed. */
    void recordFailure(TimePoint now) { record(false, now); }

    /** True while the VM is cut off. */
    bool isCutOff(TimePoint now);
    /** Time at which the VM was found to be cut off; meaningful while it is. */
    TimePoint cutOffSince() const { return cutOffSince_; }

private:
    struct Outcome {
        TimePoint at {};
        bool served = false;
    };

    void record(bool served, TimePoint now);

    std::deque<Outcome> outcomes_;
    TimePoint lastOtherZoneContact_ {};
    TimePoint cutOffSince_ {};
    bool cutOff_ = false;
};

/**
 * When a caller that a cut-off VM refuses should come back: once the balancer has had time to notice that
 * the VM is not ready and sends new connections elsewhere.
 * @param minDelay shortest time that is told
 */
Duration retryDelayAfterCutOff(Duration sinceCutOff, Duration minDelay);

} // namespace banyancroft::gateway
