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
        std::function<void(const ViewUpdate&)> updated;
        /** The store, or the VM that reads it, can be reached again since this time after an outage. */
        std::function<void(TimePoint)> storeReturned;
        /** True when this VM reads the store for its availability zone. */
        std::function<bool()> isReader;
        /** Address of another VM to ask; empty when none is known. */
        std::function<std::optional<ListenAddress>(PeerChoice)> peer;
    };

    StoreSync(boost::asio::io_context& ioContext, store::PolledStore& store, std::string prefix,
        SyncPauses pauses, Hooks hooks, telemetry::Metrics& metrics);

    /** Asks where it is time to ask; to be called every 100 ms or so. */
    void step(TimePoint now);
    const StoreView& view() const { return view_; }
    /** Time since the view was known to be the store's newest; since the start without a view. */
    Duration age(TimePoint now) const;

private:
    void askStore(TimePoint now);
    void list(TimePoint askedAt);
    void poll(TimePoint askedAt, Duration wait);
    void storeAnswered(ViewUpdate update, store::Revision askedAfter, TimePoint now);
    void storeFailed(const Error& reason, TimePoint askedAt, TimePoint now);
    void askPeer(const ListenAddress& peer, TimePoint now);
    void peerFailed(const ListenAddress& peer, const Error& reason);
    void takeOver(const ViewUpdate& update, store::Revision askedAfter);

    boost::asio::io_context& ioContext_;
    store::PolledStore& store_;
    const std::string prefix_;
    const SyncPauses pauses_;
    const Hooks hooks_;
    telemetry::Counter& storeCalls_;
    telemetry::Counter& storeFailures_;
    telemetry::Counter& peerCalls_;
    telemetry::Counter& peerFailures_;
    const TimePoint startedAt_;
    StoreView view_;
    bool storeBusy_ = false;
    bool peerBusy_ = false;
    /** The store no longer knows the changes since the view's revision. */
    bool historyGone_ = false;
    TimePoint storeAnsweredAt_ {};
    TimePoint nextStoreCall_ {};
    TimePoint peerAskedAt_ {};
    unsigned storeFailuresInRow_ = 0;
    TimePoint storeFailsSince_ {};
    bool peerFails_ = false;
    ListenAddress peerAddress_;
    std::shared_ptr<store::HttpClient> peerClient_;
};

} // namespace banyancroft::gateway
