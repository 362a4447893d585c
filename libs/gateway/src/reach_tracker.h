#pragma once

#include "base/time.h"

#include <cstddef>
#include <deque>

namespace banyancroft::gateway {

/**
 * Detects that this VM is cut off from the other availability zones while callers still reach it.
 *
 * When a zone is partitioned, its replicas alone cannot serve most requests, so VMs of other zones serve
 * callers better. The VM counts as cut off from when it fails most requests while no replica of another
 * zone responds, until one does. A shard that is down in all zones does not trigger this, since replicas of
 * other shards in other zones still respond.
 */
class ReachTracker {
public:
    /** Call when a replica of another zone responds to a request or accepts a connection. */
    void recordOtherZoneContact(TimePoint now);
    void recordSuccess(TimePoint now) { record(true, now); }
    /** Call when a request was refused or failed. */
    void recordFailure(TimePoint now) { record(false, now); }

    bool isCutOff(TimePoint now);
    /** Time at which the VM was detected as cut off; valid only while isCutOff() is true. */
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
 * Retry delay for a caller that a cut-off VM refuses: the time until the load balancer has detected that
 * the VM is not ready and sends new connections to other VMs.
 * @param sinceCutOff time since the VM was detected as cut off
 * @param minDelay lower bound of the result
 */
Duration retryDelayAfterCutOff(Duration sinceCutOff, Duration minDelay);

} // namespace banyancroft::gateway
