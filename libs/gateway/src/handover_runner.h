#pragma once

#include "dispatcher_pool.h"
#include "handover/handover_plan.h"
#include "request_routing.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace banyancroft::gateway {

/** What the requests that an ingress VM hands over have in common. */
struct HandoverContext {
    TrafficManager& traffic;
    const DispatcherPool& dispatchers;
    /** Called when a dispatcher uses a newer configuration than this VM. */
    std::function<void(const VmId& dispatcher)> configurationOutdated;
};

/**
 * Hands one request of a caller to a dispatcher and passes the answer back; sends it to the replicas from
 * this VM when no dispatcher begins it. Kept alive by its timer until it has responded.
 */
class HandoverRunner : public std::enable_shared_from_this<HandoverRunner> {
public:
    /** Rejects the request immediately if it cannot be routed, otherwise starts a runner for it. */
    static void run(HandoverContext& context, const IncomingRequest& request, TimePoint now);

    HandoverRunner(HandoverContext& context, const IncomingRequest& request, RoutedRequest routed,
        const handover::HandoverRules& rules);

private:
    void start(TimePoint now);
    void runPlan(TimePoint now);
    void wait(TimePoint until, TimePoint now);
    void offer(TimePoint now);
    HandoverHooks linkHooks();
    void handleAccepted(const handover::Acceptance& acceptance, TimePoint now);
    void handleDeclined(const handover::Decline& decline, TimePoint now);
    void handleAnswered(const handover::Answer& answer, TimePoint now);
    void sendDirectly(TimePoint now);
    void fail(TimePoint now);
    void finish(const http::Response& response, std::string_view outcome, TimePoint now);
    void handleDisconnect(TimePoint now);

    HandoverContext& context_;
    const std::function<void(const http::Response&, bool)> respond_;
    const std::function<void(std::function<void()>)> onDisconnect_;
    const http::RequestHead head_;
    const std::string body_;
    MemoryHolder memory_;
    const TimePoint arrivedAt_;
    const bool openedConnection_;
    const RoutedRequest routed_;
    handover::HandoverPlan plan_;
    boost::asio::steady_timer timer_;
    std::vector<std::shared_ptr<DispatcherLink>> asked_;
    std::shared_ptr<DispatcherLink> link_;
    std::uint64_t number_ = 0;
    bool finished_ = false;
    bool runningPlan_ = false;
};

} // namespace banyancroft::gateway
