#include "membership.h"

#include "base/rendezvous.h"
#include "run_after.h"
#include "telemetry/log.h"

namespace banyancroft::gateway {

namespace {

using telemetry::log;
using telemetry::LogLevel;

/** Time for which a removed VM still counts: it may have requests in flight, and other VMs may not have
 * learned of its removal yet. */
constexpr Duration removalDelay = std::chrono::seconds(5);
constexpr Duration retryInterval = std::chrono::milliseconds(500);
/** Renewals per lease period. With two, the lease survives a failed renewal, which is retried soon. */
constexpr int renewalsPerLease = 2;

} // namespace

MemberTracker::MemberTracker(VmId self)
    : self_(std::move(self))
{
}

void MemberTracker::add(const VmId& vm, MemberRecord record)
{
    members_[vm] = { std::move(record), TimePoint::max() };
}

void MemberTracker::remove(const VmId& vm, TimePoint now)
{
    const auto found = members_.find(vm);
    if (found != members_.end() && found->second.countedUntil == TimePoint::max())
        found->second.countedUntil = now + removalDelay;
}

void MemberTracker::replaceAll(const std::map<VmId, MemberRecord>& members, TimePoint now)
{
    for (const auto& [vm, member] : members_) {
        if (!members.contains(vm))
            remove(vm, now);
    }
    for (const auto& [vm, record] : members)
        add(vm, record);
}

std::set<VmId> MemberTracker::liveVms(TimePoint now) const
{
    std::set<VmId> vms { self_ };
    for (const auto& [vm, member] : members_) {
        if (member.countedUntil > now)
            vms.insert(vm);
    }
    return vms;
}

VmId MemberTracker::storeReader(const AvailabilityZone& zone) const
{
    auto best = self_;
    auto bestWeight = rendezvousWeight(self_, zone.view());
    for (const auto& [vm, member] : members_) {
        if (member.countedUntil != TimePoint::max() || member.record.zone != zone
            || member.record.relay.port == 0)
            continue;
        const auto weight = rendezvousWeight(vm, zone.view());
        if (weight > bestWeight) {
            best = vm;
            bestWeight = weight;
        }
    }
    return best;
}

std::optional<ListenAddress> MemberTracker::relayAddress(const VmId& vm) const
{
    const auto found = members_.find(vm);
    if (found == members_.end() || found->second.countedUntil != TimePoint::max()
        || found->second.record.relay.port == 0)
        return std::nullopt;
    return found->second.record.relay;
}

std::vector<ListenAddress> MemberTracker::otherRelayAddresses() const
{
    std::vector<ListenAddress> relays;
    for (const auto& [vm, member] : members_) {
        if (const auto relay = relayAddress(vm); relay && vm != self_)
            relays.push_back(*relay);
    }
    return relays;
}

Registration::Registration(boost::asio::io_context& ioContext, store::PolledStore& store, std::string key,
    std::string value, Duration timeToLive)
    : timer_(ioContext)
    , store_(store)
    , key_(std::move(key))
    , value_(std::move(value))
    , timeToLive_(timeToLive)
{
}

void Registration::start() { grantLease(); }

void Registration::grantLease()
{
    store_.grantLease(timeToLive_, [this](std::optional<store::LeaseGrant> grant, const Error& reason) {
        if (stopping_)
            return;
        if (!grant) {
            log(LogLevel::Warn, "membership", "cannot obtain registration lease, will retry",
                { { "reason", toString(reason) } });
            return runAfter(timer_, retryInterval, [this] { this->grantLease(); });
        }
        lease_ = grant->lease;
        putRecord();
    });
}

void Registration::putRecord()
{
    store_.put(key_, value_, lease_, [this](std::optional<store::Revision> revision, const Error& reason) {
        if (stopping_)
            return;
        if (!revision) {
            log(LogLevel::Warn, "membership", "cannot write registration, will retry",
                { { "reason", toString(reason) } });
            const bool lapsed = reason.kind == ErrorKind::NotFound;
            return runAfter(timer_, retryInterval, [this, lapsed] { lapsed ? grantLease() : putRecord(); });
        }
        log(LogLevel::Info, "membership", "registered",
            { { "key", key_ }, { "lease", std::to_string(lease_.value) },
                { "revision", std::to_string(revision->value) } });
        runAfter(timer_, timeToLive_ / renewalsPerLease, [this] { renewLease(); });
    });
}

void Registration::renewLease()
{
    store_.renewLease(lease_, [this](std::optional<store::LeaseGrant> grant, const Error& reason) {
        if (stopping_)
            return;
        if (!grant && reason.kind == ErrorKind::NotFound) {
            log(LogLevel::Warn, "membership", "registration lease expired, registering again",
                { { "lease", std::to_string(lease_.value) } });
            return this->grantLease();
        }
        if (!grant)
            log(LogLevel::Warn, "membership", "cannot renew registration lease, will retry",
                { { "reason", toString(reason) } });
        runAfter(timer_, grant ? timeToLive_ / renewalsPerLease : retryInterval, [this] { renewLease(); });
    });
}

void Registration::stop(std::function<void()> done)
{
    stopping_ = true;
    timer_.cancel();
    if (!lease_)
        return done();
    store_.revokeLease(lease_, [done = std::move(done)](std::optional<bool> ended, const Error& reason) {
        if (!ended)
            log(LogLevel::Warn, "membership", "cannot revoke registration lease",
                { { "reason", toString(reason) } });
        done();
    });
}

} // namespace banyancroft::gateway
