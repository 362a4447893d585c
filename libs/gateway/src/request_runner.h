#pragma once

#include "attempts.h"
#include "dispatch/request_plan.h"
#include "dispatch/success_outlook.h"
#include "gather_response.h"
#include "quota/credit_ledger.h"
#include "request_routing.h"
#include "traffic_manager.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace banyancroft::gateway {

/**
 * Executes one routed request of a caller: performs the steps of a RequestPlan on connections to replicas
 * and responds to the caller. Kept alive by its timer until it has responded; sub-requests that are still
 * in progress then complete on their own.
 */
class RequestRunner : public std::enable_shared_from_this<RequestRunner> {
public:
    /** Rejects the request immediately if it cannot be routed, otherwise starts a runner for it. */
    static void run(TrafficManager& traffic, const IncomingRequest& request, TimePoint now);

    RequestRunner(TrafficManager& traffic, const IncomingRequest& request, RoutedRequest routed);

private:
    void start(TimePoint now);
    void handleCredit(const quota::CreditResult& credit, TimePoint now);
    /** Plans the request and sends it. @pre the request is within its customer's limit */
    void begin(TimePoint now);
    void runPlan(TimePoint now);
    void wait(TimePoint until, TimePoint now);
    /** Starts an attempt for a step, or reports to the plan why none can be started. */
    void send(const dispatch::Step& step, TimePoint now);
    /** Selects a replica that has not received the request, otherwise one that it may be resent to. */
    upstreams::Placement selectReplica(
        const dispatch::Step& step, std::span<const std::uint64_t> tried, TimePoint now);
    /** What is known of the replicas that may receive the next send. */
    dispatch::ShardOutlook shardOutlook(
        const dispatch::Step& step, std::span<const std::uint64_t> tried, TimePoint now) const;
    /**
     * Returns true, and logs the reasons, if the shard certainly cannot deliver before the deadline.
     * @param repeatAt earliest time of a repeat, if the retry budget has denied one
     */
    bool isLost(const dispatch::Step& step, std::span<const std::uint64_t> tried,
        std::optional<TimePoint> repeatAt, TimePoint now);
    /** Marks the shards that cannot deliver, before anything is sent. */
    void excludeLostShards(TimePoint now);
    /** Counts a request that ends because shards were lost. */
    bool recordEarlyEnd(TimePoint now);
    void connect(const AttemptPointer& attempt, TimePoint now);
    void sendOnConnection(
        const AttemptPointer& attempt, const std::shared_ptr<UpstreamConnection>& connection, TimePoint now);
    std::string serialiseHeadFor(const upstreams::Upstream& upstream, TimePoint now) const;
    void handleAttemptEnd(const AttemptPointer& attempt, ExchangeOutcome outcome,
        const ExchangeResponse* response, TimePoint now);
    void handleResponse(const AttemptPointer& attempt, const ExchangeResponse& response, TimePoint now);
    /** Time after which an attempt that is still connecting is detached in favour of another replica. */
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
    Duration previousAttemptsTime() const;
    dispatch::PlanRules planRules() const;

    TrafficManager& traffic_;
    const std::function<void(const http::Response&, bool)> respond_;
    const std::function<void(std::function<void()>)> onDisconnect_;
    http::RequestHead head_;
    const std::shared_ptr<const std::string> body_;
    /** The body and the parts received so far. */
    MemoryHolder memory_;
    std::string requestId_;
    const TimePoint arrivedAt_;
    const bool openedConnection_;
    const Duration returnDelay_;
    std::shared_ptr<const routing::RouteTable> routes_;
    const routing::Route& route_;
    const routing::Customer* const customer_;
    RouteHistory& history_;
    /** Time limit that the caller set for this attempt. */
    const Duration deadline_;
    ServiceId selectedService_;
    std::optional<dispatch::RequestPlan> plan_;
    dispatch::SuccessOutlook outlook_;
    std::vector<AttemptPointer> attempts_;
    std::vector<ShardResult> shardResults_;
    std::optional<http::Response> result_;
    /** Most recent failure response of a replica, for routes without scatter-gather. */
    std::optional<http::Response> failureResponse_;
    boost::asio::steady_timer timer_;
    unsigned repeats_ = 0;
    /** An attempt failed because this VM lacked memory for the response. */
    bool lackedMemory_ = false;
    bool finished_ = false;
    bool hasCredit_ = false;
    bool runningPlan_ = false;
};

} // namespace banyancroft::gateway
