#pragma once

#include "admission/upstream_admission.h"
#include "connection.h"
#include "home/home.h"
#include "request_table.h"
#include "upstream_protocol.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace banyancroft::home {

/**
 * Holds the connections to one upstream and sends what its UpstreamAdmission lets through.
 *
 * One of the declared connections is kept for cancellation and health polls. Owned by Home, used on its
 * thread.
 */
class UpstreamDriver {
public:
    UpstreamDriver(asio::io_context& ioContext, RequestTable& requests, std::mt19937_64& random,
        const Target& target, const config::Policy& policy);
    ~UpstreamDriver();
    UpstreamDriver(const UpstreamDriver&) = delete;
    UpstreamDriver& operator=(const UpstreamDriver&) = delete;

    const UpstreamId& id() const { return target_.upstream.id; }

    void apply(const Target& target, const config::Policy& policy, TimePoint now);
    void setAuthority(const Authority& authority, TimePoint now);
    /** Refuses new work and gives back what is queued; `onFinished` runs when nothing is in flight. */
    void retire(TimePoint now, std::function<void()> onFinished);
    bool finished() const { return retired_ && inFlight() == 0; }

    void enqueue(RequestHandle work, TimePoint now);
    void cancel(RequestHandle work, TimePoint now);
    /** Sends what may be sent; called after the items of a batch were queued. */
    void pump(TimePoint now);

    unsigned inFlight() const { return admission_.running(); }
    std::uint64_t coldStarts() const { return admission_.guard().coldStarts(); }
    TargetStatus status(TimePoint now) const;

private:
    /** What a connection is doing with its last request. */
    enum class Phase : std::uint8_t {
        Idle,
        Running,
        /** The item is answered, but the upstream may still run the request: the slot stays taken. */
        Abandoned,
        /** The upstream confirmed the cancellation; the connection still waits for the reply. */
        Cancelled,
    };

    struct Lane {
        std::shared_ptr<Connection> connection;
        Phase phase = Phase::Idle;
        /** Boot generation that a reply on this connection showed; zero for none. */
        std::uint64_t verifiedGeneration = 0;
        admission::ConnectionTrust trust = admission::ConnectionTrust::Unverified;
        RequestHandle work = 0;
        TimePoint sentAt {};
        /** End of the wait for connection, reply, or late reply, depending on the phase. */
        TimePoint waitUntil = TimePoint::max();
    };

    enum class ControlTask : std::uint8_t { None, Health, Cancel };

    unsigned allowedConnections(TimePoint now) const;
    unsigned allowedLanes(TimePoint now) const;
    admission::ConnectionTrust trustOf(const Lane& lane) const;
    Lane* idleLane();
    bool anyConnected() const;
    void openLanes(TimePoint now);
    void openLane(TimePoint now);
    void closeLane(const Lane& lane);
    void closeSurplus(TimePoint now);

    bool sendNext(Lane& lane);
    void onConnected(Lane& lane);
    void onResponse(Lane& lane, const Response& response);
    void onLost(Lane& lane, Connection::Lost lost, const std::string& detail);
    void connectFailed(TimePoint now, const std::string& detail);
    wire::SubreplyItem judge(const Request& request, const Response& response,
        const std::optional<ReplyHeaders>& headers, std::string& detail);
    void observe(Lane& lane, const Response& response, const ReplyHeaders& headers, TimePoint now);
    void abandon(Lane& lane, Reason reason, TimePoint now);
    /** Gives the slot of a lane back and ends its request. */
    void freeSlot(Lane& lane);

    void giveBack(TimePoint now);
    void answer(RequestHandle work, Outcome outcome, Reason reason, std::string detail, TimePoint now);
    void fillState(wire::SubreplyItem& item) const;
    std::string describe(TimePoint now) const;

    void schedule(TimePoint at);
    void onTimer();
    void checkWaits(TimePoint now);

    bool wantsControl(TimePoint now) const;
    void openControl(TimePoint now);
    void controlNext(TimePoint now);
    void onControlResponse(const Response& response);
    void onControlLost(Connection::Lost lost, const std::string& detail);
    void closeControl();
    Duration jittered(Duration duration);

    asio::io_context& ioContext_;
    RequestTable& requests_;
    std::mt19937_64& random_;
    Target target_;
    config::Policy policy_;
    std::string host_;
    std::optional<asio::ip::tcp::endpoint> endpoint_;
    admission::UpstreamAdmission admission_;
    std::vector<admission::Refusal> refused_;
    std::vector<std::unique_ptr<Lane>> lanes_;
    bool retired_ = false;
    std::function<void()> onFinished_;

    unsigned connectFailures_ = 0;
    TimePoint connectAgainAt_ {};
    std::string lastFailure_;

    std::shared_ptr<Connection> control_;
    ControlTask controlTask_ = ControlTask::None;
    TimePoint controlWaitUntil_ = TimePoint::max();
    TimePoint nextHealthAt_ {};
    RequestHandle cancelling_ = 0;
    std::deque<RequestHandle> cancels_;

    std::vector<IndexVersion> servedIndexes_;
    std::vector<LayoutVersion> servedLayouts_;

    asio::steady_timer timer_;
    TimePoint armedFor_ = TimePoint::max();
    /** Expires with this object: an expired timer's handler may already be queued then. */
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace banyancroft::home
