#pragma once

#include "attempts.h"
#include "caller_connection.h"
#include "dispatch/request_plan.h"
#include "gather_response.h"
#include "traffic_manager.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace banyancroft::gateway {

/**
 * One request of a caller from its route to its answer: carries out the steps of a RequestPlan on the
 * connections of replicas. Lives until it has answered; sub-requests that are still open then end on
 * their own.
 */
class RequestRunner : public std::enable_shared_from_this<RequestRunner> {
public:
    /** Answers the request at once, or starts a runner for it. */
    static void run(TrafficManager& traffic, const CallerRequest& request, TimePoint now);

    RequestRunner(TrafficManager& traffic, const CallerRequest& request,
        std::shared_ptr<const routing::RouteTable> routes, const routing::Route& route, Duration deadline);

private:
    void start(TimePoint now);
    void runPlan(TimePoint now);
    void wait(TimePoint until, TimePoint now);
    /** Starts the send of a step, or tells the plan why it cannot. */
    void send(const dispatch::Step& step, TimePoint now);
    /** Picks a replica that has not had the request, else one that may get it again. */
    upstreams::Placement selectReplica(
        const dispatch::Step& step, std::span<const std::uint64_t> tried, TimePoint now);
    void connect(const AttemptPointer& attempt, TimePoint now);
    void sendOnConnection(
        const AttemptPointer& attempt, const std::shared_ptr<UpstreamConnection>& connection, TimePoint now);
    std::string serialiseRequestFor(const upstreams::Upstream& upstream, TimePoint now) const;
    void handleAttemptEnd(const AttemptPointer& attempt, ExchangeOutcome outcome,
        const ExchangeResponse* response, TimePoint now);
    void handleResponse(const AttemptPointer& attempt, const ExchangeResponse& response, TimePoint now);
    /** When an attempt whose connection is still being opened makes room for another replica. */
    TimePoint connectLimit(const Attempt& attempt) const;
    void detachSlowConnects(TimePoint now);

    void respondWithResult(TimePoint now);
    void respondWithRefusal(TimePoint now);
    void respondWithFailure(TimePoint now);
    void finish(const http::Response& response, std::string_view outcome, TimePoint now);
    std::string describeOpenSends(TimePoint now) const;
    void handleDisconnect(TimePoint now);

    const ServiceId& serviceOf(std::size_t shard) const;
    Duration typicalResponseTime() const;
    dispatch::PlanRules planRules() const;

    TrafficManager& traffic_;
    std::shared_ptr<CallerConnection> caller_;
    http::RequestHead head_;
    std::string body_;
    std::string requestId_;
    const TimePoint arrivedAt_;
    const bool openedConnection_;
    std::shared_ptr<const routing::RouteTable> routes_;
    const routing::Route& route_;
    RouteHistory& history_;
    /** Time that the caller gave this attempt. */
    const Duration deadline_;
    ServiceId selectedService_;
    std::optional<dispatch::RequestPlan> plan_;
    std::vector<AttemptPointer> attempts_;
    std::vector<ShardResult> shardResults_;
    std::optional<http::Response> result_;
    /** Last answer of a replica that was no success, for requests to a single replica. */
    std::optional<http::Response> failureResponse_;
    boost::asio::steady_timer timer_;
    unsigned repeats_ = 0;
    bool finished_ = false;
    bool runningPlan_ = false;
};

} // namespace banyancroft::gateway
