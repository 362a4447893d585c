#include "entry.h"

#include "run_after.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <map>

namespace banyancroft::daemon {

namespace {

// How long after the deadline, when the caller got Unknown, an outcome is still awaited. It is recorded in
// the claim, so that a later request with the key gets the actual outcome.
constexpr Duration lateOutcomeGrace = std::chrono::seconds(2);
constexpr std::size_t maxSubmitAttempts = 4;
// Upstreams refuse requests briefly during a hand-over, so an immediate retry would be refused as well.
constexpr Duration submitRetryDelay = std::chrono::milliseconds(20);

std::uint64_t remainingMicros(TimePoint deadline, TimePoint now)
{
    return static_cast<std::uint64_t>(toMicros(deadline - now));
}

boost::asio::steady_timer::duration timeUntil(TimePoint when, TimePoint now)
{
    return std::max(Duration::zero(), when - now);
}

} // namespace

struct Entry::ActiveSearch {
    struct Sent {
        wire::SequenceNumber sequence;
        UpstreamId upstream;
        std::string home;
    };

    ActiveSearch(wire::QueryNumber number, search::SearchRequest request, boost::asio::io_context& ioContext,
        Entry& entry)
        : query(number)
        , deadline(request.deadline)
        , collection(request.collection)
        , where(request.where)
        , limit(request.limit)
        , traceparent(request.traceparent)
        , timer(ioContext)
        , coordinator(std::move(request), entry.cluster_, entry.policy_, entry.sequences_, entry.random_)
    {
    }

    const wire::QueryNumber query;
    const TimePoint deadline;
    const std::string collection;
    const std::string where;
    const std::uint64_t limit;
    const std::string traceparent;
    TimePoint startedAt {};
    boost::asio::steady_timer timer;
    TimePoint armedFor = TimePoint::max();
    search::SearchCoordinator coordinator;
    search::Actions actions;
    /** Sub-requests sent, which fail when their home disconnects. */
    std::vector<Sent> sent;
    std::function<void(search::Answer)> callback;
};

struct Entry::ActiveSubmit {
    ActiveSubmit(wire::QueryNumber number, SubmitCall submitCall, boost::asio::io_context& ioContext)
        : query(number)
        , call(std::move(submitCall))
        , timer(ioContext)
    {
    }

    const wire::QueryNumber query;
    const SubmitCall call;
    boost::asio::steady_timer timer;
    std::function<void(SubmitResult)> callback;
    SubmitResult result;
    std::function<void(Outcome, std::string, std::function<void()>)> finishClaim;
    std::vector<search::UpstreamSlot> tried;
    /** Sub-request in flight; empty while waiting for the claim or a retry delay. */
    std::optional<wire::SequenceNumber> sequence;
    std::string home;
    /** The outcome is known or the caller was answered; no further attempt is made. */
    bool settled = false;
    /** The release of the claim is being recorded; the caller is answered afterwards. */
    bool releasing = false;
};

Entry::Entry(boost::asio::io_context& ioContext, AvailabilityZone ownZone, std::uint64_t seed,
    std::uint64_t queryNumberBase, EntryMetrics metrics, Hooks hooks)
    : ioContext_(ioContext)
    , ownZone_(std::move(ownZone))
    , metrics_(metrics)
    , hooks_(std::move(hooks))
    , random_(seed)
    , router_(cluster_)
    , queryNumberBase_(queryNumberBase)
{
}

Entry::~Entry() { *alive_ = false; }

void Entry::apply(RoutingTablePointer table)
{
    const bool newDocument = !table_ || table_->document != table->document;
    table_ = std::move(table);
    if (newDocument && table_->document) {
        cluster_.apply(*table_->document, hooks_.now());
        policy_.apply(table_->document->policy);
    }
}

void Entry::search(search::SearchRequest request, std::function<void(search::Answer)> callback)
{
    const wire::QueryNumber query { queryNumberBase_ + ++lastQuery_ };
    auto active = std::make_unique<ActiveSearch>(query, std::move(request), ioContext_, *this);
    active->callback = std::move(callback);
    active->startedAt = hooks_.now();
    metrics_.searches.add();
    ActiveSearch& reference = *active;
    searches_.emplace(query, std::move(active));
    reference.coordinator.start(reference.startedAt, reference.actions);
    run(reference);
}

void Entry::run(ActiveSearch& active)
{
    sendAll(active);
    if (active.actions.finished)
        return finishSearch(active);
    active.actions.clear();
    armTimer(active);
}

void Entry::sendAll(ActiveSearch& active)
{
    const TimePoint now = hooks_.now();
    // A restarted query may switch to another snapshot within one round of actions; a batch carries only one.
    std::map<std::pair<std::string_view, search::Snapshot>, wire::SubrequestBatch> batches;
    for (const auto& item : active.actions.sends) {
        const std::string_view home = table_ ? table_->homeOf(*item.upstream) : std::string_view {};
        metrics_.subrequests.add();
        if (home.empty()) {
            wire::SubreplyItem reply;
            reply.sequence = item.sequence;
            reply.upstream = *item.upstream;
            reply.reason = Reason::HomeUnreachable;
            postLocalReply(active.query, std::move(reply));
            continue;
        }
        auto& batch = batches[{ home, item.snapshot }];
        batch.layout = item.snapshot.layout;
        batch.index = item.snapshot.index;
        batch.items.push_back(
            { item.sequence, *item.upstream, { item.shards.begin(), item.shards.end() }, item.hedge });
        active.sent.push_back({ item.sequence, *item.upstream, std::string(home) });
    }
    for (auto& [key, batch] : batches) {
        batch.query = active.query;
        batch.remainingMicros = remainingMicros(active.deadline, now);
        batch.traceparent = active.traceparent;
        batch.collection = active.collection;
        batch.where = active.where;
        batch.limit = active.limit;
        hooks_.send(std::string(key.first), std::move(batch));
    }
    std::unordered_map<std::string, wire::Cancel> cancels;
    for (const auto& item : active.actions.cancels) {
        auto sent = std::find_if(active.sent.begin(), active.sent.end(),
            [&item](const auto& candidate) { return candidate.sequence == item.sequence; });
        if (sent == active.sent.end())
            continue;
        cancels[sent->home].sequences.push_back(item.sequence);
    }
    for (auto& [home, cancel] : cancels) {
        cancel.query = active.query;
        hooks_.send(home, std::move(cancel));
    }
}

void Entry::postLocalReply(wire::QueryNumber query, wire::SubreplyItem item)
{
    // Posted, since the coordinator must not be called while its actions are being carried out.
    boost::asio::post(ioContext_, [this, alive = alive_, query, item = std::move(item)]() mutable {
        if (!*alive)
            return;
        wire::SubreplyBatch batch { query, {} };
        batch.items.push_back(std::move(item));
        onReply(std::move(batch));
    });
}

void Entry::armTimer(ActiveSearch& active)
{
    const TimePoint due = active.coordinator.nextTimer();
    if (due == active.armedFor || due == TimePoint::max())
        return;
    active.armedFor = due;
    active.timer.expires_after(timeUntil(due, hooks_.now()));
    active.timer.async_wait(
        [this, alive = alive_, query = active.query](const boost::system::error_code& code) {
            if (code || !*alive)
                return;
            auto position = searches_.find(query);
            if (position == searches_.end())
                return;
            ActiveSearch& found = *position->second;
            found.armedFor = TimePoint::max();
            found.coordinator.onTimer(hooks_.now(), found.actions);
            run(found);
        });
}

void Entry::finishSearch(ActiveSearch& active)
{
    auto node = searches_.extract(active.query);
    auto answer = active.coordinator.answer();
    metrics_.searchTime.record(hooks_.now() - active.startedAt);
    metrics_.hedges.add(answer.counters.hedges);
    metrics_.retries.add(answer.counters.retries);
    metrics_.restarts.add(answer.counters.restarts);
    if (answer.refusal != Reason::None)
        metrics_.refusedSearches.add();
    else if (!answer.complete)
        metrics_.partialAnswers.add();
    active.callback(std::move(answer));
}

void Entry::onReply(wire::SubreplyBatch batch)
{
    if (auto position = searches_.find(batch.query); position != searches_.end()) {
        ActiveSearch& active = *position->second;
        const TimePoint now = hooks_.now();
        for (auto& item : batch.items)
            active.coordinator.onReply(std::move(item), now, active.actions);
        return run(active);
    }
    if (auto position = submits_.find(batch.query); position != submits_.end()) {
        ActiveSubmit& active = *position->second;
        for (auto& item : batch.items) {
            if (active.sequence && item.sequence == *active.sequence)
                return onSubmitReply(active, std::move(item));
        }
    }
    metrics_.unknownReplies.add(batch.items.size());
}

void Entry::onHomeDisconnected(const std::string& address, bool established)
{
    wire::SubreplyItem lostReply;
    lostReply.outcome = established ? Outcome::Unknown : Outcome::NotRun;
    lostReply.reason = Reason::HomeUnreachable;
    std::vector<wire::QueryNumber> queries;
    for (const auto& [query, active] : searches_)
        queries.push_back(query);
    for (auto query : queries) {
        auto position = searches_.find(query);
        if (position == searches_.end())
            continue;
        ActiveSearch& active = *position->second;
        const TimePoint now = hooks_.now();
        const auto sent = active.sent;
        for (const auto& item : sent) {
            if (item.home != address)
                continue;
            auto reply = lostReply;
            reply.sequence = item.sequence;
            reply.upstream = item.upstream;
            // The coordinator drops this reply if the sub-request has been answered already.
            active.coordinator.onReply(std::move(reply), now, active.actions);
        }
        run(active);
    }
    std::vector<wire::QueryNumber> affected;
    for (const auto& [query, active] : submits_) {
        if (active->sequence && active->home == address)
            affected.push_back(query);
    }
    for (auto query : affected) {
        if (auto position = submits_.find(query); position != submits_.end())
            onSubmitReply(*position->second, lostReply);
    }
}

void Entry::submit(SubmitCall call, std::function<void(SubmitResult)> callback)
{
    const wire::QueryNumber query { queryNumberBase_ + ++lastQuery_ };
    metrics_.submits.add();
    const search::TopologyOperation* operation = cluster_.topology()->findOperation(call.operation);
    const config::Document* current = document();
    if (!operation || !current) {
        SubmitResult result;
        result.unknownOperation = true;
        result.reason = current ? Reason::None : Reason::NoCandidate;
        return callback(std::move(result));
    }
    auto owned = std::make_unique<ActiveSubmit>(query, std::move(call), ioContext_);
    ActiveSubmit& active = *owned;
    active.callback = std::move(callback);
    submits_.emplace(query, std::move(owned));
    armSubmitTimer(active, active.call.deadline);
    if (!operation->nonIdempotent)
        return routeSubmit(active);

    auto declared = std::find_if(current->operations.begin(), current->operations.end(),
        [&](const auto& candidate) { return candidate.name == active.call.operation; });
    hooks_.claim(declared->service, active.call.key,
        claims::fingerprintOf(active.call.operation, active.call.payload), active.call.deadline,
        [this, alive = alive_, query](ClaimReply reply) {
            auto position = *alive ? submits_.find(query) : submits_.end();
            if (!*alive || position == submits_.end()) {
                if (reply.finish)
                    reply.finish(Outcome::NotRun, {}, {});
                return;
            }
            ActiveSubmit& found = *position->second;
            switch (reply.kind) {
            case ClaimReply::Kind::Held:
                found.finishClaim = std::move(reply.finish);
                // The caller has already received NotRun.
                if (found.settled)
                    return settleSubmit(found, Outcome::NotRun, Reason::DeadlineExceeded, {});
                return routeSubmit(found);
            case ClaimReply::Kind::AlreadyDone:
                return settleSubmit(found, Outcome::Done, Reason::None, std::move(reply.result));
            case ClaimReply::Kind::Unknown:
                return settleSubmit(found, Outcome::Unknown, reply.reason, {});
            case ClaimReply::Kind::Mismatch:
                found.result.keyMismatch = true;
                return settleSubmit(found, Outcome::NotRun, Reason::None, {});
            case ClaimReply::Kind::Refused:
                return settleSubmit(found, Outcome::NotRun, reply.reason, {});
            }
        });
}

void Entry::routeSubmit(ActiveSubmit& active)
{
    const TimePoint now = hooks_.now();
    if (now >= active.call.deadline)
        return settleSubmit(active, Outcome::NotRun, Reason::DeadlineTooShort, {});
    const auto route
        = router_.route(active.call.operation, active.call.key, ownZone_, active.tried, now, random_);
    if (route.reason != Reason::None)
        return settleSubmit(active, Outcome::NotRun, route.reason, {});
    active.tried.push_back(route.upstream);
    const std::string_view home = table_->homeOf(*route.upstreamId);
    active.sequence = sequences_.next();
    active.home = std::string(home);
    active.result.attempts.emplace_back(route.upstreamId->str(), Reason::None);
    if (home.empty()) {
        wire::SubreplyItem reply;
        reply.sequence = *active.sequence;
        reply.reason = Reason::HomeUnreachable;
        return postLocalReply(active.query, std::move(reply));
    }
    metrics_.subrequests.add();
    wire::SubmitRequest request;
    request.query = active.query;
    request.sequence = *active.sequence;
    request.remainingMicros = remainingMicros(active.call.deadline, now);
    request.traceparent = active.call.traceparent;
    request.upstream = *route.upstreamId;
    request.operation = active.call.operation;
    request.key = active.call.key;
    request.payload = active.call.payload;
    hooks_.send(active.home, std::move(request));
}

void Entry::onSubmitReply(ActiveSubmit& active, wire::SubreplyItem item)
{
    active.sequence.reset();
    if (!active.tried.empty())
        cluster_.observeReply(active.tried.back(), item, {}, hooks_.now());
    if (!active.result.attempts.empty())
        active.result.attempts.back().second = item.reason;
    const TimePoint now = hooks_.now();
    const bool retry = item.outcome == Outcome::NotRun && !active.settled
        && active.tried.size() < maxSubmitAttempts && now + submitRetryDelay < active.call.deadline;
    if (!retry)
        return settleSubmit(active, item.outcome, item.reason, std::move(item.rows));
    runAfter(ioContext_, submitRetryDelay, [this, alive = alive_, query = active.query] {
        if (!*alive)
            return;
        auto position = submits_.find(query);
        if (position != submits_.end())
            routeSubmit(*position->second);
    });
}

void Entry::armSubmitTimer(ActiveSubmit& active, TimePoint when)
{
    active.timer.expires_after(timeUntil(when, hooks_.now()));
    active.timer.async_wait(
        [this, alive = alive_, query = active.query](const boost::system::error_code& code) {
            if (code || !*alive)
                return;
            auto position = submits_.find(query);
            if (position == submits_.end())
                return;
            ActiveSubmit& found = *position->second;
            if (found.releasing) {
                // The release is not yet recorded in the store, but the request has not run.
                answerSubmit(found, Outcome::NotRun, found.result.reason, {});
                submits_.erase(position);
                return;
            }
            if (found.settled) {
                found.sequence.reset();
                return settleSubmit(found, Outcome::Unknown, Reason::DeadlineExceeded, {});
            }
            found.settled = true;
            // Without a sub-request in flight, nothing has run: the claim or the retry delay is still
            // pending.
            const Outcome outcome = found.sequence ? Outcome::Unknown : Outcome::NotRun;
            answerSubmit(found, outcome, Reason::DeadlineExceeded, {});
            armSubmitTimer(found, hooks_.now() + lateOutcomeGrace);
        });
}

void Entry::settleSubmit(ActiveSubmit& active, Outcome outcome, Reason reason, std::string result)
{
    active.settled = true;
    active.timer.cancel();
    auto finishClaim = std::exchange(active.finishClaim, nullptr);
    // The caller may retry at once after NotRun, so it is answered only when the claim's release is recorded.
    const bool recordFirst = finishClaim && outcome == Outcome::NotRun;
    if (!recordFirst) {
        if (finishClaim)
            finishClaim(outcome, result, {});
        answerSubmit(active, outcome, reason, std::move(result));
        submits_.erase(active.query);
        return;
    }
    active.releasing = true;
    active.result.reason = reason;
    armSubmitTimer(active, active.call.deadline);
    finishClaim(outcome, {}, [this, alive = alive_, query = active.query, reason] {
        if (!*alive)
            return;
        auto position = submits_.find(query);
        if (position == submits_.end())
            return;
        answerSubmit(*position->second, Outcome::NotRun, reason, {});
        submits_.erase(query);
    });
}

void Entry::answerSubmit(ActiveSubmit& active, Outcome outcome, Reason reason, std::string result)
{
    auto callback = std::exchange(active.callback, nullptr);
    if (!callback)
        return;
    active.result.outcome = outcome;
    active.result.reason = reason;
    active.result.result = std::move(result);
    callback(std::move(active.result));
}

} // namespace banyancroft::daemon
