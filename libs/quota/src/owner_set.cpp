#include "quota/owner_set.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <functional>

namespace banyancroft::quota {

namespace {

/** Time after its registration from which a VM is an owner, as a multiple of the view skew: longer than the
 * time in which the others learn of it. */
constexpr int maturityFactor = 2;
/** A VM that registers again within this time has only lost its lease, for example in an outage of the store,
 * and is no newcomer. */
constexpr Duration reregistrationTime = std::chrono::seconds(5);
/** Changes that are older have no effect on what an owner may grant. */
constexpr Duration historyLength = std::chrono::seconds(30);

} // namespace

OwnerSet::OwnerSet(VmId self, Duration viewSkew)
    : self_(std::move(self))
    , viewSkew_(viewSkew)
{
}

void OwnerSet::reset()
{
    members_.clear();
    epochs_.clear();
    newcomersFrom_ = TimePoint::max();
    wasReset_ = true;
}

void OwnerSet::update(const std::set<VmId>& registered, TimePoint now)
{
    // This VM cannot tell for how long the others have seen it as removed, so to itself it is a newcomer.
    if (!registered.contains(self_))
        registeredAgain();
    const auto maturity = maturityFactor * viewSkew_;
    const bool isFirstView = epochs_.empty();
    // The others may have learnt of a lapse a skew after this VM's first view, and of the new registration a
    // skew before this VM does.
    if (isFirstView)
        newcomersFrom_ = now + reregistrationTime + 2 * viewSkew_;
    for (const auto& vm : registered) {
        // All that the first view holds registered before this VM could ask anyone.
        const bool isKnown = isFirstView && !(vm == self_ && wasReset_);
        Member newMember { isKnown ? now : now + maturity };
        newMember.mayBeKnown = !isKnown && now < newcomersFrom_;
        const auto [known, isNew] = members_.try_emplace(vm, newMember);
        if (!isNew && now - known->second.removedAt >= reregistrationTime) {
            newMember.mayBeKnown = true;
            known->second = newMember;
        }
        known->second.removedAt = TimePoint::max();
    }
    for (auto& [vm, member] : members_) {
        if (!registered.contains(vm) && member.removedAt == TimePoint::max())
            member.removedAt = now;
    }
    // A view may be as old as maxShareAge after a cut, so this VM may learn late that another one is back.
    const auto memory = reregistrationTime + maxShareAge + 2 * viewSkew_;
    std::erase_if(members_, [&](const auto& entry) {
        const auto removedAt = entry.second.removedAt;
        return removedAt != TimePoint::max() && now - removedAt >= memory;
    });
    std::set<VmId> owners;
    for (const auto& [vm, member] : members_) {
        if (member.removedAt == TimePoint::max() && now >= member.ownsFrom)
            owners.insert(vm);
    }
    if (epochs_.empty() || epochs_.back().owners != owners)
        epochs_.push_back({ now, std::move(owners) });
    while (epochs_.size() > 1 && now - epochs_[1].since >= historyLength)
        epochs_.pop_front();
}

std::optional<VmId> OwnerSet::ownerAmong(const std::set<VmId>& owners, const CustomerId& customer)
{
    std::optional<VmId> best;
    std::pair<std::uint64_t, VmId> bestWeight;
    for (const auto& vm : owners) {
        const std::pair weight { rendezvousWeight(vm, customer.view()), vm };
        if (best && weight <= bestWeight)
            continue;
        best = vm;
        bestWeight = weight;
    }
    return best;
}

std::vector<VmId> OwnerSet::ranked(const CustomerId& customer) const
{
    // If all registrations have lapsed, in an outage of the store, the last owners are still there to be
    // asked.
    const auto epoch = std::find_if(
        epochs_.rbegin(), epochs_.rend(), [](const auto& known) { return !known.owners.empty(); });
    if (epoch == epochs_.rend())
        return {};
    std::vector<std::pair<std::uint64_t, VmId>> weighted;
    for (const auto& vm : epoch->owners)
        weighted.emplace_back(rendezvousWeight(vm, customer.view()), vm);
    std::sort(weighted.begin(), weighted.end(), std::greater<>());
    std::vector<VmId> vms;
    vms.reserve(weighted.size());
    for (auto& [weight, vm] : weighted)
        vms.push_back(std::move(vm));
    return vms;
}

std::optional<VmId> OwnerSet::owner(const CustomerId& customer) const
{
    return epochs_.empty() ? std::nullopt : ownerAmong(epochs_.back().owners, customer);
}

std::optional<TimePoint> OwnerSet::grantsFrom(const CustomerId& customer) const
{
    std::optional<TimePoint> since;
    for (auto epoch = epochs_.rbegin(); epoch != epochs_.rend(); ++epoch) {
        if (ownerAmong(epoch->owners, customer) != self_)
            break;
        since = epoch->since;
    }
    return since ? std::optional(std::max(*since + viewSkew_, settledFrom(customer))) : std::nullopt;
}

TimePoint OwnerSet::settledFrom(const CustomerId& customer) const
{
    TimePoint from {};
    const auto own = rendezvousWeight(self_, customer.view());
    for (const auto& [vm, member] : members_) {
        if (member.mayBeKnown && vm != self_ && rendezvousWeight(vm, customer.view()) >= own)
            from = std::max(from, member.ownsFrom);
    }
    return from;
}

bool OwnerSet::isNewcomer(TimePoint now) const
{
    const auto self = members_.find(self_);
    return !epochs_.empty() && (self == members_.end() || now < self->second.ownsFrom);
}

} // namespace banyancroft::quota
