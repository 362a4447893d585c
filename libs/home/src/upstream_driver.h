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
 * Manages the connections to one upstream and sends the requests that its UpstreamAdmission admits.
 *
 * One of the declared connections, the control connection, is reserved for cancellation and health polls;
 * each of the others is a channel that carries one request at a time. Owned by Home, used on its thread.
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
    /** Refuses new requests and those in the queue; `onFinished` runs when no request is in flight. */
    void retire(TimePoint now, std::function<void()> onFinished);
    bool finished() const { return retired_ && inFlight() == 0; }

    void enqueue(RequestHandle handle, TimePoint now);
    void cancel(RequestHandle handle, TimePoint now);
    /** Sends queued requests as far as limits allow, and opens and closes connections as needed. Called after
     * the items of a batch were queued. */
    void pump(TimePoint now);

    unsigned inFlight() const { return admission_.running(); }
    std::uint64_t coldStarts() const { return admission_.guard().coldStarts(); }
    TargetStatus status(TimePoint now) const;

private:
    /** State of the last request on a channel. */
    enum class Phase : std::uint8_t {
        Idle,
        Running,
        /** The item is answered, but the upstream may still run the request, so the slot stays occupied. */
        Abandoned,
        /** The upstream confirmed the cancellation; the reply to the request is still awaited. */
        Cancelled,
    };

    /** A connection for searches and submits. */
    struct Channel {
        std::shared_ptr<Connection> connection;
        Phase phase = Phase::Idle;
        /** Boot generation confirmed by a reply on this connection; zero before the first one. */
        std::uint64_t verifiedGeneration = 0;
        admission::ConnectionTrust trust = admission::ConnectionTrust::Unverified;
        RequestHandle handle = 0;
        TimePoint sentAt {};
        /** Time-out for the connection, the reply or the late reply, depending on the phase. */
        TimePoint timeoutAt = TimePoint::max();
    };

    enum class ControlTask : std::uint8_t { None, Health, Cancel };

    unsigned allowedConnections(TimePoint now) const;
    unsigned allowedChannels(TimePoint now) const;
    admission::ConnectionTrust trustOf(const Channel& channel) const;
    Channel* idleChannel();
    bool anyConnected() const;
    void openChannels(TimePoint now);
    void openChannel(TimePoint now);
    void closeChannel(const Channel& channel);
    void closeSurplusConnections(TimePoint now);

    bool sendNext(Channel& channel);
    void onConnected(Channel& channel);
    void onResponse(Channel& channel, const Response& response);
    void onLost(Channel& channel, Connection::LossReason reason, const std::string& detail);
    void connectFailed(TimePoint now, const std::string& detail);
    wire::SubreplyItem interpret(const Request& request, const Response& response,
        const std::optional<ReplyHeaders>& headers, std::string& detail);
    void recordObservation(
        Channel& channel, const Response& response, const ReplyHeaders& headers, TimePoint now);
    void abandon(Channel& channel, Reason reason, TimePoint now);
    /** Releases the slot and the request of a channel. */
    void releaseSlot(Channel& channel);

    void answerRefusals(TimePoint now);
    void answer(RequestHandle handle, Outcome outcome, Reason reason, std::string detail, TimePoint now);
    void fillUpstreamState(wire::SubreplyItem& item) const;
    std::string describeState(TimePoint now) const;

    void schedule(TimePoint at);
    void onTimer();
    void checkTimeouts(TimePoint now);

    bool needsControlConnection(TimePoint now) const;
    void openControlConnection(TimePoint now);
    void sendNextControlRequest(TimePoint now);
    void onControlResponse(const Response& response);
    void onControlLost(Connection::LossReason reason, const std::string& detail);
    void closeControlConnection();
    Duration jittered(Duration duration);

    asio::io_context& ioContext_;
    RequestTable& requests_;
    std::mt19937_64& random_;
    Target target_;
    config::Policy policy_;
    std::string host_;
    std::optional<asio::ip::tcp::endpoint> endpoint_;
    admission::UpstreamAdmission admission_;
    std::vector<admission::Refusal> refusals_;
    std::vector<std::unique_ptr<Channel>> channels_;
    bool retired_ = false;
    std::function<void()> onFinished_;

    unsigned connectFailures_ = 0;
    TimePoint nextConnectAt_ {};
    std::string lastFailure_;

    std::shared_ptr<Connection> control_;
    ControlTask controlTask_ = ControlTask::None;
    TimePoint controlTimeoutAt_ = TimePoint::max();
    TimePoint nextHealthPollAt_ {};
    RequestHandle requestBeingCancelled_ = 0;
    std::deque<RequestHandle> pendingCancellations_;

    std::vector<IndexVersion> servedIndexes_;
    std::vector<LayoutVersion> servedLayouts_;

    asio::steady_timer timer_;
    TimePoint armedFor_ = TimePoint::max();
    /** Expires with this object; the handler of an expired timer may still be queued at its destruction. */
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace banyancroft::home
