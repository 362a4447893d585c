#include "handover_server.h"

#include "http/message_reader.h"
#include "http_listener.h"
#include "incoming_request.h"
#include "request_runner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace banyancroft::gateway {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using handover::DeclineReason;

/** Time between the acceptance of an offer and its Begin after which this VM or the connection was stalled.
 * The ingress VM may have placed the request elsewhere by then. */
constexpr Duration acceptanceLifetime = std::chrono::milliseconds(200);
/** Connections of other VMs. */
constexpr std::size_t maxSessions = 1000;
/** Offers of one connection that are accepted and have not begun. */
constexpr std::size_t maxAcceptedOffers = 1000;
/** Limits on a request that is handed over; those of callers are checked where they connect. */
constexpr std::size_t maxRequestHeaderBytes = 256 * 1024;
constexpr std::size_t maxRequestFrameBytes = 9 * 1024 * 1024;
/** A connection on which the ingress VM sends nothing for this long is dead: it sends a query every few
 * seconds. */
constexpr Duration maxIngressSilence = std::chrono::seconds(20);
/** Replicas that are leaving and are announced to ingress VMs that connect. */
constexpr std::size_t maxAnnounced = 500;
/** CPU time of sending one sub-request and reading its response, as gateway_benchmark reports it. */
constexpr Duration subRequestCpuTime = std::chrono::microseconds(20);
constexpr Duration utilizationInterval = std::chrono::seconds(1);
/** Change of the utilization that is sent to ingress VMs. */
constexpr double reportedUtilizationStep = 0.1;

} // namespace

/** The connection of one ingress VM. */
class HandoverServer::Session : public std::enable_shared_from_this<Session> {
public:
    Session(HandoverServer& server, tcp::socket socket)
        : server_(server)
        , socket_(std::move(socket))
        , acceptedMemory_(&server.traffic_.memory(), MemoryUse::Frames, [] {})
    {
    }

    void start(TimePoint now)
    {
        FrameConnection::Hooks hooks;
        hooks.frame = [weak = weak_from_this()](handover::Frame frame) {
            if (const auto self = weak.lock())
                std::visit([&](auto& value) { self->handle(value, BootClock::now()); }, frame);
        };
        hooks.skipped = [weak = weak_from_this()](const handover::SkippedFrame& frame) {
            if (const auto self = weak.lock(); self && frame.isOffer)
                self->decline(frame.number, DeclineReason::Overloaded);
        };
        hooks.closed = [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->handleClosed();
        };
        hooks.memory = &server_.traffic_.memory();
        connection_
            = std::make_shared<FrameConnection>(std::move(socket_), maxRequestFrameBytes, std::move(hooks));
        connection_->start(now);
        for (const auto& [upstream, leaving] : server_.leaving_)
            send(leaving);
    }

    void send(const handover::Frame& frame) { connection_->send(frame); }
    void close() { connection_->close(); }
    bool isSilent(TimePoint now) const { return now - connection_->lastReceivedAt() >= maxIngressSilence; }
    bool hasRunning() const { return !running_.empty(); }

private:
    struct AcceptedOffer {
        std::string request;
        TimePoint acceptedAt {};
    };

    void removeAccepted(std::map<std::uint64_t, AcceptedOffer>::iterator offer, std::size_t bytes)
    {
        accepted_.erase(offer);
        acceptedMemory_.hold(acceptedMemory_.held() - bytes);
    }

    void decline(std::uint64_t number, DeclineReason reason)
    {
        send(handover::Decline { number, reason, server_.traffic_.configuration().version().value });
    }

    void handle(handover::Offer& offer, TimePoint now)
    {
        const auto version = server_.traffic_.configuration().version().value;
        if (offer.configurationVersion > version) {
            server_.hooks_.configurationOutdated();
            return decline(offer.number, DeclineReason::OlderConfiguration);
        }
        if (const auto reason = server_.hooks_.whyDeclined())
            return decline(offer.number, *reason);
        if (accepted_.size() >= maxAcceptedOffers || accepted_.contains(offer.number))
            return decline(offer.number, DeclineReason::Overloaded);
        const auto held = acceptedMemory_.held() + offer.request.size();
        if (offer.request.size() <= MemoryHolder::ordinaryRequestBytes) {
            acceptedMemory_.hold(held);
        } else if (!acceptedMemory_.tryHold(held, now)) {
            server_.traffic_.metrics().memoryRefused.add();
            return decline(offer.number, DeclineReason::Overloaded);
        }
        accepted_[offer.number] = { std::move(offer.request), now };
        send(handover::Acceptance { offer.number, version });
    }

    void handle(const handover::Begin& begin, TimePoint now)
    {
        const auto found = accepted_.find(begin.number);
        if (found == accepted_.end())
            return;
        const auto offer = std::move(found->second);
        removeAccepted(found, offer.request.size());
        if (now - offer.acceptedAt > acceptanceLifetime)
            return decline(begin.number, DeclineReason::Lapsed);
        http::MessageReader reader(
            http::MessageReader::Kind::Request, { maxRequestHeaderBytes, maxRequestFrameBytes });
        std::size_t consumed = 0;
        if (reader.read(offer.request, consumed) != http::ReadState::Complete)
            return decline(begin.number, DeclineReason::Malformed);
        running_.emplace(begin.number, nullptr);
        ++server_.pendingRequests_;
        const auto number = begin.number;
        RequestRunner::run(server_.traffic_,
            { [weak = weak_from_this(), number](const http::Response& response, bool) {
                 if (const auto self = weak.lock())
                     self->answer(number, response);
             },
                [weak = weak_from_this(), number](std::function<void()> handler) {
                    if (const auto self = weak.lock(); self && self->running_.contains(number))
                        self->running_[number] = std::move(handler);
                },
                reader.request(), reader.body(), now - begin.elapsed - begin.returnDelay,
                begin.openedConnection, begin.returnDelay },
            now);
    }

    void handle(const handover::Cancel& cancel, TimePoint)
    {
        if (const auto offer = accepted_.find(cancel.number); offer != accepted_.end())
            removeAccepted(offer, offer->second.request.size());
        const auto found = running_.find(cancel.number);
        if (found == running_.end())
            return;
        const auto disconnected = std::move(found->second);
        running_.erase(found);
        --server_.pendingRequests_;
        if (disconnected)
            disconnected();
    }

    void handle(const handover::StatusQuery&, TimePoint now) { send(server_.status(now)); }
    void handle(const handover::CreditRequest& request, TimePoint)
    {
        send(server_.hooks_.creditRequested(request));
    }
    void handle(const handover::CreditReturn& credit, TimePoint)
    {
        server_.hooks_.creditReturned(credit.customer);
    }
    /** Frames that only dispatchers send. */
    template <typename Other> void handle(const Other&, TimePoint) { close(); }

    void answer(std::uint64_t number, const http::Response& response)
    {
        if (running_.erase(number) == 0)
            return;
        --server_.pendingRequests_;
        send(handover::Answer { number, response });
    }

    /** The ingress VM is gone, and with it the callers. */
    void handleClosed()
    {
        const auto self = shared_from_this();
        accepted_.clear();
        acceptedMemory_.hold(0);
        const auto running = std::exchange(running_, {});
        server_.pendingRequests_ -= running.size();
        server_.sessions_.erase(self);
        for (const auto& [number, disconnected] : running) {
            if (disconnected)
                disconnected();
        }
    }

    HandoverServer& server_;
    tcp::socket socket_;
    std::shared_ptr<FrameConnection> connection_;
    std::map<std::uint64_t, AcceptedOffer> accepted_;
    /** The requests of accepted offers. */
    MemoryHolder acceptedMemory_;
    /** Handlers for the departure of the caller, by request. */
    std::map<std::uint64_t, std::function<void()>> running_;
};

HandoverServer::HandoverServer(TrafficManager& traffic, Hooks hooks)
    : traffic_(traffic)
    , hooks_(std::move(hooks))
    , acceptor_(traffic.ioContext())
{
}

HandoverServer::~HandoverServer()
{
    const auto sessions = sessions_;
    for (const auto& session : sessions)
        session->close();
}

bool HandoverServer::listen(const ListenAddress& address, Error& reason)
{
    if (!openListener(acceptor_, address, reason))
        return false;
    accept();
    return true;
}

void HandoverServer::accept()
{
    if (accepting_ || sessions_.size() >= maxSessions)
        return;
    accepting_ = true;
    acceptor_.async_accept([this](const error_code& failure, tcp::socket socket) {
        accepting_ = false;
        if (failure == boost::asio::error::operation_aborted)
            return;
        if (!failure) {
            const auto session = std::make_shared<Session>(*this, std::move(socket));
            sessions_.insert(session);
            session->start(BootClock::now());
            accept();
        }
        // After a failure, tick() accepts again: running out of descriptors must not become a busy loop.
    });
}

void HandoverServer::announceLeaving(const upstreams::UpstreamRecord& upstream)
{
    // Ingress VMs that connect later learn of older ones from the store.
    if (leaving_.size() >= maxAnnounced)
        leaving_.clear();
    const handover::UpstreamLeaving leaving { upstream.id, upstream.startedAtUnixMillis };
    leaving_[upstream.id] = leaving;
    const auto sessions = sessions_;
    for (const auto& session : sessions)
        session->send(leaving);
}

handover::Status HandoverServer::status(TimePoint now)
{
    handover::Status status;
    status.accepting = !hooks_.whyDeclined().has_value();
    if (traffic_.reach().isCutOff(now))
        status.cutOffFor = now - traffic_.reach().cutOffSince();
    status.utilization = utilization_;
    return status;
}

void HandoverServer::updateUtilization(TimePoint now)
{
    const auto interval = now - countedAt_;
    if (interval < utilizationInterval)
        return;
    const auto count = traffic_.metrics().subRequests.value();
    const auto busy = scaled(subRequestCpuTime, static_cast<double>(count - countedSubRequests_));
    if (countedAt_ != TimePoint {})
        utilization_
            = std::clamp(toMillis(busy) / toMillis(interval) / traffic_.settings().processors, 0.0, 1.0);
    countedSubRequests_ = count;
    countedAt_ = now;
}

void HandoverServer::tick(TimePoint now)
{
    updateUtilization(now);
    const auto current = status(now);
    const bool changed = !sentStatus_ || sentStatus_->accepting != current.accepting
        || sentStatus_->cutOffFor.has_value() != current.cutOffFor.has_value()
        || std::abs(sentStatus_->utilization - current.utilization) >= reportedUtilizationStep;
    if (changed)
        sentStatus_ = current;
    std::vector<std::shared_ptr<Session>> silent;
    for (const auto& session : sessions_) {
        // A session with running requests also needs signs of life.
        if (changed || session->hasRunning())
            session->send(current);
        if (session->isSilent(now))
            silent.push_back(session);
    }
    for (const auto& session : silent)
        session->close();
    accept();
}

} // namespace banyancroft::gateway
