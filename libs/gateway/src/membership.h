#pragma once

#include "base/ids.h"
#include "dispatcher_link.h"
#include "gateway/store_item.h"
#include "store/polled_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace banyancroft::gateway {

/**
 * Tracks the VMs that dispatch, which are the registered ones and share fleet-wide limits. A VM counts as
 * soon as it registers, and for some seconds after its registration ends, so that the shares never add up to
 * more than the whole limit.
 */
class MemberTracker {
public:
    explicit MemberTracker(VmId self);

    /** Sets whether this VM dispatches, registered or not; true initially. */
    void setDispatching(bool dispatching) { dispatching_ = dispatching; }

    void add(const VmId& vm, MemberRecord record);
    void remove(const VmId& vm, TimePoint now);
    /** Replaces the members by a full listing; VMs missing from it are removed as by remove(). */
    void replaceAll(const std::map<VmId, MemberRecord>& members, TimePoint now);
    /** The store was restored from a copy: removals seen before `graceEnd` are deferred until then, since the
     * VMs register again. */
    void storeRestored(TimePoint graceEnd) { graceUntil_ = graceEnd; }
    /** Applies the deferred removals that are due; to be called about once a second. */
    void applyDeferredRemovals(TimePoint now);
    /** VMs that share the limits, including this one if it dispatches. */
    std::set<VmId> liveVms(TimePoint now) const;
    /** The VM that polls the store on behalf of an availability zone: one that dispatches there or, without
     * any, in another zone; this one if none is known. All VMs with the same members choose the same one. */
    VmId storeReader(const AvailabilityZone& zone) const;
    /** Relay address of a VM; empty when the VM is not registered or serves no relay. */
    std::optional<ListenAddress> relayAddress(const VmId& vm) const;
    /** Relay addresses of all other registered VMs. */
    std::vector<ListenAddress> otherRelayAddresses() const;
    /** Other registered VMs of an availability zone that take over requests. */
    std::vector<Dispatcher> otherDispatchers(const AvailabilityZone& zone) const;
    /** Other registered VMs that take over requests, in all availability zones. */
    std::vector<Dispatcher> otherDispatchers() const;
    /** All registered VMs that can be asked by others, this one included. */
    std::set<VmId> registeredDispatchers() const;
    bool isRegistered(const VmId& vm) const;
    /** Position of this VM among the registered dispatchers for a name, by rendezvous hashing; 0 is the
     * first, empty if this VM does not dispatch. */
    std::optional<unsigned> rankFor(std::string_view name) const;
    /** Number of the other dispatchers of the zone that stay before this VM does when the tier shrinks.
     * @param processors cores of this VM */
    std::size_t dispatchersAhead(const AvailabilityZone& zone, double processors) const;

private:
    struct Member {
        MemberRecord record;
        /** Time until which the VM shares limits; TimePoint::max() while it is registered. */
        TimePoint countedUntil;
        /** Time of its deferred removal. */
        std::optional<TimePoint> removalDue {};
    };

    VmId self_;
    std::map<VmId, Member> members_;
    bool dispatching_ = true;
    TimePoint graceUntil_ {};
};

/** Keeps this VM registered in the store under a lease while it dispatches. */
class Registration {
public:
    /** @param key key under which the VM registers  @param timeToLive time to live of the lease */
    Registration(boost::asio::io_context& ioContext, store::PolledStore& store, std::string key,
        std::string value, Duration timeToLive);

    void start();
    /** Revokes the lease, also one that is being granted. */
    void stop();
    /** A newer era of the store is known: gives up a lease of an older era and registers again. The lease is
     * neither renewed nor revoked, since its number may belong to another VM now. */
    void storeRestored();
    bool isActive() const { return active_; }
    /** Number of times that the registration has lapsed and was made anew. */
    unsigned lapses() const { return lapses_; }

private:
    void grantLease();
    /** Gives up the lease, if any, and obtains a new one. */
    void restart();
    bool isLeaseOfOldEra() const { return leaseEra_ < store_.eras().current(); }
    void putRecord();
    void renewLease();
    void revoke(store::LeaseId lease);
    /** Calls `next` later, after a longer pause with each consecutive failure. */
    void retry(std::function<void()> next);
    /** Wraps the handler of a response to a call with the lease. It is called only if the registration was
     * not stopped meanwhile and the lease is not of an older era. */
    template <typename Handler> auto whileActive(Handler handler);

    boost::asio::steady_timer timer_;
    store::PolledStore& store_;
    const std::string key_;
    const std::string value_;
    const Duration timeToLive_;
    store::LeaseId lease_;
    store::StoreEra leaseEra_;
    /** Counts starts, so that responses to calls of an earlier start are told apart. */
    unsigned run_ = 0;
    unsigned consecutiveFailures_ = 0;
    unsigned lapses_ = 0;
    bool active_ = false;
};

} // namespace banyancroft::gateway
