#pragma once

#include "base/time.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace banyancroft::dispatch {

/** Why a replica does not take a request now. */
enum class Exclusion { None, Resting, Suspect, Cold, Evacuated, Leaving, AlreadySent };

std::string_view toString(Exclusion exclusion);

/** What is known of one replica with regard to one request. */
struct ReplicaOutlook {
    Exclusion exclusion = Exclusion::None;
    /** The replica certainly does not take this request earlier; TimePoint::max() if no end is known. */
    TimePoint availableAt {};
    /** The same for a new request, which differs if the replica has already received this one. */
    TimePoint availableForNewAt {};
    /** Lower bound of the time that the request waits in the replica's queue; empty if there is no current
     * load report. */
    std::optional<Duration> leastDelay;
    /** Age of the observation that the exclusion or the delay comes from. */
    Duration knowledgeAge {};
};

/** What is known of the replicas that may serve one shard, or a request to a single replica. */
struct ShardOutlook {
    std::vector<ReplicaOutlook> replicas;
    /** The request was sent, or a connection is being opened for it, and the outcome is not known. */
    bool sendInProgress = false;
    /** For a repeat that the retry budget has denied: the earliest time at which it can permit one. */
    std::optional<TimePoint> repeatAt;
};

/** Formats what excludes the replicas and for how long, with their least delay, for the log. */
std::string describe(std::span<const ReplicaOutlook> replicas, TimePoint now);

/** Why a shard cannot deliver. */
enum class LossReason { None, NoReplica, Excluded, Queue, RetryBudget };

std::string_view toString(LossReason reason);

/** Whether a shard can still deliver, and what that was derived from. */
struct Verdict {
    /** None if the shard may still deliver. */
    LossReason loss = LossReason::None;
    /** Earliest time at which a replica may take and finish the request; TimePoint::max() if unknown. */
    TimePoint earliestAt = TimePoint::max();
    /** Time at which a new request is expected to find room; TimePoint::max() if unknown. */
    TimePoint roomAt = TimePoint::max();
    /** Age of the oldest observation that was used. */
    Duration oldestKnowledge {};
};

/** Judges a shard from what is known at `now`. Anything that is not known counts in favour of delivery. */
Verdict judge(const ShardOutlook& shard, TimePoint deadline, TimePoint now);

/**
 * Keeps the shards of one request that certainly cannot deliver before its deadline, so that the request
 * ends while its caller still has time to retry instead of waiting in vain.
 *
 * Addresses overload and outages that outlast the request: queues of all replicas that are longer than the
 * remaining time, replicas that are excluded beyond the deadline, and an exhausted retry budget. A short
 * outage is no such load: an exclusion that may end before the deadline loses nothing. Does no I/O.
 */
class SuccessOutlook {
public:
    /** Judges the shard and records it if it is lost. */
    Verdict update(std::size_t shard, const ShardOutlook& outlook, TimePoint deadline, TimePoint now);
    /** True once any shard was lost. */
    bool hasLostShards() const { return !lost_.empty(); }
    /**
     * Time at which a new request is expected to get `required` of `shards` parts; empty if that is now or
     * unknown. Shards that were not lost count as available.
     */
    std::optional<TimePoint> roomAt(std::size_t shards, std::size_t required, TimePoint now) const;

private:
    struct LostShard {
        std::size_t shard;
        TimePoint roomAt;
    };

    std::vector<LostShard> lost_;
};

} // namespace banyancroft::dispatch
