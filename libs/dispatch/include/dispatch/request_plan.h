#pragma once

#include "base/time.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace banyancroft::dispatch {

/** Limits and deadlines of one request. */
struct PlanRules {
    /** True: the request may run more than once. */
    bool idempotent = false;
    /** Maximum number of replicas of one shard that receive the request, and of its possible executions
     * there. */
    unsigned maxUpstreams = 1;
    /** Number of shards; 1 for a request to a single replica. */
    std::size_t shards = 1;
    /** Minimum number of parts, which are the results of single shards, in a successful answer. */
    std::size_t requiredParts = 1;
    /** From this time on, an answer with at least `requiredParts` parts is sent at once: it is worth more
     * than a later complete one. */
    TimePoint partialAnswerAt {};
    /** The caller does not wait for an answer after this time. */
    TimePoint deadline {};
};

enum class StepKind {
    /** Send the request to a replica of `shard`; with `sameUpstream`, only to one that received it before. */
    Send,
    /** Answer with the parts received so far. */
    Answer,
    /** Give up: no replica has run the request or will run it. */
    Refuse,
    /** Give up: a replica may have run the request. */
    Fail,
    /** Nothing to do before `until` or the next event. */
    Wait,
};

/** The next action of the owner of a RequestPlan. */
struct Step {
    StepKind kind = StepKind::Wait;
    std::size_t shard = 0;
    /** The request was sent to this shard before, so the send needs retry budget. */
    bool repeat = false;
    /** The answer already has the required parts and the repeat only adds to them, so it has to leave retry
     * budget for other requests. */
    bool optional = false;
    /** The maximum number of replicas has received the request; only these may receive it again. */
    bool sameUpstream = false;
    /** For Wait: the latest time of the next call of next(). */
    TimePoint until {};
};

/**
 * State machine of one request: decides when to send, hedge and retry sub-requests, when to answer and when
 * to give up.
 *
 * Handles scatter-gather requests over shards of which some are slow, refuse, fail or do not respond: hedged
 * requests go to other replicas while the latency objective can still be met, a partial answer is sent when
 * waiting for the missing parts costs more than they are worth, and a request that can no longer get the
 * required parts ends at once. A request to a single replica is the case of one shard.
 *
 * The owner reports each event and then calls next() until it returns Wait, Answer, Refuse or Fail. Does no
 * I/O and does not choose replicas; not thread-safe.
 */
class RequestPlan {
public:
    /** @param hedgeDelay returns the time after which an unanswered sub-request of the shard is hedged */
    RequestPlan(const PlanRules& rules, std::function<Duration(std::size_t shard)> hedgeDelay);

    Step next(TimePoint now);

    /** A connection for the send is being opened; the replica has not received anything yet. */
    void connecting(std::size_t shard, TimePoint now);
    /** The connection could not be used, so nothing was sent. */
    void connectFailed(std::size_t shard);
    /** The request was written. @param wasConnecting true when connecting() was reported for this send */
    void sent(std::size_t shard, bool wasConnecting, TimePoint now);
    /** The send reported last went to a replica that had received the request before. */
    void sentToSameUpstream(std::size_t shard) { --shards_[shard].distinctUpstreams; }
    void answered(std::size_t shard);
    /** The replica refused the request: it did not run it and will not run it. */
    void refused(std::size_t shard);
    /** The address now belongs to another upstream, so no replica of the shard received the request. */
    void misdirected(std::size_t shard);
    /** The send has ended without a usable answer; the request may have run. */
    void failed(std::size_t shard);
    /** No replica can take the request before `retryAt`, unless an open send ends without an answer. */
    void blocked(std::size_t shard, TimePoint retryAt);
    /** The shard has no replica that may receive the request. */
    void unavailable(std::size_t shard);

    std::size_t partsReceived() const { return partsReceived_; }
    bool isDone(std::size_t shard) const { return shards_[shard].done; }
    /** True when any replica may have started to run the request. */
    bool mayHaveRun() const;
    /** True once the request was written to a replica. */
    bool wasSent() const;
    const PlanRules& rules() const { return rules_; }

private:
    struct Shard {
        /** Replicas that received the request or to which a connection is being opened for it. */
        unsigned distinctUpstreams = 0;
        unsigned connecting = 0;
        /** Sends that were written and have not ended. */
        unsigned outstanding = 0;
        /** Sends that were not refused: upper bound on the executions of the request. */
        unsigned possibleRuns = 0;
        unsigned sendCount = 0;
        bool done = false;
        bool failed = false;
        bool unavailable = false;
        /** Earliest time of a hedged request. */
        TimePoint hedgeAt {};
        TimePoint blockedUntil {};
    };

    /** Maximum number of replicas of a shard and of possible executions there, at least 1. */
    unsigned maxRuns() const;
    /** Ends an open send and lifts the block of the shard that waited for it. */
    Shard& endSendWithoutAnswer(std::size_t shard);
    bool isExhausted(const Shard& shard) const;
    bool isIdle(const Shard& shard) const { return shard.outstanding == 0 && shard.connecting == 0; }
    /** Fail when a replica may have run the request, otherwise Refuse. */
    Step terminalFailure() const;
    /** A Send step if one is due for the shard, otherwise a Wait step until one can be due. */
    Step shardStep(std::size_t index, TimePoint now) const;

    PlanRules rules_;
    std::function<Duration(std::size_t)> hedgeDelay_;
    std::vector<Shard> shards_;
    std::size_t partsReceived_ = 0;
};

} // namespace banyancroft::dispatch
