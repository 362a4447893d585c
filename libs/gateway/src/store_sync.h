#pragma once

#include "gateway/settings.h"
#include "store/http_client.h"
#include "store/polled_store.h"
#include "store_view.h"
#include "sync_sources.h"
#include "telemetry/metrics.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>

namespace banyancroft::gateway {

/** True if the store may have truncated the response, so that more changes are pending. */
bool mayHaveMore(std::span<const store::KeyValue> changes);

/**
 * Keeps a StoreView up to date, from the store itself or from another VM that reads it. After a failure it
 * resumes from the last revision; if the store has compacted the history after that revision, it lists all
 * keys again, and at once if the store was restored from a copy. Runs on the thread of the io_context.
 */
class StoreSync {
public:
    struct Hooks {
        /** Called when an update that holds entries, or all keys, was applied to the view. */
        std::function<void(const ViewUpdate&)> viewUpdated;
        /** Called with the present time when the store answers again after an outage, see
         * wasStoreUnavailable(), before the first update since then is passed on. */
        std::function<void(TimePoint)> storeRecovered;
        /** Called with the present time when the view has become that of a newer era, before its content is
         * passed on. */
        std::function<void(TimePoint)> storeRestored;
        /** True when this VM reads the store for its availability zone. */
        std::function<bool()> isReader;
        /** True when other VMs depend on this one for changes. */
        std::function<bool()> isSource;
        /** Address of a peer of the chosen kind; empty when none is known. */
        std::function<std::optional<ListenAddress>(PeerChoice)> peerAddress;
        /** See StoreView; may be empty. */
        StoreView::Outranks outranks {};
    };

    StoreSync(boost::asio::io_context& ioContext, store::PolledStore& store, std::string prefix,
        SyncIntervals intervals, Hooks hooks, telemetry::Metrics& metrics);

    /** Asks a VM that has newer changes, or if none is given the usual source, at once. */
    void refresh(const std::optional<ListenAddress>& peer, TimePoint now);
    /** Sends the requests that are due; call about every 100 ms. */
    void step(TimePoint now);
    const StoreView& view() const { return view_; }
    /** True if the view is of an older era than the newest one known. */
    bool isOfOldEra() const { return !view_.isEmpty() && store_.eras().current() > view_.era(); }
    /** Time since the view was last known to match the store, or since the start while it is empty. */
    Duration age(TimePoint now) const;

private:
    void requestFromStore(TimePoint now);
    void listStore(TimePoint requestedAt);
    void pollStore(TimePoint requestedAt, Duration wait);
    void handleStoreResponse(
        const ViewUpdate& update, ViewPosition base, TimePoint requestedAt, TimePoint now);
    void handleStoreFailure(const Error& reason, TimePoint requestedAt, TimePoint now);
    void requestFromPeer(const ListenAddress& peer, TimePoint now);
    void handlePeerFailure(const ListenAddress& peer, const Error& reason);
    /** @param reachedAt time at which the store is known to have answered to the source of the update */
    void applyUpdate(const ViewUpdate& update, ViewPosition base, TimePoint reachedAt, TimePoint now);
    /** Takes over what other VMs retain from an earlier era. */
    void applyRetained(const ViewUpdate& update);
    void handleRestore(ViewPosition before, TimePoint now);
    void reportInvalidEras(TimePoint now);

    boost::asio::io_context& ioContext_;
    store::PolledStore& store_;
    const std::string prefix_;
    const SyncIntervals intervals_;
    const Hooks hooks_;
    telemetry::Counter& storeCalls_;
    telemetry::Counter& storeFailures_;
    telemetry::Counter& peerCalls_;
    telemetry::Counter& peerFailures_;
    telemetry::Counter& restores_;
    telemetry::Counter& invalidEras_;
    const TimePoint startedAt_;
    StoreView view_;
    bool storeRequestPending_ = false;
    bool peerRequestPending_ = false;
    /** The store has compacted the changes since the view's revision. */
    bool historyCompacted_ = false;
    TimePoint lastStoreResponseAt_ {};
    TimePoint nextStoreRequestAt_ {};
    TimePoint lastPeerRequestAt_ {};
    std::optional<TimePoint> lastPeerResponseAt_;
    unsigned consecutiveStoreFailures_ = 0;
    TimePoint storeFailingSince_ {};
    TimePoint lastFailedCallAt_ {};
    /** Latest time at which the store is known to have answered, to this VM or to one that it polls. */
    TimePoint storeReachedAt_;
    /** Until then, other VMs are asked for entries that they retain. */
    TimePoint retainedWantedUntil_ {};
    std::optional<TimePoint> invalidEraLoggedAt_;
    bool peerFailing_ = false;
    ListenAddress peerAddress_;
    std::shared_ptr<store::HttpClient> peerClient_;
};

} // namespace banyancroft::gateway
