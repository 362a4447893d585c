#pragma once

#include "base/ids.h"
#include "base/outcome.h"
#include "base/time.h"
#include "search/cluster_state.h"
#include "search/policy_state.h"
#include "search/topology.h"
#include "search/types.h"
#include "wire/messages.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace banyancroft::search {

/** Parameters of one search. */
struct SearchRequest {
    std::string collection;
    /** Filter expression in the query language; empty for all rows. */
    std::string where;
    /** Maximum number of rows; zero for no limit. */
    std::uint64_t limit = 0;
    /** Deadline of the caller; the maximum deadline of the policy applies as well. */
    TimePoint deadline {};
    /** When true, a partial answer is refused. */
    bool requireAll = false;
    /** Availability zone of this daemon. */
    AvailabilityZone ownZone;
    /** W3C traceparent of the span of this search. */
    std::string traceparent;
};

/**
 * A sub-request to send. `upstream` and `shards` remain valid until the next ClusterState::apply() or the
 * destruction of the coordinator, whichever comes first.
 */
struct SendItem {
    wire::SequenceNumber sequence;
    const UpstreamId* upstream = nullptr;
    std::span<const ShardId> shards;
    Snapshot snapshot;
    bool hedge = false;
};

/** A sub-request to cancel. */
struct CancelItem {
    wire::SequenceNumber sequence;
    const UpstreamId* upstream = nullptr;
};

/** Actions for the caller to perform. Methods append to it, so that it can collect those of several replies.
 */
struct Actions {
    std::vector<SendItem> sends;
    std::vector<CancelItem> cancels;
    /** When true, no further actions follow and answer() is to be called. */
    bool finished = false;

    void clear();
};

/** Tells whether the answer includes a shard. */
struct ShardCoverage {
    /** `shard` and `group` point into Answer::topology. */
    std::string_view shard;
    std::string_view group;
    /** None when the shard is included; otherwise the reason why it is missing. */
    Reason missingReason = Reason::None;
};

enum class SubrequestKind : std::uint8_t { First, Hedge, Retry };

/** Record of one sub-request for `explain`. */
struct ExplainItem {
    wire::SequenceNumber sequence;
    /** Points into the ClusterState; see ClusterState::upstreamId() for its lifetime. */
    std::string_view upstream;
    SubrequestKind kind = SubrequestKind::First;
    /** 0 before and 1 after the restart of the query. */
    std::uint8_t attempt = 0;
    /** Time from the start of the query to the send. */
    Duration sentAfter {};
    /** Time from the send to the reply or cancellation. */
    Duration elapsed {};
    /** Empty when no reply arrived before the sub-request was cancelled or the query ended. */
    std::optional<Outcome> outcome;
    /** None when the answer was accepted. */
    Reason reason = Reason::None;
    /** Snapshot requested. */
    Snapshot asked;
    /** Versions in the reply. */
    Snapshot answered;
};

/** Event counts of one search. */
struct SearchCounters {
    std::uint32_t hedges = 0;
    std::uint32_t hedgesWon = 0;
    std::uint32_t retries = 0;
    std::uint32_t restarts = 0;
    /** Answers at a version other than the requested one. */
    std::uint32_t otherVersion = 0;
    /** Repeated replies to the same sub-request. */
    std::uint32_t duplicateReplies = 0;
    /** Replies to cancelled sub-requests, after the deadline or after the end of the query. */
    std::uint32_t lateReplies = 0;
    /** Replies whose sequence number or upstream matches no sub-request of this query. */
    std::uint32_t unmatchedReplies = 0;
};

/** Result of one search. */
struct Answer {
    /** Reason why the search was refused without rows; None for an answer, complete or partial. */
    Reason refusal = Reason::None;
    /** True when every shard of the collection is included. */
    bool complete = false;
    Snapshot snapshot;
    /** Newline-delimited JSON, one string per group, truncated at the row limit. */
    std::vector<std::string> rows;
    std::uint64_t rowCount = 0;
    std::vector<ShardCoverage> coverage;
    std::uint32_t coveredShards = 0;
    std::vector<ExplainItem> explain;
    SearchCounters counters;
    /** Owns the strings that `coverage` points to. */
    std::shared_ptr<const Topology> topology;
};

/**
 * Coordinates one search: pins a snapshot, sends a sub-request to one upstream of each group, hedges and
 * retries, restarts at most once at a better snapshot, and finishes before the deadline.
 *
 *     SearchCoordinator search(request, cluster, policy, sequences, random);
 *     search.start(now, actions);
 *     // send, then for each reply and whenever nextTimer() is reached:
 *     search.onReply(std::move(reply), now, actions);
 *     search.onTimer(now, actions);
 *     if (actions.finished)
 *         respond(search.answer());
 *
 * One instance per query, owned and used by one traffic thread. The objects passed to the constructor must
 * outlive it. Missing shards are not an error; the answer lists them with the reason.
 */
class SearchCoordinator {
public:
    SearchCoordinator(SearchRequest request, ClusterState& cluster, PolicyState& policy,
        SequenceGenerator& sequences, Random& random);

    void start(TimePoint now, Actions& actions);
    void onReply(wire::SubreplyItem&& reply, TimePoint now, Actions& actions);
    void onTimer(TimePoint now, Actions& actions);
    /** Time at which to call onTimer() next; TimePoint::max() once the query has finished. */
    TimePoint nextTimer() const;

    const SearchRequest& request() const { return request_; }
    /** Time by which the query finishes: the caller's deadline less a reserve. Deadline of the sub-requests.
     */
    TimePoint answerDeadline() const { return answerDeadline_; }
    const Snapshot& snapshot() const { return plan_.snapshot; }
    bool finished() const { return finished_; }
    const SearchCounters& counters() const { return counters_; }

    /** Returns the result of a finished query. Moves the rows out, so it may be called only once. */
    Answer answer();

private:
    enum class GroupPhase : std::uint8_t { InFlight, Waiting, Answered, Missing };
    enum class SubrequestPhase : std::uint8_t { Sent, Replied, Cancelled };

    struct Subrequest {
        std::uint64_t sequence = 0;
        UpstreamSlot upstream = noSlot;
        std::uint32_t group = 0;
        SubrequestPhase phase = SubrequestPhase::Sent;
        SubrequestKind kind = SubrequestKind::First;
        std::uint8_t attempt = 0;
        /** A reply has arrived, in time or late. */
        bool replied = false;
        Outcome outcome = Outcome::Unknown;
        Reason reason = Reason::None;
        TimePoint sentAt {};
        TimePoint endedAt {};
        Snapshot asked;
        Snapshot answered;
    };
    struct Group {
        /** Indices into subrequests_; noSlot when none is in flight. */
        std::uint32_t primary = noSlot;
        std::uint32_t hedge = noSlot;
        /** Bits triedBit(slot) of the upstreams to which a sub-request was sent. */
        std::uint64_t tried = 0;
        /** Time of the next hedge or retry. */
        TimePoint due = TimePoint::max();
        GroupPhase phase = GroupPhase::Waiting;
        std::uint8_t failures = 0;
        Reason reason = Reason::None;
    };
    enum class RetryPace : std::uint8_t {
        /** Refusals unrelated to load are retried immediately, others after a backoff. */
        ByReason,
        /** Retry after a backoff. */
        Backoff
    };
    /** State and results of one attempt; each attempt uses one snapshot. */
    struct Attempt {
        SnapshotChoice plan;
        std::vector<Group> groups;
        std::vector<std::string> rows;

        std::uint32_t coveredShards() const { return coveredShards(plan, groups); }
        static std::uint32_t coveredShards(const SnapshotChoice& plan, std::span<const Group> groups);
    };

    const TopologyGroup& topologyGroup(std::uint32_t group) const;
    /** Uses the topology of a new configuration if the groups of the collection are unchanged. */
    void adoptCurrentTopology();
    void startAttempt(TimePoint now, Actions& actions);
    /** Returns None when the sub-request was sent, otherwise the reason why not. */
    Reason send(std::uint32_t group, SubrequestKind kind, TimePoint now, Actions& actions);
    TimePoint hedgeDue(ServiceSlot service, TimePoint now);
    void setDue(std::uint32_t group, TimePoint due);
    Subrequest* find(wire::SequenceNumber sequence);
    /** Pins the index version once replies have reported one; the attempt started without. */
    void pinSnapshot();
    /** Returns None when the reply can be accepted, otherwise the reason why not. */
    Reason validate(const wire::SubreplyItem& reply) const;
    void accept(std::uint32_t subrequestIndex, wire::SubreplyItem&& reply, TimePoint now, Actions& actions);
    void reject(std::uint32_t subrequestIndex, TimePoint now, Actions& actions);
    void scheduleRetry(std::uint32_t groupIndex, TimePoint now, Actions& actions, RetryPace pace);
    void retry(std::uint32_t groupIndex, TimePoint now, Actions& actions);
    void hedge(std::uint32_t groupIndex, TimePoint now, Actions& actions);
    void markMissing(std::uint32_t groupIndex, Reason reason);
    void cancel(std::uint32_t subrequestIndex, TimePoint now, Actions& actions);
    void cancelOutstanding(TimePoint now, Actions& actions);
    bool restartIfBetter(TimePoint now, Actions& actions);
    void finishIfDecided(TimePoint now, Actions& actions);
    void finish(TimePoint now, Actions& actions);
    Duration backoff(std::uint8_t failures);
    void appendExplain(std::vector<ExplainItem>& items) const;

    SearchRequest request_;
    ClusterState& cluster_;
    PolicyState& policy_;
    SequenceGenerator& sequences_;
    Random& random_;

    ZoneSlot ownZone_ = noSlot;
    TimePoint startedAt_ {};
    TimePoint answerDeadline_ {};
    TimePoint nextDue_ = TimePoint::max();
    SnapshotChoice plan_;
    std::vector<Group> groups_;
    std::vector<std::string> rows_;
    /** Sorted by sequence number. */
    std::vector<Subrequest> subrequests_;
    std::uint32_t answered_ = 0;
    std::uint32_t missing_ = 0;
    std::uint8_t attempt_ = 0;
    /** True when the collection is in the configuration. */
    bool collectionKnown_ = false;
    bool finished_ = false;
    /** Set when upstreams turned out not to serve the snapshot. */
    bool restartWanted_ = false;
    TimePoint nextRestartCheck_ {};
    /** Topology at the last call; differs from the current one after a change of the configuration. */
    std::shared_ptr<const Topology> lastTopology_;
    /** Attempt before the restart; used for the answer if the later one covers fewer shards. */
    std::optional<Attempt> previousAttempt_;
    /** Topologies to which SendItem::shards may point. */
    std::vector<std::shared_ptr<const Topology>> topologies_;
    SearchCounters counters_;
};

} // namespace banyancroft::search
