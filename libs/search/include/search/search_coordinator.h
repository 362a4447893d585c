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

struct SearchRequest {
    std::string collection;
    /** Condition in the query language; empty for all rows. */
    std::string where;
    /** Most rows wanted; zero for no limit. */
    std::uint64_t limit = 0;
    /** When the caller stops waiting. The policy's longest deadline applies as well. */
    TimePoint deadline {};
    /** True: a partial answer is refused. */
    bool requireAll = false;
    /** Zone of this daemon. */
    AvailabilityZone ownZone;
    /** W3C traceparent of the entry's span. */
    std::string traceparent;
};

/**
 * A sub-request to send. The references remain valid until the next ClusterState::apply() or the end of
 * the coordinator, whichever comes first.
 */
struct SendItem {
    wire::SequenceNumber sequence;
    const UpstreamId* upstream = nullptr;
    std::span<const ShardId> shards;
    Snapshot snapshot;
    bool hedge = false;
};

struct CancelItem {
    wire::SequenceNumber sequence;
    const UpstreamId* upstream = nullptr;
};

/** What the caller has to do. Calls append to it, so that one object serves a whole batch of replies. */
struct Actions {
    std::vector<SendItem> sends;
    std::vector<CancelItem> cancels;
    /** True: call answer(); nothing more will be sent. */
    bool finished = false;

    void clear();
};

/** Whether the answer includes a shard. */
struct ShardCoverage {
    /** Refers to Answer::topology. */
    std::string_view shard;
    std::string_view group;
    /** None: included. Otherwise why the shard is lacking. */
    Reason missingReason = Reason::None;
};

enum class SubrequestKind : std::uint8_t { First, Hedge, Retry };

/** One sub-request, for `explain`. */
struct ExplainItem {
    wire::SequenceNumber sequence;
    /** Refers to the ClusterState; see ClusterState::upstreamId(). */
    std::string_view upstream;
    SubrequestKind kind = SubrequestKind::First;
    /** 0 at first, 1 after the restart of the query. */
    std::uint8_t attempt = 0;
    /** From the start of the query to sending. */
    Duration sentAfter {};
    /** From sending to the reply or cancellation. */
    Duration elapsed {};
    /** Empty when no reply came before the sub-request was cancelled or the query ended. */
    std::optional<Outcome> outcome;
    /** None when the answer was accepted. */
    Reason reason = Reason::None;
    Snapshot asked;
    /** Versions in the reply. */
    Snapshot answered;
};

struct SearchCounters {
    std::uint32_t hedges = 0;
    std::uint32_t hedgesWon = 0;
    std::uint32_t retries = 0;
    std::uint32_t restarts = 0;
    /** Answers at another version than asked for. */
    std::uint32_t otherVersion = 0;
    /** Further replies to a sub-request that was answered already. */
    std::uint32_t duplicateReplies = 0;
    /** Replies to sub-requests that were cancelled, or after the end of the query. */
    std::uint32_t lateReplies = 0;
    /** Replies with a sequence number or upstream that does not belong to this query. */
    std::uint32_t unmatchedReplies = 0;
};

struct Answer {
    /** Why there are no rows at all; None for an answer, partial or not. */
    Reason refusal = Reason::None;
    /** Every shard of the collection is included. */
    bool complete = false;
    Snapshot snapshot;
    /** Newline-delimited JSON, a part per group; cut at the limit. */
    std::vector<std::string> rows;
    std::uint64_t rowCount = 0;
    std::vector<ShardCoverage> coverage;
    std::uint32_t coveredShards = 0;
    std::vector<ExplainItem> explain;
    SearchCounters counters;
    /** Keeps what `coverage` refers to. */
    std::shared_ptr<const Topology> topology;
};

/**
 * Runs one search: pins a snapshot, asks one upstream of each group, hedges, retries, restarts once at a
 * better snapshot, and ends before the deadline.
 *
 *     SearchCoordinator search(request, cluster, policy, sequences, random);
 *     search.start(now, actions);
 *     // send, then for each reply and whenever nextTimer() is reached:
 *     search.onReply(std::move(reply), now, actions);
 *     search.onTimer(now, actions);
 *     if (actions.finished)
 *         respond(search.answer());
 *
 * One per query, owned and used by one traffic thread. The objects passed to the constructor must outlive
 * it. A query that lacks shards is not an error: the answer says which and why.
 */
class SearchCoordinator {
public:
    SearchCoordinator(SearchRequest request, ClusterState& cluster, PolicyState& policy,
        SequenceGenerator& sequences, Random& random);

    void start(TimePoint now, Actions& actions);
    void onReply(wire::SubreplyItem&& reply, TimePoint now, Actions& actions);
    void onTimer(TimePoint now, Actions& actions);
    /** When to call onTimer() next; TimePoint::max() once the query has ended. */
    TimePoint nextTimer() const;

    const SearchRequest& request() const { return request_; }
    /** When the query ends at the latest; the deadline of the sub-requests. */
    TimePoint answerDeadline() const { return answerDeadline_; }
    const Snapshot& snapshot() const { return plan_.snapshot; }
    bool finished() const { return finished_; }
    const SearchCounters& counters() const { return counters_; }

    /** The result, once finished. Moves the rows out, so it is called once. */
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
        /** A reply came, in time or not. */
        bool replied = false;
        Outcome outcome = Outcome::Unknown;
        Reason reason = Reason::None;
        TimePoint sentAt {};
        TimePoint endedAt {};
        Snapshot asked;
        Snapshot answered;
    };
    struct Group {
        /** Places in subrequests_; noSlot when there is none in flight. */
        std::uint32_t primary = noSlot;
        std::uint32_t hedge = noSlot;
        /** Places of the group's upstreams that were asked, modulo 64. */
        std::uint64_t tried = 0;
        /** Time of the next hedge or retry. */
        TimePoint due = TimePoint::max();
        GroupPhase phase = GroupPhase::Waiting;
        std::uint8_t failures = 0;
        Reason reason = Reason::None;
    };
    /** Whether a refusal that says nothing about load is retried at once, or all are after a wait. */
    enum class RetryPace : std::uint8_t { ByReason, Backoff };
    /** What one attempt, that is one snapshot, has brought. */
    struct Attempt {
        SnapshotChoice plan;
        std::vector<Group> groups;
        std::vector<std::string> rows;

        std::uint32_t coveredShards() const { return coveredShards(plan, groups); }
        static std::uint32_t coveredShards(const SnapshotChoice& plan, std::span<const Group> groups);
    };

    const TopologyGroup& topologyGroup(std::uint32_t group) const;
    void adoptCurrentTopology();
    void startAttempt(TimePoint now, Actions& actions);
    /** None when it was sent, otherwise why not. */
    Reason send(std::uint32_t group, SubrequestKind kind, TimePoint now, Actions& actions);
    TimePoint hedgeDue(ServiceSlot service, TimePoint now);
    void setDue(std::uint32_t group, TimePoint due);
    Subrequest* find(wire::SequenceNumber sequence);
    void pinSnapshot();
    /** None when the reply can be accepted. */
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
    /** In order of the sequence number. */
    std::vector<Subrequest> subrequests_;
    std::uint32_t answered_ = 0;
    std::uint32_t missing_ = 0;
    std::uint8_t attempt_ = 0;
    /** The collection is in the configuration. */
    bool collectionKnown_ = false;
    bool finished_ = false;
    /** Upstreams turned out not to serve the snapshot. */
    bool restartWanted_ = false;
    TimePoint nextRestartCheck_ {};
    /** The one in force at the last call, to notice a new configuration. */
    std::shared_ptr<const Topology> lastTopology_;
    /** The attempt before the restart; it stands if the later one covers less. */
    std::optional<Attempt> previousAttempt_;
    /** Topologies that sent items may refer to. */
    std::vector<std::shared_ptr<const Topology>> topologies_;
    SearchCounters counters_;
};

} // namespace banyancroft::search
