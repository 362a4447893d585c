#include "store_sync.h"

#include "telemetry/log.h"
#include "view_codec.h"

#include <algorithm>

namespace banyancroft::gateway {

namespace {

using telemetry::log;
using telemetry::LogLevel;

/** Pauses after failures in a row: short at first, since most are single lost answers. */
constexpr Duration firstRetry = std::chrono::milliseconds(50);
constexpr Duration longestRetry = std::chrono::milliseconds(500);
/** The same for a VM that does not read for its zone: it hears of the store's return from the one that does.
 */
constexpr Duration longestRetryOfOthers = std::chrono::seconds(2);
/** Another VM answers from memory; one that takes longer is stopped, suspended or cut off. */
constexpr Duration peerTimeout = std::chrono::milliseconds(300);
/** Registrations outlast outages of the store that are shorter than this. */
constexpr Duration leastOutage = std::chrono::seconds(1);
/** The store cuts its answers by number and by size; an answer of a fifth of that is followed up at once. */
constexpr std::size_t manyChanges = 100;
constexpr std::size_t manyBytes = 200 * 1024;

constexpr unsigned statusOk = 200;

} // namespace

bool mayHaveMore(std::span<const store::KeyValue> changes)
{
    std::size_t bytes = 0;
    for (const auto& change : changes)
        bytes += change.value.size();
    return changes.size() >= manyChanges || bytes >= manyBytes;
}

StoreSync::StoreSync(boost::asio::io_context& ioContext, store::PolledStore& store, std::string prefix,
    SyncPauses pauses, Hooks hooks, telemetry::Metrics& metrics)
    : ioContext_(ioContext)
    , store_(store)
    , prefix_(std::move(prefix))
    , pauses_(pauses)
    , hooks_(std::move(hooks))
    , storeCalls_(
          metrics.counter("banyancroft_store_calls_total", "Calls to the store that follow its changes"))
    , storeFailures_(
          metrics.counter("banyancroft_store_failures_total", "Calls to the store without an answer"))
    , peerCalls_(metrics.counter("banyancroft_peer_calls_total", "Questions to other VMs for changes"))
    , peerFailures_(
          metrics.counter("banyancroft_peer_failures_total", "Questions to other VMs without an answer"))
    , startedAt_(BootClock::now())
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
    inputs.age = age(now);
    inputs.isReader = hooks_.isReader();
    inputs.sinceStoreAnswer = now - storeAnsweredAt_;
    inputs.sincePeerQuestion = now - peerAskedAt_;
    if (!storeBusy_ && now >= nextStoreCall_ && asksStore(inputs, pauses_))
        askStore(now);
    const auto choice = peerToAsk(inputs, pauses_);
    if (peerBusy_ || choice == PeerChoice::None)
        return;
    if (const auto peer = hooks_.peer(choice))
        askPeer(*peer, now);
}

void StoreSync::askStore(TimePoint now)
{
    storeBusy_ = true;
    storeCalls_.add();
    if (view_.isEmpty() || historyGone_)
        return list(now);
    // A view that is old is brought up to date at once instead of waiting for a change.
    const bool isFresh = age(now) < pauses_.stale;
    poll(now, isFresh ? pauses_.peer : Duration::zero());
}

void StoreSync::list(TimePoint askedAt)
{
    store_.list(prefix_, [this, askedAt](std::optional<store::Listing> listing, const Error& reason) {
        const auto now = BootClock::now();
        storeBusy_ = false;
        if (!listing)
            return storeFailed(reason, askedAt, now);
        historyGone_ = false;
        log(LogLevel::Info, "store", "store listed",
            { { "keys", std::to_string(listing->entries.size()) },
                { "revision", std::to_string(listing->revision.value) } });
        storeAnswered({ true, std::move(*listing), askedAt, {} }, {}, now);
    });
}

void StoreSync::poll(TimePoint askedAt, Duration wait)
{
    const auto after = view_.revision();
    store_.pollChanges(prefix_, after, wait,
        [this, askedAt, after](std::optional<store::Listing> changes, const Error& reason) {
            const auto now = BootClock::now();
            storeBusy_ = false;
            if (!changes && reason.kind == ErrorKind::NotFound) {
                log(LogLevel::Warn, "store", "history is gone, listing anew",
                    { { "revision", std::to_string(after.value) } });
                historyGone_ = true;
                return askStore(now);
            }
            if (!changes)
                return storeFailed(reason, askedAt, now);
            const bool more = mayHaveMore(changes->entries);
            changes->revision = std::max(changes->revision, after);
            // What is left out of a full answer is not known, so the view is not the newest.
            const auto currentAt = more ? TimePoint {} : askedAt;
            storeAnswered({ false, std::move(*changes), currentAt, {} }, after, now);
            if (more)
                askStore(now);
        });
}

void StoreSync::storeAnswered(ViewUpdate update, store::Revision askedAfter, TimePoint now)
{
    storeAnsweredAt_ = now;
    if (storeFailuresInRow_ > 0) {
        const auto outage = now - storeFailsSince_;
        log(LogLevel::Info, "store", "store answers again",
            { { "failing_ms", std::to_string(toMillis(outage)) },
                { "failures", std::to_string(storeFailuresInRow_) },
                { "revision", std::to_string(update.content.revision.value) } });
        if (outage >= leastOutage)
            update.storeReturnedAt = now;
    }
    storeFailuresInRow_ = 0;
    takeOver(update, askedAfter);
}

void StoreSync::storeFailed(const Error& reason, TimePoint askedAt, TimePoint now)
{
    storeFailures_.add();
    if (storeFailuresInRow_ == 0) {
        storeFailsSince_ = askedAt;
        log(LogLevel::Warn, "store", "store does not answer",
            { { "reason", toString(reason) }, { "revision", std::to_string(view_.revision().value) },
                { "view_age_ms", std::to_string(toMillis(age(now))) } });
    }
    const auto pause = firstRetry * (1U << std::min(storeFailuresInRow_, 6U));
    ++storeFailuresInRow_;
    nextStoreCall_ = now + std::min<Duration>(pause, hooks_.isReader() ? longestRetry : longestRetryOfOthers);
}

void StoreSync::askPeer(const ListenAddress& peer, TimePoint now)
{
    if (!peerClient_ || peer.address != peerAddress_.address || peer.port != peerAddress_.port) {
        peerAddress_ = peer;
        store::HttpClient::Options options;
        options.address = peer.address;
        options.port = peer.port;
        peerClient_ = std::make_shared<store::HttpClient>(ioContext_, std::move(options));
    }
    peerBusy_ = true;
    peerAskedAt_ = now;
    peerCalls_.add();
    const auto after = view_.revision();
    peerClient_->call("GET", std::string(relayPath) + std::to_string(after.value), "", peerTimeout,
        [this, client = peerClient_, peer, after, askedAt = now](
            const std::optional<store::HttpResponse>& answer, const store::HttpError& failure) {
            peerBusy_ = false;
            if (!answer)
                return peerFailed(peer, failure);
            if (answer->status != statusOk)
                return peerFailed(peer,
                    { ErrorKind::Unavailable, "status " + std::to_string(answer->status),
                        "another VM or the store is asked" });
            Error reason;
            const auto update = decodeUpdate(answer->body, askedAt, reason);
            if (!update)
                return peerFailed(peer, reason);
            peerFails_ = false;
            takeOver(*update, after);
        });
}

void StoreSync::peerFailed(const ListenAddress& peer, const Error& reason)
{
    peerFailures_.add();
    if (!peerFails_)
        log(LogLevel::Warn, "store", "no changes from another VM",
            { { "peer", peer.address + ":" + std::to_string(peer.port) }, { "reason", toString(reason) },
                { "view_age_ms", std::to_string(toMillis(age(BootClock::now()))) } });
    peerFails_ = true;
}

void StoreSync::takeOver(const ViewUpdate& update, store::Revision askedAfter)
{
    const auto returnedBefore = view_.storeReturnedAt();
    if (!view_.apply(update, askedAfter))
        return;
    if (view_.storeReturnedAt() > returnedBefore)
        hooks_.storeReturned(view_.storeReturnedAt());
    if (update.isFull || !update.content.entries.empty())
        hooks_.updated(update);
}

} // namespace banyancroft::gateway
