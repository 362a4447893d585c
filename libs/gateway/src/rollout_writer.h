#pragma once

#include "gateway/store_item.h"
#include "membership.h"
#include "rollouts.h"
#include "store/http_client.h"
#include "store/polled_store.h"
#include "telemetry/metrics.h"
#include "traffic_manager.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace banyancroft::gateway {

/** Path at which a VM serves the totals of its samples to the VM that drives a roll-out. */
constexpr std::string_view rolloutSamplesPath = "/rollout-samples";

/**
 * Writes what the roll-outs of this VM decide to the store, and collects the samples of other VMs for the
 * services that this VM drives. Does nothing while no service has an order.
 */
class RolloutWriter {
public:
    /** All arguments except `metrics` must outlive the object, and all callbacks of the store. */
    RolloutWriter(boost::asio::io_context& ioContext, TrafficManager& traffic, const MemberTracker& members,
        store::PolledStore& store, const StoreLayout& layout, telemetry::Metrics& metrics);

    /** @param viewAge age of the view of the store */
    void tick(Duration viewAge, TimePoint now);
    /** Totals of this VM's samples, as served under rolloutSamplesPath. */
    std::string encodeSamples() const;

private:
    rollout::DriverInputs inputsOf(const ServiceId& id, ServiceRollout& rollout, Duration viewAge) const;
    void write(const ServiceId& id, const rollout::Write& write);
    void handleWritten(const ServiceId& id, const rollout::Write& write,
        std::optional<store::Revision> revision, const Error& reason);
    void collectSamples();
    void mergeSamples(const VmId& vm, std::string_view bytes, TimePoint now);
    /** Value of the gauge: the greatest share of the running roll-outs. */
    double greatestShare() const;
    std::size_t runningCount() const;

    boost::asio::io_context& ioContext_;
    TrafficManager& traffic_;
    const MemberTracker& members_;
    store::PolledStore& store_;
    const StoreLayout& layout_;
    std::map<VmId, std::shared_ptr<store::HttpClient>> peers_;
    std::map<VmId, ListenAddress> peerAddresses_;
    TimePoint nextCollection_ {};
    telemetry::Counter& completed_;
    telemetry::Counter& rolledBackForFailures_;
    telemetry::Counter& rolledBackForLatency_;
    telemetry::Counter& rolledBackOtherwise_;
    telemetry::Counter& writesFailed_;
    telemetry::Counter& samplesCollected_;
};

} // namespace banyancroft::gateway
