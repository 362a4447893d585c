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
    , startedAt_(BootClock::now())
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
    if (!storeRequestPending_ && now >= nextStoreRequestAt_ && shouldPollStore(inputs, intervals_))
        requestFromStore(now);
    const auto choice = choosePeer(inputs, intervals_);
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
    if (view_.isEmpty() || historyCompacted_)
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
                { "revision", std::to_string(listing->revision.value) } });
        handleStoreResponse({ true, std::move(*listing), requestedAt }, {}, requestedAt, now);
    });
}

void StoreSync::pollStore(TimePoint requestedAt, Duration wait)
{
    const auto after = view_.revision();
    store_.pollChanges(prefix_, after, wait,
        [this, requestedAt, after](std::optional<store::Listing> changes, const Error& reason) {
            const auto now = BootClock::now();
            storeRequestPending_ = false;
            if (!changes && reason.kind == ErrorKind::NotFound) {
                log(LogLevel::Warn, "store",
                    "store has compacted the history after the revision, listing all keys again",
                    { { "revision", std::to_string(after.value) } });
                historyCompacted_ = true;
                return requestFromStore(now);
            }
            if (!changes)
                return handleStoreFailure(reason, requestedAt, now);
            const bool more = mayHaveMore(changes->entries);
            changes->revision = std::max(changes->revision, after);
            // A truncated response may omit changes, so the view is not known to match the store.
            const auto currentAt = more ? TimePoint {} : requestedAt;
            handleStoreResponse({ false, std::move(*changes), currentAt }, after, requestedAt, now);
            if (more)
                requestFromStore(now);
        });
}

void StoreSync::handleStoreResponse(
    const ViewUpdate& update, store::Revision baseRevision, TimePoint requestedAt, TimePoint now)
{
    lastStoreResponseAt_ = now;
    if (consecutiveStoreFailures_ > 0)
        log(LogLevel::Info, "store", "store responds again after failed calls",
            { { "failing_ms", std::to_string(toMillis(now - storeFailingSince_)) },
                { "failures", std::to_string(consecutiveStoreFailures_) },
                { "revision", std::to_string(update.content.revision.value) } });
    consecutiveStoreFailures_ = 0;
    applyUpdate(update, baseRevision, requestedAt, now);
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
    const auto after = view_.revision();
    peerClient_->call("GET", std::string(relayPath) + std::to_string(after.value), "", peerTimeout,
        [this, client = peerClient_, peer, after, requestedAt = now](
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
            applyUpdate(*update, after, update->currentAt, respondedAt);
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

void StoreSync::applyUpdate(
    const ViewUpdate& update, store::Revision baseRevision, TimePoint reachedAt, TimePoint now)
{
    if (!view_.apply(update, baseRevision))
        return;
    const auto reachedBefore = std::exchange(storeReachedAt_, std::max(storeReachedAt_, reachedAt));
    // Before the update is passed on, since it may hold registrations that lapsed.
    if (wasStoreUnavailable({ reachedBefore, storeReachedAt_, lastFailedCallAt_ })) {
        log(LogLevel::Info, "store", "store was unavailable, removals of registrations are deferred",
            { { "unavailable_ms", std::to_string(toMillis(storeReachedAt_ - reachedBefore)) },
                { "failed_call_age_ms", std::to_string(toMillis(now - lastFailedCallAt_)) },
                { "revision", std::to_string(update.content.revision.value) } });
        hooks_.storeRecovered(now);
    }
    if (update.isFull || !update.content.entries.empty())
        hooks_.viewUpdated(update);
}

} // namespace banyancroft::gateway
