#include "store_sync.h"

#include "telemetry/log.h"
#include "view_codec.h"

#include <algorithm>
#include <utility>

namespace banyancroft::gateway {

namespace {

using telemetry::log;
using telemetry::LogLevel;

/** Delay after the first of consecutive failures; short, since most failures are single lost responses. */
constexpr Duration initialRetryDelay = std::chrono::milliseconds(50);
/** Upper bound of the exponential backoff on a VM that reads the store for its zone. */
constexpr Duration maxReaderRetryDelay = std::chrono::milliseconds(500);
/** The same on other VMs, which learn of the store's recovery from the reader of their zone. */
constexpr Duration maxOtherRetryDelay = std::chrono::seconds(2);
/** A peer responds from memory; one that takes longer is stopped, suspended or cut off. */
constexpr Duration peerTimeout = std::chrono::milliseconds(300);
/** The store truncates responses by number of changes and by size. A response of at least a fifth of either
 * limit may be truncated and is followed by another request immediately. */
constexpr std::size_t truncationSuspectChanges = 100;
constexpr std::size_t truncationSuspectBytes = 200 * 1024;

/** A VM that starts after a restore asks other VMs for this long for the entries that they retain. */
constexpr Duration retainedQueryPeriod = std::chrono::seconds(5);
/** Minimum interval of log lines about answers with an invalid era. */
constexpr Duration invalidEraLogInterval = std::chrono::seconds(10);

constexpr unsigned statusOk = 200;

} // namespace

bool mayHaveMore(std::span<const store::KeyValue> changes)
{
    std::size_t bytes = 0;
    for (const auto& change : changes)
        bytes += change.value.size();
    return changes.size() >= truncationSuspectChanges || bytes >= truncationSuspectBytes;
}

StoreSync::StoreSync(boost::asio::io_context& ioContext, store::PolledStore& store, std::string prefix,
    SyncIntervals intervals, Hooks hooks, telemetry::Metrics& metrics)
    : ioContext_(ioContext)
    , store_(store)
    , prefix_(std::move(prefix))
    , intervals_(intervals)
    , hooks_(std::move(hooks))
    , storeCalls_(
          metrics.counter("banyancroft_store_calls_total", "Calls to the store that follow its changes"))
    , storeFailures_(
          metrics.counter("banyancroft_store_failures_total", "Calls to the store without an answer"))
    , peerCalls_(metrics.counter("banyancroft_peer_calls_total", "Questions to other VMs for changes"))
    , peerFailures_(
          metrics.counter("banyancroft_peer_failures_total", "Questions to other VMs without an answer"))
    , restores_(metrics.counter(
          "banyancroft_store_restores_total", "Restores of the store from a copy that this VM has seen"))
    , invalidEras_(metrics.counter("banyancroft_store_invalid_eras_total",
          "Answers of the store whose era is absent, has fallen or is not a number"))
    , startedAt_(BootClock::now())
    , view_(hooks_.outranks)
    , storeReachedAt_(startedAt_)
{
}

Duration StoreSync::age(TimePoint now) const
{
    return now - (view_.isEmpty() ? startedAt_ : view_.currentAt());
}

void StoreSync::step(TimePoint now)
{
    SyncInputs inputs;
    inputs.hasView = !view_.isEmpty();
    inputs.sinceStart = now - startedAt_;
    inputs.viewAge = age(now);
    inputs.isReader = hooks_.isReader();
    inputs.isSource = hooks_.isSource();
    if (lastPeerResponseAt_)
        inputs.sincePeerResponse = now - *lastPeerResponseAt_;
    inputs.sinceStoreResponse = now - lastStoreResponseAt_;
    inputs.sincePeerRequest = now - lastPeerRequestAt_;
    reportInvalidEras(now);
    if (!storeRequestPending_ && now >= nextStoreRequestAt_
        && (isOfOldEra() || shouldPollStore(inputs, intervals_)))
        requestFromStore(now);
    auto choice = choosePeer(inputs, intervals_);
    if (now < retainedWantedUntil_ && inputs.sincePeerRequest >= intervals_.peerPoll)
        choice = PeerChoice::Any;
    if (peerRequestPending_ || choice == PeerChoice::None)
        return;
    if (const auto peer = hooks_.peerAddress(choice))
        requestFromPeer(*peer, now);
}

void StoreSync::refresh(const std::optional<ListenAddress>& peer, TimePoint now)
{
    if (peer) {
        if (!peerRequestPending_)
            requestFromPeer(*peer, now);
        return;
    }
    if (hooks_.isReader()) {
        if (!storeRequestPending_ && now >= nextStoreRequestAt_)
            requestFromStore(now);
        return;
    }
    const auto reader = hooks_.peerAddress(PeerChoice::Reader);
    if (reader && !peerRequestPending_)
        requestFromPeer(*reader, now);
}

void StoreSync::requestFromStore(TimePoint now)
{
    storeRequestPending_ = true;
    storeCalls_.add();
    if (view_.isEmpty() || historyCompacted_ || isOfOldEra())
        return listStore(now);
    // A stale view is refreshed immediately instead of waiting for a change.
    const bool isFresh = age(now) < intervals_.staleAfter;
    pollStore(now, isFresh ? intervals_.peerPoll : Duration::zero());
}

void StoreSync::listStore(TimePoint requestedAt)
{
    store_.list(prefix_, [this, requestedAt](std::optional<store::Listing> listing, const Error& reason) {
        const auto now = BootClock::now();
        storeRequestPending_ = false;
        if (!listing)
            return handleStoreFailure(reason, requestedAt, now);
        historyCompacted_ = false;
        log(LogLevel::Info, "store", "listed all keys of the store",
            { { "keys", std::to_string(listing->entries.size()) },
                { "era", std::to_string(listing->era.value) },
                { "revision", std::to_string(listing->revision.value) } });
        if (view_.isEmpty() && listing->era)
            retainedWantedUntil_ = now + retainedQueryPeriod;
        const ViewPosition listed { listing->revision, listing->era };
        handleStoreResponse({ true, std::move(*listing), requestedAt }, {}, requestedAt, now);
        // A store whose revisions fell without a new era would be listed again with each step.
        if (listed.era == view_.era() && listed.revision < view_.revision())
            nextStoreRequestAt_ = now + maxReaderRetryDelay;
    });
}

void StoreSync::pollStore(TimePoint requestedAt, Duration wait)
{
    const auto base = view_.position();
    store_.pollChanges(prefix_, base.revision, wait,
        [this, requestedAt, base](std::optional<store::Listing> changes, const Error& reason) {
            const auto now = BootClock::now();
            storeRequestPending_ = false;
            // The answer is about revisions that the restored store has given out again, or does not have.
            if (isOfOldEra() && (changes || reason.kind == ErrorKind::NotFound))
                return requestFromStore(now);
            if (!changes && reason.kind == ErrorKind::NotFound) {
                log(LogLevel::Warn, "store",
                    "store has compacted the history after the revision, listing all keys again",
                    { { "revision", std::to_string(base.revision.value) } });
                historyCompacted_ = true;
                return requestFromStore(now);
            }
            if (!changes)
                return handleStoreFailure(reason, requestedAt, now);
            const bool more = mayHaveMore(changes->entries);
            changes->revision = std::max(changes->revision, base.revision);
            // A truncated response may omit changes, so the view is not known to match the store.
            const auto currentAt = more ? TimePoint {} : requestedAt;
            handleStoreResponse({ false, std::move(*changes), currentAt }, base, requestedAt, now);
            if (more)
                requestFromStore(now);
        });
}

void StoreSync::handleStoreResponse(
    const ViewUpdate& update, ViewPosition base, TimePoint requestedAt, TimePoint now)
{
    lastStoreResponseAt_ = now;
    if (consecutiveStoreFailures_ > 0)
        log(LogLevel::Info, "store", "store responds again after failed calls",
            { { "failing_ms", std::to_string(toMillis(now - storeFailingSince_)) },
                { "failures", std::to_string(consecutiveStoreFailures_) },
                { "revision", std::to_string(update.content.revision.value) } });
    consecutiveStoreFailures_ = 0;
    applyUpdate(update, base, requestedAt, now);
}

void StoreSync::handleStoreFailure(const Error& reason, TimePoint requestedAt, TimePoint now)
{
    storeFailures_.add();
    lastFailedCallAt_ = requestedAt;
    if (consecutiveStoreFailures_ == 0) {
        storeFailingSince_ = requestedAt;
        log(LogLevel::Warn, "store", "store call failed, will retry",
            { { "reason", toString(reason) }, { "revision", std::to_string(view_.revision().value) },
                { "view_age_ms", std::to_string(toMillis(age(now))) } });
    }
    const auto delay = initialRetryDelay * (1U << std::min(consecutiveStoreFailures_, 6U));
    ++consecutiveStoreFailures_;
    nextStoreRequestAt_
        = now + std::min<Duration>(delay, hooks_.isReader() ? maxReaderRetryDelay : maxOtherRetryDelay);
}

void StoreSync::requestFromPeer(const ListenAddress& peer, TimePoint now)
{
    if (!peerClient_ || peer.address != peerAddress_.address || peer.port != peerAddress_.port) {
        peerAddress_ = peer;
        store::HttpClient::Options options;
        options.address = peer.address;
        options.port = peer.port;
        peerClient_ = std::make_shared<store::HttpClient>(ioContext_, std::move(options));
    }
    peerRequestPending_ = true;
    lastPeerRequestAt_ = now;
    peerCalls_.add();
    const auto base = view_.position();
    peerClient_->call("GET", encodeQuestion({ base, view_.retainedDigest() }), "", peerTimeout,
        [this, client = peerClient_, peer, base, requestedAt = now](
            const std::optional<store::HttpResponse>& response, const store::HttpError& failure) {
            peerRequestPending_ = false;
            if (!response)
                return handlePeerFailure(peer, failure);
            const auto respondedAt = BootClock::now();
            lastPeerResponseAt_ = respondedAt;
            if (response->status != statusOk)
                return handlePeerFailure(peer,
                    { ErrorKind::Unavailable,
                        "peer responded with HTTP status " + std::to_string(response->status),
                        "no action needed, another VM or the store is polled" });
            Error reason;
            const auto update = decodeUpdate(response->body, requestedAt, reason);
            if (!update)
                return handlePeerFailure(peer, reason);
            peerFailing_ = false;
            applyUpdate(*update, base, update->currentAt, respondedAt);
            applyRetained(*update);
        });
}

void StoreSync::handlePeerFailure(const ListenAddress& peer, const Error& reason)
{
    peerFailures_.add();
    if (!peerFailing_)
        log(LogLevel::Warn, "store", "cannot read changes from another VM",
            { { "peer", peer.address + ":" + std::to_string(peer.port) }, { "reason", toString(reason) },
                { "view_age_ms", std::to_string(toMillis(age(BootClock::now()))) } });
    peerFailing_ = true;
}

void StoreSync::applyUpdate(const ViewUpdate& update, ViewPosition base, TimePoint reachedAt, TimePoint now)
{
    const auto before = view_.position();
    if (!view_.apply(update, base))
        return;
    store_.eras().learn(view_.era());
    const auto reachedBefore = std::exchange(storeReachedAt_, std::max(storeReachedAt_, reachedAt));
    // Before the update is passed on, since it may hold registrations that lapsed.
    if (wasStoreUnavailable({ reachedBefore, storeReachedAt_, lastFailedCallAt_ })) {
        log(LogLevel::Info, "store", "store was unavailable, removals of registrations are deferred",
            { { "unavailable_ms", std::to_string(toMillis(storeReachedAt_ - reachedBefore)) },
                { "failed_call_age_ms", std::to_string(toMillis(now - lastFailedCallAt_)) },
                { "revision", std::to_string(update.content.revision.value) } });
        hooks_.storeRecovered(now);
    }
    if (before.revision && view_.era() > before.era)
        handleRestore(before, now);
    if (update.isFull || !update.content.entries.empty())
        hooks_.viewUpdated(update);
}

void StoreSync::handleRestore(ViewPosition before, TimePoint now)
{
    restores_.add();
    log(LogLevel::Warn, "store", "store was restored from a copy, removals of registrations are deferred",
        { { "era_before", std::to_string(before.era.value) }, { "era", std::to_string(view_.era().value) },
            { "revision_before", std::to_string(before.revision.value) },
            { "revision", std::to_string(view_.revision().value) },
            { "retains_entries", view_.retainedDigest() != 0 ? "yes" : "no" } });
    hooks_.storeRestored(now);
}

void StoreSync::applyRetained(const ViewUpdate& update)
{
    if (update.content.era >= view_.era())
        retainedWantedUntil_ = {};
    auto entries = view_.retain(update.retained, update.content.era);
    if (entries.empty())
        return;
    for (const auto& entry : entries)
        log(LogLevel::Info, "store", "retaining an entry that is newer than that of the restored store",
            { { "key", entry.key }, { "revision", std::to_string(entry.modified.value) } });
    hooks_.viewUpdated({ false, { std::move(entries), view_.revision(), view_.era() }, view_.currentAt() });
}

void StoreSync::reportInvalidEras(TimePoint now)
{
    const auto& eras = store_.eras();
    const auto newAnswers = eras.invalidAnswers() - invalidEras_.value();
    if (newAnswers == 0)
        return;
    invalidEras_.add(newAnswers);
    if (invalidEraLoggedAt_ && now - *invalidEraLoggedAt_ < invalidEraLogInterval)
        return;
    invalidEraLoggedAt_ = now;
    log(LogLevel::Warn, "store", "answer of the store with an invalid era counts as of the known era",
        { { "reason", toString(eras.lastProblem()) }, { "answers", std::to_string(newAnswers) },
            { "era", std::to_string(eras.current().value) } });
}

} // namespace banyancroft::gateway
