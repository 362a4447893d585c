#include "search/cluster_state.h"

#include "snapshot_selector.h"

#include <algorithm>

namespace banyancroft::search {

namespace {

using namespace std::chrono_literals;

// A single missing reply may be due to the network; two in a row count as a failure of the upstream.
constexpr std::uint8_t failuresUntilAvoided = 2;
constexpr std::uint8_t maxFailures = 100;

// Half-life of a load report: other entry daemons change the load as well.
constexpr Duration loadHalfLife = 250ms;
constexpr Duration hedgeLossHalfLife = 500ms;
constexpr std::uint32_t maxHedgeLosses = 8;

// An upstream that has refused a request is avoided for about the service time of a few requests.
constexpr Duration avoidAfterRefusal = 5ms;
// Time within which this daemon receives the new membership view after a WrongHome reply.
constexpr Duration avoidAfterWrongHome = 50ms;
// A home that reports a drain or a zone out of service has a newer configuration than this daemon.
constexpr Duration avoidAfterDrainOrZoneOut = 1s;

// Each daemon probes an avoided upstream once per interval. Answers halve the interval and refusals double
// it, so that the probes of 560 daemons settle at the rate that a cold upstream accepts; at the maximum
// interval they send 112 probes/s.
constexpr Duration minProbeInterval = 50ms;
constexpr Duration initialProbeInterval = 250ms;
constexpr Duration maxProbeInterval = 5s;
// Interval of the probes to an upstream that does not serve the pinned version.
constexpr Duration versionProbeInterval = 1s;

std::uint32_t halved(std::uint32_t value, Duration age, Duration halfLife)
{
    const auto halvings = age / halfLife;
    return halvings >= 31 ? 0 : value >> static_cast<unsigned>(std::max<std::int64_t>(halvings, 0));
}

/** True when the reply comes from the home of the upstream, so its load, cold flag and versions are valid. */
bool isFromHome(const wire::SubreplyItem& reply)
{
    switch (reply.reason) {
    case Reason::WrongHome:
    case Reason::NoAuthority:
    case Reason::HomeUnreachable:
    case Reason::UnknownUpstream:
    case Reason::Cancelled:
    case Reason::Stopping:
        return false;
    default:
        return true;
    }
}

} // namespace

bool VersionSet::contains(std::uint64_t version) const
{
    const auto known = versions();
    return std::find(known.begin(), known.end(), version) != known.end();
}

void VersionSet::insert(std::uint64_t version)
{
    if (version == 0 || contains(version))
        return;
    if (size_ < capacity) {
        values_[size_++] = version;
        return;
    }
    auto oldest = std::min_element(values_.begin(), values_.end());
    *oldest = std::max(*oldest, version);
}

template <typename Version> bool VersionSet::assign(std::span<const Version> versions)
{
    // Fast path for the common case: the same versions in the same order.
    if (known_
        && std::equal(versions.begin(), versions.end(), values_.begin(), values_.begin() + size_,
            [](const Version& left, std::uint64_t right) { return left.value == right; })) {
        return false;
    }
    known_ = true;
    size_ = 0;
    for (const auto& version : versions)
        insert(version.value);
    return true;
}

template bool VersionSet::assign<IndexVersion>(std::span<const IndexVersion>);
template bool VersionSet::assign<LayoutVersion>(std::span<const LayoutVersion>);

bool VersionSet::exclude(std::uint64_t version)
{
    const bool changed = !known_ || contains(version);
    known_ = true;
    auto* const end = std::remove(values_.begin(), values_.begin() + size_, version);
    size_ = static_cast<std::uint8_t>(end - values_.begin());
    return changed;
}

bool UpstreamState::failing() const { return failures >= failuresUntilAvoided; }

void ClusterState::applyZones(const config::Document& document)
{
    for (auto& zone : zones_)
        zone.serving = false;
    for (const auto& zone : document.zones) {
        auto slot = findZone(zone.id);
        if (slot == noSlot) {
            slot = static_cast<ZoneSlot>(zones_.size());
            zones_.push_back({ zone.id, zone.region, zone.serving });
        }
        zones_[slot].region = zone.region;
        zones_[slot].serving = zone.serving;
    }
}

UpstreamSlot ClusterState::slotOf(const UpstreamId& upstream, TimePoint now)
{
    if (const auto found = slots_.find(upstream); found != slots_.end())
        return found->second;
    // The previous layout may still be chosen, so its slots must not be reused.
    const auto reusable = std::find_if(freeSlots_.begin(), freeSlots_.end(), [&](const FreeSlot& entry) {
        return now - entry.since >= slotQuarantine
            && (!previousLayout_
                || std::find(previousLayout_->members.begin(), previousLayout_->members.end(), entry.slot)
                    == previousLayout_->members.end());
    });
    UpstreamSlot slot = noSlot;
    if (reusable != freeSlots_.end()) {
        slot = reusable->slot;
        freeSlots_.erase(reusable);
        upstreams_[slot] = {};
        upstreamIds_[slot] = upstream;
    } else {
        slot = static_cast<UpstreamSlot>(upstreams_.size());
        upstreams_.emplace_back();
        upstreamIds_.push_back(upstream);
    }
    slots_.emplace(upstream, slot);
    return slot;
}

ServiceSlot ClusterState::serviceSlotOf(const ServiceId& service)
{
    const auto found = std::find(services_.begin(), services_.end(), service);
    if (found != services_.end())
        return static_cast<ServiceSlot>(found - services_.begin());
    services_.push_back(service);
    return static_cast<ServiceSlot>(services_.size() - 1);
}

void ClusterState::releaseRemovedUpstreams(TimePoint now)
{
    std::erase_if(slots_, [&](const auto& entry) {
        if (upstreams_[entry.second].configured)
            return false;
        freeSlots_.push_back({ entry.second, now });
        return true;
    });
}

void ClusterState::apply(const config::Document& document, TimePoint now)
{
    if (topology_->layout && topology_->layout != document.layout)
        previousLayout_ = topology_;

    applyZones(document);
    for (auto& upstream : upstreams_)
        upstream.configured = false;

    auto topology = std::make_shared<Topology>();
    topology->version = document.version;
    topology->layout = document.layout;
    std::vector<std::vector<std::uint32_t>> groupsOfService;
    for (const auto& service : document.services) {
        const auto serviceSlot = serviceSlotOf(service.id);
        groupsOfService.resize(std::max<std::size_t>(groupsOfService.size(), serviceSlot + 1));
        for (const auto& group : service.groups) {
            groupsOfService[serviceSlot].push_back(static_cast<std::uint32_t>(topology->groups.size()));
            topology->groups.push_back(
                { group.id, serviceSlot, static_cast<std::uint32_t>(topology->members.size()),
                    static_cast<std::uint32_t>(group.upstreams.size()), group.shards });
            for (const auto& upstream : group.upstreams) {
                const auto slot = slotOf(upstream.id, now);
                auto& state = upstreams_[slot];
                state.configured = true;
                state.draining = upstream.draining;
                state.zone = findZone(upstream.zone);
                state.zoneServing = state.zone != noSlot && zones_[state.zone].serving;
                state.slots = std::max(1U, service.slots);
                topology->members.push_back(slot);
            }
        }
    }
    groupsOfService.resize(services_.size());
    for (const auto& collection : document.collections) {
        auto& entry = topology->collections.emplace_back();
        entry.name = collection.name;
        for (const auto& service : collection.services) {
            // Groups without shards have no rows to contribute.
            for (const auto group : groupsOfService[serviceSlotOf(service)]) {
                if (!topology->groups[group].shards.empty())
                    entry.groups.push_back(group);
            }
        }
    }
    for (const auto& operation : document.operations) {
        const auto service = serviceSlotOf(operation.service);
        topology->operations.push_back(
            { operation.name, service, operation.nonIdempotent, groupsOfService[service] });
    }
    topology_ = std::move(topology);
    releaseRemovedUpstreams(now);
    ++epoch_;
}

std::optional<UpstreamSlot> ClusterState::findUpstream(const UpstreamId& upstream) const
{
    const auto found = slots_.find(upstream);
    return found == slots_.end() ? std::nullopt : std::optional(found->second);
}

ZoneSlot ClusterState::findZone(const AvailabilityZone& zone) const
{
    const auto found = std::find_if(
        zones_.begin(), zones_.end(), [&](const ZoneEntry& entry) { return entry.id == zone; });
    return found == zones_.end() ? noSlot : static_cast<ZoneSlot>(found - zones_.begin());
}

bool ClusterState::sameRegion(ZoneSlot left, ZoneSlot right) const
{
    return left != noSlot && right != noSlot && zones_[left].region == zones_[right].region;
}

std::optional<SnapshotChoice> ClusterState::chooseSnapshot(std::string_view collection)
{
    const auto index = topology_->findCollection(collection);
    if (!index)
        return std::nullopt;
    cachedChoices_.resize(std::max<std::size_t>(cachedChoices_.size(), *index + 1));
    auto& cached = cachedChoices_[*index];
    if (cached.epoch == epoch_)
        return cached.choice;

    const SnapshotSelector selector(*this);
    auto choice = selector.select(topology_, *index);
    if (!choice.complete() && previousLayout_) {
        if (const auto previousIndex = previousLayout_->findCollection(collection)) {
            auto previous = selector.select(previousLayout_, *previousIndex);
            // Compares fractions, since the layouts may have different numbers of groups.
            if (std::uint64_t { previous.capableGroups } * choice.groups
                > std::uint64_t { choice.capableGroups } * previous.groups) {
                choice = std::move(previous);
            }
        }
    }
    cached = { epoch_, choice };
    return choice;
}

bool ClusterState::groupMayServe(
    const Topology& topology, const TopologyGroup& group, const Snapshot& snapshot) const
{
    const auto members = topology.membersOf(group);
    return std::any_of(members.begin(), members.end(), [&](UpstreamSlot slot) {
        const auto& state = upstreams_[slot];
        return state.serving() && state.mayServe(snapshot);
    });
}

bool UpstreamState::mayServe(const Snapshot& snapshot) const
{
    return (!snapshot.layout || layouts.mayContain(snapshot.layout.value))
        && (!snapshot.index || indexes.mayContain(snapshot.index.value));
}

void ClusterState::recordSend(UpstreamSlot slot, TimePoint now)
{
    auto& state = upstreams_[slot];
    if (const auto halvings = (now - state.loadAt) / loadHalfLife; halvings > 0) {
        state.reportedLoad = halved(state.reportedLoad, now - state.loadAt, loadHalfLife);
        state.sentSinceReport = halved(state.sentSinceReport, now - state.loadAt, loadHalfLife);
        state.loadAt += halvings * loadHalfLife;
    }
    ++state.sentSinceReport;
}

void ClusterState::recordProbe(UpstreamSlot slot, TimePoint now)
{
    auto& state = upstreams_[slot];
    state.nextProbeAt = now + std::max(state.probeInterval, minProbeInterval);
}

void ClusterState::observeSuccess(UpstreamState& state)
{
    if (state.failing())
        ++epoch_;
    state.failures = 0;
    state.avoidUntil = {};
    state.probeInterval = std::max(state.probeInterval / 2, minProbeInterval);
}

void ClusterState::observeFailure(UpstreamState& state, std::uint8_t weight, TimePoint now)
{
    const bool wasFailing = state.failing();
    state.failures = static_cast<std::uint8_t>(
        std::min(maxFailures, static_cast<std::uint8_t>(state.failures + weight)));
    if (!state.failing())
        return;
    if (!wasFailing) {
        ++epoch_;
        state.probeInterval = initialProbeInterval;
    } else {
        state.probeInterval = std::min(state.probeInterval * 2, maxProbeInterval);
    }
    state.nextProbeAt = now + state.probeInterval;
}

void ClusterState::updateVersions(
    UpstreamState& state, const wire::SubreplyItem& reply, const Snapshot& asked)
{
    bool changed = false;
    if (!reply.servedIndexes.empty()) {
        changed |= state.indexes.assign(std::span<const IndexVersion>(reply.servedIndexes));
    } else if (reply.index && !state.indexes.contains(reply.index.value)) {
        changed |= state.indexes.assign(std::span<const IndexVersion>(&reply.index, 1));
    }
    if (!reply.servedLayouts.empty()) {
        changed |= state.layouts.assign(std::span<const LayoutVersion>(reply.servedLayouts));
    } else if (reply.layout && !state.layouts.contains(reply.layout.value)) {
        changed |= state.layouts.assign(std::span<const LayoutVersion>(&reply.layout, 1));
    }

    // The version of the answer, or a refusal, takes precedence over the reported list of versions.
    const bool done = reply.outcome == Outcome::Done;
    const bool otherIndex
        = done ? asked.index && reply.index != asked.index : reply.reason == Reason::IndexVersionMismatch;
    const bool otherLayout
        = done ? asked.layout && reply.layout != asked.layout : reply.reason == Reason::LayoutVersionMismatch;
    if (otherIndex && asked.index)
        changed |= state.indexes.exclude(asked.index.value);
    if (otherLayout && asked.layout)
        changed |= state.layouts.exclude(asked.layout.value);
    if (changed)
        ++epoch_;
}

void ClusterState::observeReply(
    UpstreamSlot slot, const wire::SubreplyItem& reply, const Snapshot& asked, TimePoint now)
{
    auto& state = upstreams_[slot];
    if (isFromHome(reply)) {
        state.lastReplyAt = now;
        state.reportedLoad = reply.load;
        state.sentSinceReport = 0;
        state.loadAt = now;
        if (state.cold != reply.cold) {
            state.cold = reply.cold;
            state.probeInterval = initialProbeInterval;
            ++epoch_;
        }
        updateVersions(state, reply, asked);
    }
    if (reply.outcome == Outcome::Done) {
        observeSuccess(state);
        if (reply.index != asked.index || reply.layout != asked.layout)
            state.nextProbeAt = now + versionProbeInterval;
        return;
    }
    switch (reply.reason) {
    case Reason::QueueFull:
    case Reason::ColdLimit:
    case Reason::UpstreamShed:
    case Reason::DeadlineTooShort:
    case Reason::Overloaded:
        state.avoidUntil = now + avoidAfterRefusal;
        state.probeInterval = std::min(state.probeInterval * 2, maxProbeInterval);
        break;
    case Reason::WrongHome:
    case Reason::UnknownUpstream:
    case Reason::Stopping:
        state.avoidUntil = now + avoidAfterWrongHome;
        break;
    case Reason::UpstreamDraining:
    case Reason::ZoneOut:
        state.avoidUntil = now + avoidAfterDrainOrZoneOut;
        break;
    case Reason::UpstreamUnreachable:
    case Reason::HomeUnreachable:
    case Reason::NoAuthority:
        observeFailure(state, failuresUntilAvoided, now);
        break;
    case Reason::IndexVersionMismatch:
    case Reason::LayoutVersionMismatch:
        state.nextProbeAt = now + versionProbeInterval;
        break;
    case Reason::Cancelled:
        break;
    default:
        observeFailure(state, 1, now);
        break;
    }
}

void ClusterState::observeTimeout(UpstreamSlot slot, TimePoint sentAt, TimePoint now)
{
    // An upstream that has replied to other sub-requests is slow or its reply was lost; it has not failed.
    if (upstreams_[slot].lastReplyAt < sentAt)
        observeFailure(upstreams_[slot], 1, now);
}

void ClusterState::observeHedgeWon(UpstreamSlot slot, TimePoint sentAt, TimePoint now)
{
    observeTimeout(slot, sentAt, now);
    auto& state = upstreams_[slot];
    state.hedgeLosses = std::min(recentHedgeLosses(slot, now) + 1, maxHedgeLosses);
    state.hedgeLossesAt = now;
}

std::uint32_t ClusterState::estimatedLoad(UpstreamSlot slot, TimePoint now) const
{
    const auto& state = upstreams_[slot];
    return halved(state.reportedLoad + state.sentSinceReport, now - state.loadAt, loadHalfLife);
}

std::uint32_t ClusterState::recentHedgeLosses(UpstreamSlot slot, TimePoint now) const
{
    const auto& state = upstreams_[slot];
    return halved(state.hedgeLosses, now - state.hedgeLossesAt, hedgeLossHalfLife);
}

} // namespace banyancroft::search
