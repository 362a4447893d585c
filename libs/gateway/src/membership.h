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
 * How many VMs share the limits of the fleet: a VM that joins counts at once, one that left counts some
 * seconds longer, so that the shares never add up to more than the whole.
 */
class MemberTracker {
public:
    explicit MemberTracker(VmId self);

    void add(const VmId& vm, MemberRecord record);
    void remove(const VmId& vm, TimePoint now);
    /** Replaces what is known; VMs that are not listed have left. */
    void replaceAll(const std::map<VmId, MemberRecord>& members, TimePoint now);
    /** VMs that share the limits, this one included. */
    std::set<VmId> liveVms(TimePoint now) const;
    /** The registered VM, or this one, that reads the store for an availability zone; alike on all VMs. */
    VmId storeReader(const AvailabilityZone& zone) const;
    /** Relay address of a registered VM; empty when there is none. */
    std::optional<ListenAddress> relayAddress(const VmId& vm) const;
    /** Relay addresses of all other registered VMs. */
    std::vector<ListenAddress> otherRelayAddresses() const;

private:
    struct Member {
        MemberRecord record;
        /** Until when the VM counts; TimePoint::max() while it is registered. */
        TimePoint countedUntil;
    };

    VmId self_;
    std::map<VmId, Member> members_;
};

/** Keeps this VM registered at the store under a lease. */
class Registration {
public:
    /** @param key under which the VM registers  @param timeToLive of the lease */
    Registration(boost::asio::io_context& ioContext, store::PolledStore& store, std::string key,
        std::string value, Duration timeToLive);

    void start();
    /** Ends the registration; `done` runs when the store has answered or the call has failed. */
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
