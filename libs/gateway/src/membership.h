#pragma once

#include "base/ids.h"
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
 * Tracks the gateway VMs that share fleet-wide limits. A VM counts as soon as it registers, and for some
 * seconds after its registration ends, so that the shares never add up to more than the whole limit.
 */
class MemberTracker {
public:
    explicit MemberTracker(VmId self);

    void add(const VmId& vm, MemberRecord record);
    void remove(const VmId& vm, TimePoint now);
    /** Replaces the members by a full listing; VMs missing from it are removed as by remove(). */
    void replaceAll(const std::map<VmId, MemberRecord>& members, TimePoint now);
    /** VMs that share the limits, including this one. */
    std::set<VmId> liveVms(TimePoint now) const;
    /** The VM, registered or this one, that polls the store on behalf of an availability zone. All VMs with
     * the same members choose the same one. */
    VmId storeReader(const AvailabilityZone& zone) const;
    /** Relay address of a VM; empty when the VM is not registered or serves no relay. */
    std::optional<ListenAddress> relayAddress(const VmId& vm) const;
    /** Relay addresses of all other registered VMs. */
    std::vector<ListenAddress> otherRelayAddresses() const;

private:
    struct Member {
        MemberRecord record;
        /** Time until which the VM shares limits; TimePoint::max() while it is registered. */
        TimePoint countedUntil;
    };

    VmId self_;
    std::map<VmId, Member> members_;
};

/** Keeps this VM registered in the store under a lease. */
class Registration {
public:
    /** @param key key under which the VM registers  @param timeToLive time to live of the lease */
    Registration(boost::asio::io_context& ioContext, store::PolledStore& store, std::string key,
        std::string value, Duration timeToLive);

    void start();
    /** Revokes the lease; `done` runs once the store has responded or the call has failed. */
    void stop(std::function<void()> done);

private:
    void grantLease();
    void putRecord();
    void renewLease();

    boost::asio::steady_timer timer_;
    store::PolledStore& store_;
    const std::string key_;
    const std::string value_;
    const Duration timeToLive_;
    store::LeaseId lease_;
    bool stopping_ = false;
};

} // namespace banyancroft::gateway
