#pragma once

#include "base/ids.h"
#include "base/outcome.h"
#include "base/time.h"
#include "config/document.h"
#include "search/topology.h"
#include "search/types.h"
#include "wire/messages.h"

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace banyancroft::search {

/** Versions that an upstream is known to serve; keeps the newest `capacity` of them. */
class VersionSet {
public:
    static constexpr std::size_t capacity = 6;

    /** False until the upstream has reported its versions; until then it is assumed to serve any version. */
    bool known() const { return known_; }
    bool contains(std::uint64_t version) const;
    /** True when the upstream serves the version or may do so. */
    bool mayContain(std::uint64_t version) const { return !known_ || contains(version); }
    std::span<const std::uint64_t> versions() const { return std::span(values_).first(size_); }

    /** Replaces the set; true when this changed it. */
    template <typename Version> bool assign(std::span<const Version> versions);
    /** Records that the version is not served; true when this changed the set. */
    bool exclude(std::uint64_t version);

private:
    void insert(std::uint64_t version);

    std::array<std::uint64_t, capacity> values_ {};
    std::uint8_t size_ = 0;
    bool known_ = false;
};

/** State of one upstream, from the current configuration and from its replies. */
struct UpstreamState {
    bool configured = false;
    bool draining = false;
    bool zoneServing = false;
    bool cold = false;
    /** Failures since the last successful answer. */
    std::uint8_t failures = 0;
    ZoneSlot zone = noSlot;
    /** Concurrent requests that the upstream handles when warm. */
    std::uint32_t slots = 1;

    /** Load reported in the last reply, and sub-requests sent by this thread since then. */
    std::uint32_t reportedLoad = 0;
    std::uint32_t sentSinceReport = 0;
    /** Time from which both decay exponentially. */
    TimePoint loadAt {};
    /** Number of times a hedge to another upstream was faster; decays exponentially from `hedgeLossesAt`. */
    std::uint32_t hedgeLosses = 0;
    TimePoint hedgeLossesAt {};

    /** Time of the last reply to any sub-request. */
    TimePoint lastReplyAt {};

    /** Not chosen before this time while other upstreams are available. */
    TimePoint avoidUntil {};
    /** Time of the next probe of a cold, failing or outdated upstream, and the interval after it. */
    TimePoint nextProbeAt {};
    Duration probeInterval {};

    VersionSet indexes;
    VersionSet layouts;

    /** When false, the upstream receives no new requests. */
    bool serving() const { return configured && !draining && zoneServing; }
    bool failing() const;
    /** True when it serves the snapshot or may serve it; a version of zero matches any. */
    bool mayServe(const Snapshot& snapshot) const;
};

/** Snapshot chosen for a query, with the topology of its layout. */
struct SnapshotChoice {
    std::shared_ptr<const Topology> topology;
    /** Index into Topology::collections. */
    std::uint32_t collection = 0;
    Snapshot snapshot;
    /** Number of groups with an upstream that serves the snapshot or may serve it. */
    std::uint32_t capableGroups = 0;
    std::uint32_t groups = 0;

    bool complete() const { return capableGroups == groups; }
};

/**
 * Holds the state of all upstreams for one traffic thread: the topology of the current configuration, and the
 * load, cold flag, versions and failures observed from replies.
 *
 *     ClusterState cluster;
 *     cluster.apply(document, now);
 *     cluster.recordSend(slot, now);
 *     cluster.observeReply(slot, reply, asked, now);
 *
 * One instance per traffic thread, which owns it; not thread-safe. No method reports errors.
 */
class ClusterState {
public:
    /** Rebuilds the topology from the document; keeps the observed state of upstreams that remain. */
    void apply(const config::Document& document, TimePoint now);

    /** Topology of the current configuration; never null. */
    const std::shared_ptr<const Topology>& topology() const { return topology_; }

    /**
     * Chooses the newest version that is served in every group of the collection; upstreams that have not
     * reported versions are assumed to serve any. If no version is served in every group, chooses the one
     * served in most groups. During a repartition the choice may be the previous layout. Empty for an unknown
     * collection.
     */
    std::optional<SnapshotChoice> chooseSnapshot(std::string_view collection);
    /** True when a serving upstream of the group serves the snapshot or may serve it. */
    bool groupMayServe(const Topology& topology, const TopologyGroup& group, const Snapshot& snapshot) const;

    const UpstreamState& upstream(UpstreamSlot slot) const { return upstreams_[slot]; }
    /** Valid until `slotQuarantine` after the removal of the upstream from the configuration. */
    const UpstreamId& upstreamId(UpstreamSlot slot) const { return upstreamIds_[slot]; }
    /** Empty when the upstream is not configured. */
    std::optional<UpstreamSlot> findUpstream(const UpstreamId& upstream) const;
    /** `noSlot` when the zone is unknown. */
    ZoneSlot findZone(const AvailabilityZone& zone) const;
    /** True when both zones are in one region. */
    bool sameRegion(ZoneSlot left, ZoneSlot right) const;

    /** Records a sub-request sent to the upstream. */
    void recordSend(UpstreamSlot slot, TimePoint now);
    /** Records that a sub-request probes an upstream that is otherwise avoided. */
    void recordProbe(UpstreamSlot slot, TimePoint now);
    /** Updates the upstream from a reply to a sub-request at the given snapshot. */
    void observeReply(
        UpstreamSlot slot, const wire::SubreplyItem& reply, const Snapshot& asked, TimePoint now);
    /** Records a missing reply; counts as a failure unless another reply arrived since `sentAt`. */
    void observeTimeout(UpstreamSlot slot, TimePoint sentAt, TimePoint now);
    /** Records that a hedge to another upstream answered first. */
    void observeHedgeWon(UpstreamSlot slot, TimePoint sentAt, TimePoint now);

    /** Estimated number of requests queued and running at the upstream. */
    std::uint32_t estimatedLoad(UpstreamSlot slot, TimePoint now) const;
    /** Number of recent sub-requests for which a hedge was faster. */
    std::uint32_t recentHedgeLosses(UpstreamSlot slot, TimePoint now) const;

    /** Minimum time before the slot of a removed upstream is reused; longer than any query. */
    static constexpr Duration slotQuarantine = std::chrono::minutes(1);

private:
    struct CachedChoice {
        std::uint64_t epoch = 0;
        SnapshotChoice choice;
    };
    struct ZoneEntry {
        AvailabilityZone id;
        RegionId region;
        bool serving = false;
    };
    struct FreeSlot {
        UpstreamSlot slot = noSlot;
        TimePoint since {};
    };

    /** Slot of the upstream; assigns one if it has none. */
    UpstreamSlot slotOf(const UpstreamId& upstream, TimePoint now);
    ServiceSlot serviceSlotOf(const ServiceId& service);
    void applyZones(const config::Document& document);
    void releaseRemovedUpstreams(TimePoint now);
    void observeFailure(UpstreamState& state, std::uint8_t weight, TimePoint now);
    void observeSuccess(UpstreamState& state);
    void updateVersions(UpstreamState& state, const wire::SubreplyItem& reply, const Snapshot& asked);

    std::shared_ptr<const Topology> topology_ = std::make_shared<Topology>();
    /** Topology of the previous layout; null until the layout has changed once. */
    std::shared_ptr<const Topology> previousLayout_;
    std::vector<UpstreamState> upstreams_;
    std::deque<UpstreamId> upstreamIds_;
    std::vector<FreeSlot> freeSlots_;
    std::unordered_map<UpstreamId, UpstreamSlot> slots_;
    std::vector<ServiceId> services_;
    std::vector<ZoneEntry> zones_;
    /** Incremented whenever an input of the snapshot choice changes; invalidates `cachedChoices_`. */
    std::uint64_t epoch_ = 1;
    /** By index into Topology::collections. */
    std::vector<CachedChoice> cachedChoices_;
};

} // namespace banyancroft::search
