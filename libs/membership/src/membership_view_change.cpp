#include "membership/membership.h"

#include <algorithm>

namespace banyancroft::membership {

std::optional<View> Membership::wantedView(TimePoint now) const
{
    if (!view_) {
        if (stopping_)
            return std::nullopt;
        View first;
        first.zone = settings_.zone;
        first.number = { 1 };
        first.members.push_back({ settings_.vm, settings_.incarnation, settings_.address, first.number,
            vmsSeen_.contains(settings_.vm) });
        first.settled.push_back(settings_.vm);
        return first;
    }
    // After the store lost writes, the newest known view is written again.
    if (storeBehind_)
        return *view_;

    View next = *view_;
    if (releaseWanted_) {
        releaseZone(next);
        return next;
    }
    next.number.value = view_->number.value + 1;
    const bool removed = removeMembers(next, now);
    const bool added = addMembers(next);
    if (removed)
        next.lastRemoval = next.number;
    if (removed || added)
        return next;

    next = *view_;
    const bool pruned = pruneDeparting(next, now);
    const bool settled = settle(next, now);
    if (pruned || settled)
        return next;
    return std::nullopt;
}

bool Membership::removeMembers(View& next, TimePoint now) const
{
    // After an outage of the store, the record of each member is missing until it has a lease again.
    const bool othersCouldRenew = now >= leaseAcquired_ + settings_.lease;
    auto leaves = [&](const Member& member) {
        if (isSelf(member))
            return stopping_;
        const MemberRecord* record = recordOf(member.vm);
        if (record == nullptr)
            return othersCouldRenew || goneSince_.contains(member.vm);
        return record->incarnation != member.incarnation || record->intent == Intent::Leave;
    };
    auto firstLeaving = std::stable_partition(
        next.members.begin(), next.members.end(), [&](const Member& member) { return !leaves(member); });
    const bool removed = firstLeaving != next.members.end();
    next.departing.insert(next.departing.end(), firstLeaving, next.members.end());
    next.members.erase(firstLeaving, next.members.end());
    return removed;
}

bool Membership::addMembers(View& next) const
{
    bool added = false;
    auto add = [&](const MemberRecord& record) {
        // A daemon that has acknowledged nothing may still be bound by promises of an earlier incarnation.
        if (record.intent != Intent::Join || !record.acknowledged || next.find(record.vm) != nullptr)
            return;
        auto departing
            = std::find_if(next.departing.begin(), next.departing.end(), [&](const Member& member) {
                  return member.vm == record.vm && member.incarnation == record.incarnation;
              });
        if (departing != next.departing.end()) {
            if (record.acknowledged < view_->number)
                return;
            next.departing.erase(departing);
        }
        next.members.push_back({ record.vm, record.incarnation, record.address, next.number, record.listed });
        added = true;
    };
    for (const ListedRecord& listed : records_) {
        if (listed.record.vm != settings_.vm)
            add(listed.record);
    }
    if (confirmedRecord_ && !stopping_)
        add(*confirmedRecord_);
    return added;
}

void Membership::releaseZone(View& next) const
{
    next.number.value = view_->number.value + 1;
    next.lastRemoval = next.number;
    std::erase_if(
        next.members, [&](const Member& member) { return !isSelf(member) && recordOf(member) == nullptr; });
    std::erase_if(next.departing, [&](const Member& member) { return recordOf(member) == nullptr; });
    next.settled.clear();
}

bool Membership::pruneDeparting(View& next, TimePoint now) const
{
    const std::size_t before = next.departing.size();
    std::erase_if(next.departing, [&](const Member& member) {
        const Instance instance { member.vm, member.incarnation };
        // The report of an instance's requests in flight must stay readable while those requests may run.
        auto since = acknowledgedSince_.find(instance);
        const bool hasAcknowledged = since != acknowledgedSince_.end()
            && now >= since->second + plusClockMargin(settings_.deadlineMargin);
        return hasAcknowledged || knownStopped(instance, now);
    });
    const bool allGone
        = !next.settled.empty() && std::all_of(next.settled.begin(), next.settled.end(), [&](const VmId& vm) {
              return vmKnownGone(vm, settings_.promise + settings_.deadlineMargin, now);
          });
    const bool lastMemberStops = stopping_ && next.members.empty() && !next.settled.empty()
        && ownAcknowledgementStored() && settledAcknowledged()
        && std::all_of(next.departing.begin(), next.departing.end(),
            [&](const Member& member) { return isSelf(member); });
    if (allGone || lastMemberStops)
        next.settled.clear();
    return next.departing.size() != before || allGone || lastMemberStops;
}

bool Membership::settle(View& next, TimePoint now) const
{
    if (next.members.empty() || !barrierMet(now))
        return false;
    std::vector<VmId> vms;
    for (const Member& member : next.members) {
        if (!isSelf(member) && !acknowledged(member, next.number))
            return false;
        vms.push_back(member.vm);
    }
    std::sort(vms.begin(), vms.end());
    if (vms == next.settled)
        return false;
    next.settled = std::move(vms);
    return true;
}

} // namespace banyancroft::membership
