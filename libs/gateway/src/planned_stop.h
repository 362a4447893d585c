#pragma once

#include "base/time.h"
#include "http_listener.h"
#include "readiness.h"
#include "traffic_manager.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <optional>

namespace banyancroft::gateway {

/**
 * Stops the VM so that each request that was read gets an answer: requests are taken until callers have been
 * directed to other VMs, then refused, and what is still in progress at the end of the grace period is
 * answered with 502. shutdownPhase() decides. Runs on the thread of the io_context.
 */
class PlannedStop {
public:
    struct Hooks {
        /** Maximum duration of the stop. */
        std::function<Duration()> grace;
        /** Requests of other VMs that are in progress here. */
        std::function<std::size_t()> requestsOfOtherVms;
        /** Called once, when the process may exit. */
        std::function<void()> exit;
    };

    /** @param callers, traffic must outlive this object */
    PlannedStop(
        boost::asio::io_context& ioContext, HttpListener& callers, TrafficManager& traffic, Hooks hooks);

    /** Begins the stop; does nothing if it has begun. */
    void begin(TimePoint now);
    bool hasBegun() const { return begunAt_.has_value(); }
    /** False once there is too little time left for another request. */
    bool takesRequests() const { return phase_ != ShutdownPhase::Drain && phase_ != ShutdownPhase::Exit; }
    /** Refuses a request that was read after the last one that is taken. */
    void refuse(const CallerRequest& request, TimePoint now);

private:
    void step(TimePoint now);
    void stopAccepting(TimePoint now);
    void exit(TimePoint now);
    std::size_t pendingRequests() const;

    HttpListener& callers_;
    TrafficManager& traffic_;
    const Hooks hooks_;
    boost::asio::steady_timer timer_;
    std::optional<TimePoint> begunAt_;
    std::optional<TimePoint> stoppedAcceptingAt_;
    ShutdownPhase phase_ = ShutdownPhase::KeepAccepting;
};

} // namespace banyancroft::gateway
