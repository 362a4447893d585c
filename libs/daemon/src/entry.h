#pragma once

#include "claims/claims.h"
#include "routing_table.h"
#include "search/cluster_state.h"
#include "search/policy_state.h"
#include "search/search_coordinator.h"
#include "search/submit_router.h"
#include "telemetry/metrics.h"
#include "wire/messages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace banyancroft::daemon {

/** Parameters of a `submit` statement, with its trace context. */
struct SubmitCall {
    std::string operation;
    IdempotencyKey key;
    /** JSON text. */
    std::string payload;
    TimePoint deadline {};
    std::string traceparent;
};

struct SubmitResult {
    Outcome outcome = Outcome::NotRun;
    Reason reason = Reason::None;
    /** JSON text, only with Outcome::Done. */
    std::string result;
    /** The key was used for another operation or payload; nothing was run for this call. */
    bool keyMismatch = false;
    /** The document in force has no such operation. */
    bool unknownOperation = false;
    /** Upstreams that were tried, in order, with the reason of each. */
    std::vector<std::pair<std::string, Reason>> attempts;
};

/** Result of a claim, reduced to the parts that the entry needs. */
struct ClaimReply {
    using Kind = claims::ClaimAnswer::Kind;
    Kind kind = Kind::Refused;
    Reason reason = Reason::None;
    std::string result;
    /** Records the outcome; call exactly once when `kind` is Held. The callback runs once it is recorded. */
    std::function<void(Outcome, std::string, std::function<void()>)> finish;
};

/** Metrics shared by the entries of all traffic threads. */
struct EntryMetrics {
    telemetry::Counter& searches;
    telemetry::Counter& partialAnswers;
    telemetry::Counter& refusedSearches;
    telemetry::Counter& subrequests;
    telemetry::Counter& hedges;
    telemetry::Counter& retries;
    telemetry::Counter& restarts;
    telemetry::Counter& unknownReplies;
    telemetry::Counter& submits;
    telemetry::LatencyHistogram& searchTime;
};

/**
 * Coordinates the searches and submits that one traffic thread receives: sends their sub-requests to the
 * homes of the upstreams and combines the replies. Owns the thread's observations of the upstreams.
 * Called only on its thread; callbacks run on it.
 */
class Entry {
public:
    struct Hooks {
        std::function<TimePoint()> now;
        /** Sends to the home at the given peer address; the daemon's own address stands for its own home. */
        std::function<void(const std::string& address, wire::Message)> send;
        /** Claims a key; the callback runs on this thread. */
        std::function<void(const ServiceId&, const IdempotencyKey&, std::string fingerprint,
            TimePoint deadline, std::function<void(ClaimReply)>)>
            claim;
    };

    /** @param queryNumberBase offset that keeps the query numbers of the threads of one daemon distinct */
    Entry(boost::asio::io_context& ioContext, AvailabilityZone ownZone, std::uint64_t seed,
        std::uint64_t queryNumberBase, EntryMetrics metrics, Hooks hooks);
    ~Entry();

    void apply(RoutingTablePointer table);
    const config::Document* document() const { return table_ ? table_->document.get() : nullptr; }

    void search(search::SearchRequest request, std::function<void(search::Answer)> callback);
    void submit(SubmitCall call, std::function<void(SubmitResult)> callback);

    void onReply(wire::SubreplyBatch batch);
    /** @param established false: no connection was established, so no queued message reached the home */
    void onHomeDisconnected(const std::string& address, bool established);

    /** Number of searches not yet answered, and of submits not yet answered or whose late outcome is awaited.
     */
    std::size_t openQueries() const { return searches_.size() + submits_.size(); }

private:
    struct ActiveSearch;
    struct ActiveSubmit;

    void run(ActiveSearch& active);
    void sendAll(ActiveSearch& active);
    void armTimer(ActiveSearch& active);
    void finishSearch(ActiveSearch& active);
    void postLocalReply(wire::QueryNumber query, wire::SubreplyItem item);

    void routeSubmit(ActiveSubmit& active);
    void onSubmitReply(ActiveSubmit& active, wire::SubreplyItem item);
    void settleSubmit(ActiveSubmit& active, Outcome outcome, Reason reason, std::string result);
    void answerSubmit(ActiveSubmit& active, Outcome outcome, Reason reason, std::string result);
    void armSubmitTimer(ActiveSubmit& active, TimePoint when);

    boost::asio::io_context& ioContext_;
    const AvailabilityZone ownZone_;
    EntryMetrics metrics_;
    Hooks hooks_;
    search::Random random_;
    search::SequenceGenerator sequences_;
    search::ClusterState cluster_;
    search::PolicyState policy_;
    search::SubmitRouter router_;
    RoutingTablePointer table_;
    const std::uint64_t queryNumberBase_;
    std::uint64_t lastQuery_ = 0;
    std::unordered_map<wire::QueryNumber, std::unique_ptr<ActiveSearch>> searches_;
    std::unordered_map<wire::QueryNumber, std::unique_ptr<ActiveSubmit>> submits_;
    /** Becomes false on destruction; pending callbacks then do nothing. */
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace banyancroft::daemon
