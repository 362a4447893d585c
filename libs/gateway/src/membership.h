#pragma once

#include "base/ids.h"
#include "store/polled_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>

namespace banyancroft::gateway {

/**
 * How many VMs share the limits of the fleet: a VM that joins counts at once, one that left counts some
 * seconds longer, so that the shares never add up to more than the whole.
 */
class MemberCount {
public:
    explicit MemberCount(VmId self);

    void joined(const VmId& vm, TimePoint now);
    void left(const VmId& vm, TimePoint now);
    /** Replaces what is known; VMs that are not listed have left. */
    void listed(const std::set<VmId>& vms, TimePoint now);
    /** VMs that share the limits, this one included. */
    std::set<VmId> live(TimePoint now) const;

private:
    VmId self_;
    /** VMs with the time until which they count; TimePoint::max() while they are registered. */
    std::map<VmId, TimePoint> vms_;
};

/** Keeps this VM registered at the store under a lease. */
class Registration {
public:
    /** @param key under which the VM registers  @param timeToLive of the lease */
    Registration(
        boost::asio::io_context& ioContext, store::PolledStore& store, std::string key, Duration timeToLive);

    void start();
    /** Ends the registration; `done` runs when the store has answered or the call has failed. */
    void stop(std::function<void()> done);

private:
    void grant();
    void write();
    void renew();

    boost::asio::steady_timer timer_;
    store::PolledStore& store_;
    const std::string key_;
    const Duration timeToLive_;
    store::LeaseId lease_;
    bool stopping_ = false;
};

} // namespace banyancroft::gateway
