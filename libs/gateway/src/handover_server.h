#pragma once

#include "frame_connection.h"
#include "gateway/settings.h"
#include "traffic_manager.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_set>

namespace banyancroft::gateway {

/** Takes over requests that other VMs hand to this dispatcher. Not thread-safe. */
class HandoverServer {
public:
    struct Hooks {
        /** Reason why no request can be taken over now; empty if one can. */
        std::function<std::optional<handover::DeclineReason>()> whyDeclined;
        /** Called when another VM uses a newer configuration than this one. */
        std::function<void()> configurationOutdated;
        /** Answers a VM that asks for a customer's credit. */
        std::function<handover::CreditReply(const handover::CreditRequest&)> creditRequested;
        std::function<void(const CustomerId&)> creditReturned;
    };

    HandoverServer(TrafficManager& traffic, Hooks hooks);
    ~HandoverServer();
    HandoverServer(const HandoverServer&) = delete;
    HandoverServer& operator=(const HandoverServer&) = delete;

    /** @return false, with the cause in `reason`, if the address is invalid or cannot be bound */
    bool listen(const ListenAddress& address, Error& reason);
    /** Sends changes of the status and signs of life, closes silent connections; call about every 100 ms. */
    void tick(TimePoint now);
    /** Tells the ingress VMs that a replica is leaving, also those that connect later. */
    void announceLeaving(const upstreams::UpstreamRecord& upstream);
    /** Number of requests that have begun and are not answered. */
    std::size_t pendingRequests() const { return pendingRequests_; }
    /** Fraction of this VM's processors that its sends use, 0 to 1. */
    double utilization() const { return utilization_; }

private:
    class Session;

    void accept();
    handover::Status status(TimePoint now);
    void updateUtilization(TimePoint now);

    TrafficManager& traffic_;
    const Hooks hooks_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::unordered_set<std::shared_ptr<Session>> sessions_;
    /** What was announced, by replica. */
    std::map<UpstreamId, handover::UpstreamLeaving> leaving_;
    std::size_t pendingRequests_ = 0;
    double utilization_ = 0;
    std::uint64_t countedSubRequests_ = 0;
    TimePoint countedAt_ {};
    std::optional<handover::Status> sentStatus_;
    bool accepting_ = false;
};

} // namespace banyancroft::gateway
