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
 * other shards in other zones still respond. When the replicas of its own zone cannot serve all routes,
 * silence alone suffices: requests would only wait for their deadlines.
 */
class ReachTracker {
public:
    /** Call when a replica of another zone responds to a request or accepts a connection. */
    void recordOtherZoneContact(TimePoint now);
    /** Call when a request is sent to a replica of another zone. */
    void recordOtherZoneSend(TimePoint now);
    /** Discards the observations; call when this process was stalled, since responses may wait to be read. */
    void restart(TimePoint now);
    void recordSuccess(TimePoint now) { record(true, now); }
    /** Call when a request was refused or failed. */
    void recordFailure(TimePoint now) { record(false, now); }

    bool isCutOff(TimePoint now);
    /** True if requests to replicas of other zones are unanswered and no other zone has responded for a
     * while. */
    bool areOtherZonesSilent(TimePoint now) const;
    /** Counts the VM as cut off because the other zones are silent and its own zone cannot serve all routes.
     */
    void setCutOff(TimePoint now);
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
    /** Sends to other zones since the last contact, and the time of the first one. */
    std::size_t silentSends_ = 0;
    TimePoint firstSilentSend_ {};
    TimePoint cutOffSince_ {};
    bool cutOff_ = false;
    /** A request was sent to another zone, or a replica there has responded, since the start. */
    bool usesOtherZones_ = false;
};

/**
 * Retry delay for a caller that a cut-off VM refuses: the time until the load balancer has detected that
 * the VM is not ready and sends new connections to other VMs.
 * @param sinceCutOff time since the VM was detected as cut off
 * @param minDelay lower bound of the result
 */
Duration retryDelayAfterCutOff(Duration sinceCutOff, Duration minDelay);

} // namespace banyancroft::gateway
