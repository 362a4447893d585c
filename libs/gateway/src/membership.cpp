#include "membership.h"

#include "base/rendezvous.h"
#include "run_after.h"
#include "telemetry/log.h"

namespace banyancroft::gateway {

namespace {

using telemetry::log;
using telemetry::LogLevel;

/** A VM that left may still have requests on their way, and others may not know yet that it left. */
constexpr Duration countedAfterLeaving = std::chrono::seconds(5);
constexpr Duration retryPause = std::chrono::milliseconds(500);
/** Renewals in the time of a lease: one may fail, and is repeated soon. */
constexpr int renewalsPerLease = 2;

} // namespace

MemberCount::MemberCount(VmId self)
    : self_(std::move(self))
{
}

void MemberCount::joined(const VmId& vm, MemberRecord record)
{
    vms_[vm] = { std::move(record), TimePoint::max() };
}

void MemberCount::left(const VmId& vm, TimePoint now)
{
    const auto found = vms_.find(vm);
    if (found != vms_.end() && found->second.until == TimePoint::max())
        found->second.until = now + countedAfterLeaving;
}

void MemberCount::listed(const std::map<VmId, MemberRecord>& vms, TimePoint now)
{
    for (const auto& [vm, member] : vms_) {
        if (!vms.contains(vm))
            left(vm, now);
    }
    for (const auto& [vm, record] : vms)
        joined(vm, record);
}

std::set<VmId> MemberCount::live(TimePoint now) const
{
    std::set<VmId> vms { self_ };
    for (const auto& [vm, member] : vms_) {
        if (member.until > now)
            vms.insert(vm);
    }
    return vms;
}

VmId MemberCount::reader(const AvailabilityZone& zone) const
{
    auto best = self_;
    auto bestWeight = rendezvousWeight(self_, zone.view());
    for (const auto& [vm, member] : vms_) {
        if (member.until != TimePoint::max() || member.record.zone != zone || member.record.relay.port == 0)
            continue;
        const auto weight = rendezvousWeight(vm, zone.view());
        if (weight > bestWeight) {
            best = vm;
            bestWeight = weight;
        }
    }
    return best;
}

std::optional<ListenAddress> MemberCount::relayOf(const VmId& vm) const
{
    const auto found = vms_.find(vm);
    if (found == vms_.end() || found->second.until != TimePoint::max()
        || found->second.record.relay.port == 0)
        return std::nullopt;
    return found->second.record.relay;
}

std::vector<ListenAddress> MemberCount::otherRelays() const
{
    std::vector<ListenAddress> relays;
    for (const auto& [vm, member] : vms_) {
        if (const auto relay = relayOf(vm); relay && vm != self_)
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

void Registration::start() { grant(); }

void Registration::grant()
{
    store_.grantLease(timeToLive_, [this](std::optional<store::LeaseGrant> grant, const Error& reason) {
        if (stopping_)
            return;
        if (!grant) {
            log(LogLevel::Warn, "membership", "no lease granted", { { "reason", toString(reason) } });
            return runAfter(timer_, retryPause, [this] { this->grant(); });
        }
        lease_ = grant->lease;
        write();
    });
}

void Registration::write()
{
    store_.put(key_, value_, lease_, [this](std::optional<store::Revision> revision, const Error& reason) {
        if (stopping_)
            return;
        if (!revision) {
            log(LogLevel::Warn, "membership", "not registered", { { "reason", toString(reason) } });
            const bool lapsed = reason.kind == ErrorKind::NotFound;
            return runAfter(timer_, retryPause, [this, lapsed] { lapsed ? grant() : write(); });
        }
        log(LogLevel::Info, "membership", "registered",
            { { "key", key_ }, { "lease", std::to_string(lease_.value) },
                { "revision", std::to_string(revision->value) } });
        runAfter(timer_, timeToLive_ / renewalsPerLease, [this] { renew(); });
    });
}

void Registration::renew()
{
    store_.renewLease(lease_, [this](std::optional<store::LeaseGrant> grant, const Error& reason) {
        if (stopping_)
            return;
        if (!grant && reason.kind == ErrorKind::NotFound) {
            log(LogLevel::Warn, "membership", "lease lapsed, registering anew",
                { { "lease", std::to_string(lease_.value) } });
            return this->grant();
        }
        if (!grant)
            log(LogLevel::Warn, "membership", "lease not renewed", { { "reason", toString(reason) } });
        runAfter(timer_, grant ? timeToLive_ / renewalsPerLease : retryPause, [this] { renew(); });
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
            log(LogLevel::Warn, "membership", "lease not ended", { { "reason", toString(reason) } });
        done();
    });
}

} // namespace banyancroft::gateway
