#pragma once

#include "gateway/store_item.h"
#include "rollout/rollout_driver.h"
#include "rollout/version_comparison.h"
#include "upstreams/registry.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace banyancroft::gateway {

/** Roll-out of one service: what the store says of it and the samples of its versions. */
struct ServiceRollout {
    explicit ServiceRollout(const rollout::RolloutLimits& limits)
        : driver(limits)
    {
    }

    rollout::RolloutDriver driver;
    /** Samples of this VM. */
    std::unique_ptr<rollout::VersionComparison> own;
    /** Samples of all VMs; collected while this VM drives the service. */
    std::unique_ptr<rollout::VersionComparison> fleet;
    /** Totals of each VM that were merged into `fleet`. */
    std::map<VmId, std::map<rollout::SampleGroup, rollout::SampleCounts>> merged;
    std::optional<rollout::Division> division;
};

/** Roll-outs in a full listing of the store. */
struct RolloutListing {
    std::map<ServiceId, rollout::Order> orders;
    std::map<ServiceId, rollout::Status> statuses;
    std::map<ServiceId, rollout::Step> steps;

    /** Keeps the item if it belongs to a roll-out. */
    void add(const StoreItem& item);
};

/** Candidates of one send, by version. */
struct VersionCandidates {
    std::vector<upstreams::UpstreamPointer> preferred;
    /** Used if no preferred replica can take the request. */
    std::vector<upstreams::UpstreamPointer> fallback;
    /** The fallback is used instead of waiting for a preferred replica. */
    bool withoutWaiting = false;
};

/**
 * Roll-outs of all services as this VM sees them. Divides requests between versions and collects samples of
 * both. Holds nothing and costs nothing for services without an order. Owned by the traffic thread; no I/O.
 */
class Rollouts {
public:
    explicit Rollouts(const rollout::RolloutLimits& limits)
        : limits_(limits)
    {
    }

    bool isEmpty() const { return services_.empty(); }
    /** Applies a change of a roll-out; ignores other items. */
    void apply(const StoreItem& item, TimePoint now);
    /** Replaces everything that is known from the store. */
    void applyListing(RolloutListing listing, TimePoint now);
    void apply(const RolloutOrder& change, TimePoint now);
    void apply(RolloutStatus change, TimePoint now);
    void apply(RolloutStep change, TimePoint now);
    /** The store was restored from a copy; a listing of it must follow. */
    void storeRestored(TimePoint now);
    /** Updates the divisions, which change with time, and forgets services about which nothing is known. */
    void update(TimePoint now);
    std::unordered_map<ServiceId, ServiceRollout>& services() { return services_; }
    const std::unordered_map<ServiceId, ServiceRollout>& services() const { return services_; }

    /** Division of the service's requests; nullptr if all versions are used. */
    const rollout::Division* division(const ServiceId& service) const;
    /**
     * Divides the replicas of a service for one send.
     * @param requestId decides on the version, so that it stays the same while the send waits
     * @param isRepeat the request was sent to the service before
     */
    static VersionCandidates candidates(const rollout::Division& division, const ServiceId& service,
        std::span<const upstreams::UpstreamPointer> replicas, std::string_view requestId, bool isRepeat);

    /** @param hasLatency false if the latency says nothing about the version */
    void record(const upstreams::Upstream& upstream, std::string_view route, bool failed, bool hasLatency,
        TimePoint sentAt, TimePoint now);

private:
    ServiceRollout& service(const ServiceId& id);
    void updateDivision(const ServiceId& id, ServiceRollout& rollout, TimePoint now);

    rollout::RolloutLimits limits_;
    std::unordered_map<ServiceId, ServiceRollout> services_;
};

} // namespace banyancroft::gateway
