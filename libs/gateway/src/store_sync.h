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

/** Path at which a VM tells other VMs its view; the query holds the revision that they know. */
constexpr std::string_view relayPath = "/changes?after=";

/** True when an answer may have been cut short, so that more changes wait at the store. */
bool mayHaveMore(std::span<const store::KeyValue> changes);

/**
 * Keeps what the store holds in view: from the store itself, or from another VM that reads it. After a
 * failure it goes on from the last revision; when the store has forgotten that part of its history, it
 * lists anew. Runs on the thread of the io_context.
 */
class StoreSync {
public:
    struct Hooks {
        /** The view took over an update. */
        std::function<void(const ViewUpdate&)> viewUpdated;
        /** The store, or the VM that reads it, can be reached again since this time after an outage. */
        std::function<void(TimePoint)> storeRecovered;
        /** True when this VM reads the store for its availability zone. */
        std::function<bool()> isReader;
        /** Address of another VM to ask; empty when none is known. */
        std::function<std::optional<ListenAddress>(PeerChoice)> peerAddress;
    };

    StoreSync(boost::asio::io_context& ioContext, store::PolledStore& store, std::string prefix,
        SyncIntervals intervals, Hooks hooks, telemetry::Metrics& metrics);

    /** Asks where it is time to ask; to be called every 100 ms or so. */
    void step(TimePoint now);
    const StoreView& view() const { return view_; }
    /** Time since the view was known to be the store's newest; since the start without a view. */
    Duration age(TimePoint now) const;

private:
    void requestFromStore(TimePoint now);
    void listStore(TimePoint requestedAt);
    void pollStore(TimePoint requestedAt, Duration wait);
    void handleStoreResponse(ViewUpdate update, store::Revision baseRevision, TimePoint now);
    void handleStoreFailure(const Error& reason, TimePoint requestedAt, TimePoint now);
    void requestFromPeer(const ListenAddress& peer, TimePoint now);
    void handlePeerFailure(const ListenAddress& peer, const Error& reason);
    void applyUpdate(const ViewUpdate& update, store::Revision baseRevision);

    boost::asio::io_context& ioContext_;
    store::PolledStore& store_;
    const std::string prefix_;
    const SyncIntervals intervals_;
    const Hooks hooks_;
    telemetry::Counter& storeCalls_;
    telemetry::Counter& storeFailures_;
    telemetry::Counter& peerCalls_;
    telemetry::Counter& peerFailures_;
    const TimePoint startedAt_;
    StoreView view_;
    bool storeRequestPending_ = false;
    bool peerRequestPending_ = false;
    /** The store no longer knows the changes since the view's revision. */
    bool historyCompacted_ = false;
    TimePoint lastStoreResponseAt_ {};
    TimePoint nextStoreRequestAt_ {};
    TimePoint lastPeerRequestAt_ {};
    unsigned consecutiveStoreFailures_ = 0;
    TimePoint storeFailingSince_ {};
    bool peerFailing_ = false;
    ListenAddress peerAddress_;
    std::shared_ptr<store::HttpClient> peerClient_;
};

} // namespace banyancroft::gateway
