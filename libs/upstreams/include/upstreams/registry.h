#pragma once

#include "upstreams/health.h"
#include "upstreams/record.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace banyancroft::upstreams {

/** One start of a replica, with what this VM knows of it. */
struct Upstream {
    /** Never used again for another start; keys the connections of the replica. */
    std::uint64_t number = 0;
    UpstreamRecord record;
    UpstreamHealth health;
    /** End of the cold start as registered or told by the replica. */
    TimePoint coldUntil {};
    /** False once the replica drains, is gone or was replaced: no new request is sent. */
    bool usable = true;
    /** The address answered as another replica; unusable until the registration changes. */
    bool misdirected = false;

    bool isCold(TimePoint now) const { return now < coldUntil; }
};

using UpstreamPointer = std::shared_ptr<Upstream>;

/** A registered entry, or with no record the removal of one. */
struct RegistryChange {
    UpstreamId id;
    std::optional<UpstreamRecord> record;
};

/** What happened to a replica; passed to the registry's listener. */
enum class RegistryEvent {
    Added,
    Restarted,
    Draining,
    Removed,
};

/**
 * The replicas that may be used, as the store lists them.
 *
 * Registrations that lapsed while the store was away come back shortly after its return. Removals that
 * show in that time are therefore held back, and carried out when the time is over and the replica has
 * not registered again. Owned by one thread; does no I/O.
 */
class Registry {
public:
    using Listener = std::function<void(RegistryEvent, const Upstream&)>;

    /** @param recoveryGrace how long after the store's return a missing entry may still come back */
    Registry(Duration recoveryGrace, Listener listener);
    ~Registry();

    /** Replaces all that is known by a full list. */
    void applyListing(std::span<const UpstreamRecord> records, TimePoint now);
    void apply(const RegistryChange& change, TimePoint now);
    /** The store answers again after an outage. */
    void storeRecovered(TimePoint now);
    /** Carries out removals that were held back; to be called about once a second. */
    void applyDeferredRemovals(TimePoint now);

    /** Replicas of a service that have not been removed, drained ones left out. */
    std::span<const UpstreamPointer> upstreams(const ServiceId& service) const;
    std::size_t size() const;

    /** Zones of which the replicas get no new requests. */
    void setZonesOut(std::set<AvailabilityZone> zones) { zonesOut_ = std::move(zones); }
    const std::set<AvailabilityZone>& zonesOut() const { return zonesOut_; }
    bool isZoneOut(const AvailabilityZone& zone) const { return zonesOut_.contains(zone); }

private:
    class Impl;

    std::unique_ptr<Impl> impl_;
    std::set<AvailabilityZone> zonesOut_;
};

} // namespace banyancroft::upstreams
