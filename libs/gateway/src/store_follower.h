#pragma once

#include "gateway/settings.h"
#include "gateway/store_item.h"
#include "store/polled_store.h"
#include "telemetry/metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <span>
#include <string>

namespace banyancroft::gateway {

/**
 * Keeps what the store holds in view: lists all keys once, then asks for changes, with a pause between
 * the questions. After a failure it goes on from the last revision; when the store has forgotten that
 * part of its history, it lists anew.
 */
class StoreFollower {
public:
    struct Hooks {
        /** All keys, after a start and after a loss of history. */
        std::function<void(std::span<const store::KeyValue>)> listed;
        /** Changes since; deleted keys have revision zero. */
        std::function<void(std::span<const store::KeyValue>)> changed;
        /** The store answers again after a time without an answer. */
        std::function<void()> returned;
    };

    StoreFollower(boost::asio::io_context& ioContext, store::PolledStore& store, std::string prefix,
        Duration pause, Hooks hooks, telemetry::Metrics& metrics);

    void start();
    /** Time since the last answer of the store. */
    Duration silence(TimePoint now) const { return now - lastAnswer_; }

private:
    void list();
    void poll();
    void noteAnswer();
    /** Counts a failure and returns the pause before the next try. */
    Duration noteFailure(const Error& reason);

    boost::asio::steady_timer timer_;
    store::PolledStore& store_;
    const std::string prefix_;
    const Duration pause_;
    const Hooks hooks_;
    telemetry::Counter& calls_;
    telemetry::Counter& failures_;
    store::Revision revision_;
    TimePoint lastAnswer_;
    unsigned failuresInRow_ = 0;
};

} // namespace banyancroft::gateway
