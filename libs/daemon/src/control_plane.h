#pragma once

#include "claims/claims.h"
#include "command_result.h"
#include "configuration_driver.h"
#include "daemon/settings.h"
#include "membership_driver.h"
#include "peer_network.h"
#include "query/statement.h"
#include "routing_table.h"
#include "store/etcd_store.h"
#include "telemetry/metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <random>
#include <set>

namespace banyancroft::daemon {

/**
 * Maintains the membership of the own zone, the views of all zones and the configuration in force, and
 * exchanges views and configuration with peers.
 *
 * Lives on the control thread and is called only there.
 */
class ControlPlane {
public:
    struct Hooks {
        /** Called with each new routing table, after onAuthority was called for the authorities that belong
         * to it. */
        std::function<void(RoutingTablePointer)> onRouting;
        std::function<void(const UpstreamId&, const Authority&)> onAuthority;
        decltype(MembershipDriver::Hooks::collectInFlight) collectInFlight;
        std::function<void()> onHandOverDone;
    };

    /** Counters of the bytes exchanged between the control threads of daemons. */
    struct ByteCounters {
        telemetry::Counter& sent;
        telemetry::Counter& received;
    };

    ControlPlane(boost::asio::io_context& ioContext, const Settings& settings, Incarnation incarnation,
        std::string ownAddress, ByteCounters counters, Hooks hooks);
    ~ControlPlane();

    void start();
    /** Begins the hand-over of a planned stop. */
    void stop();

    /** Handles a message of another daemon; `vm` is empty when the sender is not known from a Hello. */
    void onMessage(const VmId& vm, wire::Message message, const std::function<void(wire::Message)>& reply);

    /** Runs an operator's command; searches, submits and explain are not commands. */
    void runCommand(const query::Statement& statement, const std::function<void(CommandResult)>& callback);

    claims::Claims& claims() { return claims_; }
    MembershipDriver& members() { return members_; }
    ConfigurationDriver& configuration() { return configuration_; }
    const config::Document* document() const { return document_.get(); }
    /** True when the configuration is known and lets the own zone serve. */
    bool serving() const;
    /** True when this daemon takes part in its zone's view, or could not join for so long that it serves
     * without. */
    bool joinedOrTimedOut() const;
    /** Authority over an upstream of the own zone. */
    Authority authority(const UpstreamId& upstream) const;

private:
    void scheduleTick();
    void scheduleHeartbeat();
    void scheduleVmList();
    void tick();
    void heartbeat();

    void readStore();
    void scheduleRead();
    void watchStore();
    void watchPrefix(const std::string& prefix);
    void onStoreValues(std::span<const store::KeyValue> values);
    void onDocument(std::shared_ptr<const config::Document> document);
    void rebuildRouting();

    wire::Digest digest() const;
    CommandResult release(const query::ReleaseZone& statement);
    CommandResult show(const query::Show& statement) const;
    CommandResult status() const;

    void onDigest(const wire::Digest& digest, const std::function<void(wire::Message)>& reply);
    void onStateRequest(const wire::StateRequest& request, const std::function<void(wire::Message)>& reply);
    void onStateReply(const wire::StateReply& reply);
    void requestState(const std::string& address);

    boost::asio::io_context& ioContext_;
    const Settings settings_;
    const std::string ownAddress_;
    Hooks hooks_;
    std::mt19937_64 random_;
    store::EtcdStore store_;
    PeerNetwork network_;
    MembershipDriver members_;
    ConfigurationDriver configuration_;
    claims::Claims claims_;
    std::shared_ptr<const config::Document> document_;
    /** Routing table published last. */
    RoutingTablePointer routing_;
    bool routingChanged_ = false;
    /** Store prefixes whose watch is running or being started. */
    std::set<std::string> watchedPrefixes_;
    TimePoint lastDigest_ {};
    const TimePoint startedAt_ = BootClock::now();
    boost::asio::steady_timer tickTimer_;
    boost::asio::steady_timer heartbeatTimer_;
    boost::asio::steady_timer vmTimer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace banyancroft::daemon
