#include "membership.h"

#include "base/rendezvous.h"
#include "run_after.h"
#include "telemetry/log.h"

#include <algorithm>
#include <utility>

namespace banyancroft::gateway {

namespace {

using telemetry::log;
using telemetry::LogLevel;

/** Time for which a removed VM still counts: it may have requests in flight, and other VMs may not have
 * learned of its removal yet. */
constexpr Duration removalDelay = std::chrono::seconds(5);
constexpr Duration retryInterval = std::chrono::milliseconds(500);
constexpr unsigned maxRetryDoublings = 3;
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
    if (found == members_.end() || found->second.countedUntil != TimePoint::max())
        return;
    auto& member = found->second;
    if (now >= graceUntil_) {
        member.countedUntil = now + removalDelay;
        member.removalDue.reset();
    } else if (!member.removalDue) {
        member.removalDue = graceUntil_;
    }
}

void MemberTracker::applyDeferredRemovals(TimePoint now)
{
    for (auto& [vm, member] : members_) {
        if (!member.removalDue || now < *member.removalDue)
            continue;
        member.removalDue.reset();
        member.countedUntil = now + removalDelay;
    }
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
    std::set<VmId> vms;
    if (dispatching_)
        vms.insert(self_);
    for (const auto& [vm, member] : members_) {
        if (vm != self_ && member.countedUntil > now)
            vms.insert(vm);
    }
    return vms;
}

VmId MemberTracker::storeReader(const AvailabilityZone& zone) const
{
    std::optional<VmId> best;
    // VMs of the zone come before all others.
    std::pair<bool, std::uint64_t> bestRank;
    const auto consider = [&](const VmId& vm, const AvailabilityZone& vmZone) {
        const std::pair rank { vmZone == zone, rendezvousWeight(vm, zone.view()) };
        if (best && rank <= bestRank)
            return;
        best = vm;
        bestRank = rank;
    };
    if (dispatching_)
        consider(self_, zone);
    for (const auto& [vm, member] : members_) {
        if (vm != self_ && member.countedUntil == TimePoint::max() && member.record.relay.port != 0)
            consider(vm, member.record.zone);
    }
    return best.value_or(self_);
}

bool MemberTracker::isRegistered(const VmId& vm) const
{
    const auto found = members_.find(vm);
    return found != members_.end() && found->second.countedUntil == TimePoint::max();
}

std::optional<unsigned> MemberTracker::rankFor(std::string_view name) const
{
    if (!dispatching_)
        return std::nullopt;
    const auto own = rendezvousWeight(self_, name);
    return static_cast<unsigned>(std::count_if(members_.begin(), members_.end(), [&](const auto& entry) {
        return entry.first != self_ && isRegistered(entry.first) && rendezvousWeight(entry.first, name) > own;
    }));
}

std::vector<Dispatcher> MemberTracker::otherDispatchers(const AvailabilityZone& zone) const
{
    auto dispatchers = otherDispatchers();
    std::erase_if(dispatchers,
        [&](const auto& dispatcher) { return members_.find(dispatcher.vm)->second.record.zone != zone; });
    return dispatchers;
}

std::vector<Dispatcher> MemberTracker::otherDispatchers() const
{
    std::vector<Dispatcher> dispatchers;
    for (const auto& [vm, member] : members_) {
        if (vm != self_ && isRegistered(vm) && member.record.handover.port != 0)
            dispatchers.push_back({ vm, member.record.handover, member.record.processors });
    }
    return dispatchers;
}

std::set<VmId> MemberTracker::registeredDispatchers() const
{
    std::set<VmId> vms;
    for (const auto& [vm, member] : members_) {
        if (isRegistered(vm) && member.record.handover.port != 0)
            vms.insert(vm);
    }
    return vms;
}

std::size_t MemberTracker::dispatchersAhead(const AvailabilityZone& zone, double processors) const
{
    const std::pair own { processors, rendezvousWeight(self_, zone.view()) };
    const auto dispatchers = otherDispatchers(zone);
    return static_cast<std::size_t>(
        std::count_if(dispatchers.begin(), dispatchers.end(), [&](const auto& other) {
            return std::pair { other.processors, rendezvousWeight(other.vm, zone.view()) } > own;
        }));
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

template <typename Handler> auto Registration::whileActive(Handler handler)
{
    return [this, run = run_, handler = std::move(handler)](auto result, const Error& reason) {
        if (!active_ || run != run_)
            return;
        if (this->isLeaseOfOldEra())
            return this->restart();
        handler(std::move(result), reason);
    };
}

void Registration::start()
{
    if (active_)
        return;
    active_ = true;
    restart();
}

void Registration::restart()
{
    timer_.cancel();
    ++run_;
    consecutiveFailures_ = 0;
    lease_ = {};
    grantLease();
}

void Registration::storeRestored()
{
    if (!active_ || !lease_ || !isLeaseOfOldEra())
        return;
    log(LogLevel::Info, "membership", "store was restored from a copy, registering under a new lease",
        { { "lease", std::to_string(lease_.value) }, { "lease_era", std::to_string(leaseEra_.value) },
            { "era", std::to_string(store_.eras().current().value) } });
    restart();
}

void Registration::retry(std::function<void()> next)
{
    const auto pause = retryInterval * (1U << std::min(consecutiveFailures_, maxRetryDoublings));
    ++consecutiveFailures_;
    runAfter(timer_, pause, std::move(next));
}

void Registration::grantLease()
{
    store_.grantLease(
        timeToLive_, [this, run = run_](std::optional<store::LeaseGrant> grant, const Error& reason) {
            const bool isOfOldEra = grant && grant->era < store_.eras().current();
            if (!active_ || run != run_) {
                if (grant && !isOfOldEra)
                    revoke(grant->lease);
                return;
            }
            if (isOfOldEra)
                return retry([this] { this->grantLease(); });
            if (!grant) {
                log(LogLevel::Warn, "membership", "cannot obtain registration lease, will retry",
                    { { "reason", toString(reason) } });
                return retry([this] { this->grantLease(); });
            }
            lease_ = grant->lease;
            leaseEra_ = grant->era;
            putRecord();
        });
}

void Registration::putRecord()
{
    store_.put(key_, value_, lease_,
        whileActive([this](std::optional<store::Revision> revision, const Error& reason) {
            if (!revision) {
                log(LogLevel::Warn, "membership", "cannot write registration, will retry",
                    { { "reason", toString(reason) } });
                const bool lapsed = reason.kind == ErrorKind::NotFound;
                return retry([this, lapsed] { lapsed ? grantLease() : putRecord(); });
            }
            consecutiveFailures_ = 0;
            log(LogLevel::Info, "membership", "registered",
                { { "key", key_ }, { "lease", std::to_string(lease_.value) },
                    { "revision", std::to_string(revision->value) } });
            runAfter(timer_, timeToLive_ / renewalsPerLease, [this] { renewLease(); });
        }));
}

void Registration::renewLease()
{
    store_.renewLease(
        lease_, whileActive([this](std::optional<store::LeaseGrant> grant, const Error& reason) {
            if (!grant && reason.kind == ErrorKind::NotFound) {
                log(LogLevel::Warn, "membership", "registration lease expired, registering again",
                    { { "lease", std::to_string(lease_.value) } });
                lease_ = {};
                ++lapses_;
                return this->grantLease();
            }
            if (!grant) {
                log(LogLevel::Warn, "membership", "cannot renew registration lease, will retry",
                    { { "reason", toString(reason) } });
                return retry([this] { renewLease(); });
            }
            consecutiveFailures_ = 0;
            runAfter(timer_, timeToLive_ / renewalsPerLease, [this] { renewLease(); });
        }));
}

void Registration::revoke(store::LeaseId lease)
{
    store_.revokeLease(lease, [](std::optional<bool> ended, const Error& reason) {
        if (!ended)
            log(LogLevel::Warn, "membership", "cannot revoke registration lease",
                { { "reason", toString(reason) } });
    });
}

void Registration::stop()
{
    active_ = false;
    timer_.cancel();
    const auto lease = std::exchange(lease_, {});
    if (lease && !isLeaseOfOldEra())
        revoke(lease);
}

} // namespace banyancroft::gateway
