#pragma once

#include "base/time.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace banyancroft::dispatch {

/** What a request is and until when it is worth something. */
struct PlanRules {
    /** True: the request may run more than once. */
    bool idempotent = false;
    /** Most replicas of one shard that get the request, and how often it may run there. */
    unsigned maxUpstreams = 1;
    /** Services that are asked; 1 for a request to a single replica. */
    std::size_t shards = 1;
    /** Parts that a success has to hold. */
    std::size_t requiredParts = 1;
    /** From then on an answer with `requiredParts` parts is worth more than a later one with all. */
    TimePoint partialAnswerAt {};
    /** Nobody waits for an answer after this time. */
    TimePoint deadline {};
};

enum class StepKind {
    /** Send the request to a replica of `shard`; with `sameUpstream` only to one that had it before. */
    Send,
    /** Answer with the parts that are there. */
    Answer,
    /** Give up; no replica ran the request or will run it. */
    Refuse,
    /** Give up; a replica may have run the request. */
    Fail,
    /** Ask again at `until`, or after the next event. */
    Wait,
};

struct Step {
    StepKind kind = StepKind::Wait;
    std::size_t shard = 0;
    /** The shard has been sent to before: the send draws on the retry budget. */
    bool repeat = false;
    /** The repeat only improves an answer that is already good enough, so it leaves budget for others. */
    bool optional = false;
    /** As many replicas as allowed have had the request. */
    bool sameUpstream = false;
    TimePoint until {};
};

/**
 * Decides for one request what is sent when, when the answer is good enough and when it is hopeless.
 *
 * Answers the load of scatter-gather requests over shards of which some are slow, refuse, fail or are
 * silent: copies go to other replicas while the objective can still be met, an answer goes out with the
 * parts that are there when waiting costs more than it brings, and a request that can no longer get enough
 * parts ends at once. A request to a single replica is the case of one shard.
 *
 * The owner reports each event and then calls next() until it says Wait, Answer, Refuse or Fail. Does no
 * I/O and knows no replica; not thread-safe.
 */
class RequestPlan {
public:
    /** @param hedgeDelay time that a sub-request of the shard stays alone */
    RequestPlan(const PlanRules& rules, std::function<Duration(std::size_t shard)> hedgeDelay);

    Step next(TimePoint now);

    /** A connection for the send is being opened; nothing has reached the replica. */
    void connecting(std::size_t shard, TimePoint now);
    /** The connection could not be used: the send did not happen. */
    void connectFailed(std::size_t shard);
    /** The request was written, at once or after connecting(). */
    void sent(std::size_t shard, bool wasConnecting, TimePoint now);
    /** The send that was just reported went to a replica that had the request before. */
    void sentToSameUpstream(std::size_t shard) { --shards_[shard].sends; }
    void answered(std::size_t shard);
    /** The replica did not run the request and never will. */
    void refused(std::size_t shard);
    /** The address belongs to another upstream by now: no replica of the shard got the request. */
    void misdirected(std::size_t shard);
    /** The send has ended without a usable answer; the request may have run. */
    void failed(std::size_t shard);
    /** No replica can take the request before `retryAt`, unless an open send ends without an answer. */
    void blocked(std::size_t shard, TimePoint retryAt);
    /** No replica of the shard is alive or allowed. */
    void unavailable(std::size_t shard);

    std::size_t partsReceived() const { return partsReceived_; }
    bool isDone(std::size_t shard) const { return shards_[shard].done; }
    /** True when any replica may have begun to work on the request. */
    bool mayHaveRun() const;
    /** True once the request was written to a replica. */
    bool wasSent() const;
    const PlanRules& rules() const { return rules_; }

private:
    struct Shard {
        /** Different replicas that got the request or for which a connection is being opened. */
        unsigned sends = 0;
        unsigned connecting = 0;
        /** Written and not yet ended. */
        unsigned outstanding = 0;
        /** Sends that were not refused: the request may have run that often. */
        unsigned runs = 0;
        unsigned offered = 0;
        bool done = false;
        bool failed = false;
        bool unavailable = false;
        /** From then on a second copy is worth its budget. */
        TimePoint hedgeAt {};
        TimePoint blockedUntil {};
    };

    /** Replicas of a shard that may get the request, and how often it may run there. */
    unsigned maxRuns() const;
    /** Takes a send that ended without an answer from the open ones, and lifts a block that waited for it. */
    Shard& endSend(std::size_t shard);
    bool isExhausted(const Shard& shard) const;
    bool isIdle(const Shard& shard) const { return shard.outstanding == 0 && shard.connecting == 0; }
    Step giveUp() const;
    /** The send that is due for the shard, or the time at which one may be. */
    Step shardStep(std::size_t index, TimePoint now) const;

    PlanRules rules_;
    std::function<Duration(std::size_t)> hedgeDelay_;
    std::vector<Shard> shards_;
    std::size_t partsReceived_ = 0;
};

} // namespace banyancroft::dispatch
