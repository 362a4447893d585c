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

/** Versions that an upstream serves as far as it is known; holds the newest `capacity` ones. */
class VersionSet {
public:
    static constexpr std::size_t capacity = 6;

    /** False until an upstream named its versions: it then counts as able to serve any. */
    bool known() const { return known_; }
    bool contains(std::uint64_t version) const;
    /** True when the upstream serves the version or may do so. */
    bool mayContain(std::uint64_t version) const { return !known_ || contains(version); }
    std::span<const std::uint64_t> versions() const { return std::span(values_).first(size_); }

    /** Replaces the set; true when that changed it. */
    template <typename Version> bool assign(std::span<const Version> versions);
    /** Notes that the version is not served; true when that changed the set. */
    bool exclude(std::uint64_t version);

private:
    void insert(std::uint64_t version);

    std::array<std::uint64_t, capacity> values_ {};
    std::uint8_t size_ = 0;
    bool known_ = false;
};

/** What the configuration in force says of one upstream, and what replies told about it. */
struct UpstreamState {
    bool configured = false;
    bool draining = false;
    bool zoneServing = false;
    bool cold = false;
    /** Failures since the last answer. */
    std::uint8_t failures = 0;
    ZoneSlot zone = noSlot;
    std::uint32_t slots = 1;

    /** Load in the last reply, and sub-requests sent by this thread since then. */
    std::uint32_t reportedLoad = 0;
    std::uint32_t sentSinceReport = 0;
    /** Both count half after each half-life since this time. */
    TimePoint loadAt {};
    /** Rises each time that a hedge overtook this upstream; halves with time since `hedgeLossesAt`. */
    std::uint32_t hedgeLosses = 0;
    TimePoint hedgeLossesAt {};

    /** Last reply to any sub-request. */
    TimePoint lastReplyAt {};

    /** Not chosen before this time while others serve. */
    TimePoint avoidUntil {};
    /** Next sub-request that tries a cold, failing or outdated upstream, and the wait after it. */
    TimePoint nextProbeAt {};
    Duration probeInterval {};

    VersionSet indexes;
    VersionSet layouts;

    /** False: it receives no new work at all. */
    bool serving() const { return configured && !draining && zoneServing; }
    bool failing() const;
    /** True when it serves the snapshot or may do so; a version of zero stands for any. */
    bool mayServe(const Snapshot& snapshot) const;
};

/** The snapshot to use for a query, with the plan that belongs to its layout. */
struct SnapshotChoice {
    std::shared_ptr<const Topology> topology;
    /** Place in Topology::collections. */
    std::uint32_t collection = 0;
    Snapshot snapshot;
    /** Groups with an upstream that serves the snapshot or may do so. */
    std::uint32_t capableGroups = 0;
    std::uint32_t groups = 0;

    bool complete() const { return capableGroups == groups; }
};

/**
 * Everything that one traffic thread knows of the upstreams: the topology of the configuration in force and
 * the load, cold flag, versions and failures that replies told.
 *
 *     ClusterState cluster;
 *     cluster.apply(document, now);
 *     cluster.recordSend(slot, now);
 *     cluster.observeReply(slot, reply, asked, now);
 *
 * One per traffic thread, which owns it; not thread-safe. Nothing here fails.
 */
class ClusterState {
public:
    /** Rebuilds the topology; keeps what was learnt of upstreams that remain. */
    void apply(const config::Document& document, TimePoint now);

    /** Of the configuration in force; never null. */
    const std::shared_ptr<const Topology>& topology() const { return topology_; }

    /**
     * The newest versions known to be served in every group of the collection; upstreams that named no
     * versions count as able. When no version is served in every group, the one served in most groups.
     * While a repartition runs this may be the previous layout. Empty for an unknown collection.
     */
    std::optional<SnapshotChoice> chooseSnapshot(std::string_view collection);
    /** True when an upstream that receives work serves the snapshot or may do so. */
    bool groupMayServe(const Topology& topology, const TopologyGroup& group, const Snapshot& snapshot) const;

    const UpstreamState& upstream(UpstreamSlot slot) const { return upstreams_[slot]; }
    /** Remains valid for `slotQuarantine` after the upstream left the configuration. */
    const UpstreamId& upstreamId(UpstreamSlot slot) const { return upstreamIds_[slot]; }
    /** Empty when the upstream is not known. */
    std::optional<UpstreamSlot> findUpstream(const UpstreamId& upstream) const;
    ZoneSlot findZone(const AvailabilityZone& zone) const;
    /** True when both zones are in one region. */
    bool sameRegion(ZoneSlot left, ZoneSlot right) const;

    /** Notes that a sub-request goes to the upstream. */
    void recordSend(UpstreamSlot slot, TimePoint now);
    /** Notes that a sub-request tries an upstream that is otherwise avoided. */
    void recordProbe(UpstreamSlot slot, TimePoint now);
    /** Learns from a reply to a sub-request at the given snapshot. */
    void observeReply(
        UpstreamSlot slot, const wire::SubreplyItem& reply, const Snapshot& asked, TimePoint now);
    /** Notes that no reply came in time; a failure if no other reply came since `sentAt` either. */
    void observeTimeout(UpstreamSlot slot, TimePoint sentAt, TimePoint now);
    /** Notes that a hedge answered first. */
    void observeHedgeWon(UpstreamSlot slot, TimePoint sentAt, TimePoint now);

    /** Requests estimated to be queued and running at the upstream. */
    std::uint32_t estimatedLoad(UpstreamSlot slot, TimePoint now) const;
    /** How often hedges overtook the upstream lately. */
    std::uint32_t recentHedgeLosses(UpstreamSlot slot, TimePoint now) const;

    /** A slot of an upstream that left is not given to another one earlier; longer than any query. */
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

    UpstreamSlot slotOf(const UpstreamId& upstream, TimePoint now);
    ServiceSlot serviceSlotOf(const ServiceId& service);
    void applyZones(const config::Document& document);
    void releaseRemovedUpstreams(TimePoint now);
    void observeFailure(UpstreamState& state, std::uint8_t weight, TimePoint now);
    void observeSuccess(UpstreamState& state);
    void updateVersions(UpstreamState& state, const wire::SubreplyItem& reply, const Snapshot& asked);

    std::shared_ptr<const Topology> topology_ = std::make_shared<Topology>();
    /** The topology of the layout before the present one; null until the layout changed once. */
    std::shared_ptr<const Topology> previousLayout_;
    std::vector<UpstreamState> upstreams_;
    std::deque<UpstreamId> upstreamIds_;
    std::vector<FreeSlot> freeSlots_;
    std::unordered_map<UpstreamId, UpstreamSlot> slots_;
    std::vector<ServiceId> services_;
    std::vector<ZoneEntry> zones_;
    /** Rises whenever something changes that a choice of snapshot depends on. */
    std::uint64_t epoch_ = 1;
    std::vector<CachedChoice> cachedChoices_;
};

} // namespace banyancroft::search
