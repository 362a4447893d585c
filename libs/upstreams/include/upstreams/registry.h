#pragma once

#include "upstreams/health.h"
#include "upstreams/record.h"
#include "upstreams/statement.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace banyancroft::upstreams {

/** One run of a replica process: its registration and what this VM has observed of it. */
struct Upstream {
    /** Identifies this run of the replica; never reused. Key of its connection pool. */
    std::uint64_t number = 0;
    UpstreamRecord record;
    UpstreamHealth health;
    /** End of the cold phase, as registered or reported by the replica. */
    TimePoint coldUntil {};
    /** End of the time for which the replica wants no requests from this VM. */
    TimePoint restUntil {};
    /** The replica has rested and has not answered a request since; it gets one request at a time. */
    bool isReturning = false;
    /** The replica has said in an answer that it is leaving. */
    bool isLeaving = false;
    /** False once the replica is draining, leaving, removed or replaced; it receives no new requests. */
    bool usable = true;
    /** A log line about malformed statements of this replica was written. */
    bool hasLoggedMalformed = false;
    /** Another replica answered at this address; no requests are sent until the registration changes. */
    bool misdirected = false;

    bool isCold(TimePoint now) const { return now < coldUntil; }
    bool isResting(TimePoint now) const { return now < restUntil; }
};

using UpstreamPointer = std::shared_ptr<Upstream>;

/** A change of one entry of the store. */
struct RegistryChange {
    UpstreamId id;
    /** Empty for a removal. */
    std::optional<UpstreamRecord> record;
};

/** Kind of change that is passed to the listener of the registry. */
enum class RegistryEvent {
    Added,
    Restarted,
    Draining,
    /** The replica has said in an answer that it is leaving. */
    Leaving,
    /** The entry was removed in the grace period after an outage; the replica stays in use until its end. */
    RemovalDeferred,
    Removed,
    /** An entry of the copy from which the store was restored is older than what is known and has no effect.
     */
    CopyIgnored,
};

/**
 * Holds the registered replicas, following the entries of the store.
 *
 * Registrations that expired during an outage of the store are renewed shortly after it recovers. Removals
 * seen within a grace period after the recovery are therefore deferred, and take effect at its end unless the
 * replica has registered again. Owned by one thread; does no I/O.
 */
class Registry {
public:
    using Listener = std::function<void(RegistryEvent, const Upstream&)>;

    /** @param recoveryGrace time after the recovery of the store during which removals are deferred */
    Registry(Duration recoveryGrace, Listener listener);
    ~Registry();

    /** Applies a complete list: adds and updates its replicas and removes all others. */
    void applyListing(std::span<const UpstreamRecord> records, TimePoint now);
    void apply(const RegistryChange& change, TimePoint now);
    /**
     * Applies what a replica said of itself in an answer.
     *
     * An answer is newer than what is registered, so no entry of the same run takes back that it is leaving,
     * also not after its removal. A longer rest replaces a shorter one, not the other way round. The answer
     * sets the end of the cold phase; later entries only extend it.
     */
    void applyStatement(const UpstreamPointer& upstream, const ReplicaStatement& statement, TimePoint now);
    /** Another VM has heard that a run of a replica is leaving; does nothing if that run is not registered
     * here. */
    void applyLeaving(const UpstreamId& id, std::uint64_t startedAtUnixMillis, TimePoint now);
    /** The store answers again after an outage. */
    void storeRecovered(TimePoint now);
    /**
     * The store was restored from a copy, whose listing comes next. Removals are deferred as after an outage.
     * For some minutes, listed entries do not bring back a run of a replica that was removed or draining
     * before, unless the replica has registered again since then.
     */
    void storeRestored(TimePoint now);
    /** Applies the deferred removals once the grace period is over; to be called about once a second. */
    void applyDeferredRemovals(TimePoint now);

    /** Replicas of a service that are neither removed nor draining. */
    std::span<const UpstreamPointer> upstreams(const ServiceId& service) const;
    std::size_t size() const;

    /** Evacuated availability zones: their replicas receive no new requests. */
    void setEvacuatedZones(std::set<AvailabilityZone> zones) { evacuatedZones_ = std::move(zones); }
    const std::set<AvailabilityZone>& evacuatedZones() const { return evacuatedZones_; }
    bool isEvacuated(const AvailabilityZone& zone) const { return evacuatedZones_.contains(zone); }

private:
    class Impl;

    std::unique_ptr<Impl> impl_;
    std::set<AvailabilityZone> evacuatedZones_;
};

} // namespace banyancroft::upstreams
