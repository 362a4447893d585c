#include "membership/membership.h"

#include <algorithm>

namespace banyancroft::membership {

Membership::Membership(Settings settings, TimePoint now)
    : settings_(std::move(settings))
    , lease_(settings_.lease)
    , promises_(settings_.promise, settings_.deadlineMargin, now)
{
}

Actions Membership::setUpstreams(std::span<const UpstreamId> upstreams, TimePoint now)
{
    Actions actions;
    std::map<UpstreamId, Ownership> next;
    for (const UpstreamId& upstream : upstreams) {
        auto known = upstreams_.extract(upstream);
        if (known) {
            next.insert(std::move(known));
        } else {
            next.try_emplace(upstream);
        }
    }
    for (const auto& [upstream, ownership] : upstreams_) {
        if (ownership.lastReported.share != Share::None)
            actions.emplace_back(AuthorityChanged { upstream, {} });
    }
    upstreams_ = std::move(next);
    updateHomes();
    Actions more = advance(now);
    actions.insert(actions.end(), more.begin(), more.end());
    return actions;
}

Actions Membership::tick(TimePoint now) { return advance(now); }

RequestId Membership::beginCall(Call& call, TimePoint now)
{
    call.request = { ++lastRequest_ };
    call.started = now;
    return call.request;
}

bool Membership::finishCall(Call& call, RequestId request)
{
    if (!call.pending() || call.request != request)
        return false;
    call.request = {};
    return true;
}

void Membership::onStoreFailure(Call& call, TimePoint now)
{
    call.notBefore = now + settings_.retryDelay;
    storeFailed_ = true;
}

Actions Membership::leaseGranted(RequestId request, TimePoint now)
{
    if (finishCall(leaseCall_, request)) {
        lease_.succeeded(leaseCall_.started);
        leaseAcquired_ = now;
        leaseReady_ = false;
        confirmedRecord_.reset();
        // The record of the old lease was deleted with it. A record of an earlier incarnation makes the write
        // at revision zero fail and is then found by the listing.
        recordRevision_ = StoreRevision {};
        nextRenewal_ = leaseCall_.started + settings_.renewEvery;
        storeFailed_ = false;
    }
    return advance(now);
}

Actions Membership::leaseRenewed(RequestId request, TimePoint now)
{
    if (finishCall(leaseCall_, request)) {
        lease_.succeeded(leaseCall_.started);
        nextRenewal_ = leaseCall_.started + settings_.renewEvery;
        storeFailed_ = false;
    }
    return advance(now);
}

Actions Membership::leaseLost(RequestId request, TimePoint now)
{
    if (finishCall(leaseCall_, request)) {
        lease_.lost();
        leaseReady_ = false;
        confirmedRecord_.reset();
        recordRevision_.reset();
        storeFailed_ = false;
    }
    return advance(now);
}

Actions Membership::viewRead(
    RequestId request, const std::optional<View>& view, StoreRevision modified, TimePoint now)
{
    if (!finishCall(viewCall_, request))
        return advance(now);
    storeFailed_ = false;
    viewReadNeeded_ = false;
    nextViewRead_ = now + settings_.renewEvery;
    storeBehind_ = view_ && (!view || view->number < view_->number);
    if (storeBehind_ || !view) {
        viewRevision_ = view ? modified : StoreRevision {};
    } else {
        adopt(*view, modified);
    }
    // Only a read that began after the record was written sees every view whose writer may have missed the
    // record; onRecordConfirmed discards a read that began earlier.
    if (confirmedRecord_ && !storeBehind_)
        leaseReady_ = lease_.granted();
    return advance(now);
}

Actions Membership::viewChanged(const View& view, StoreRevision modified, TimePoint now)
{
    adopt(view, modified);
    return advance(now);
}

Actions Membership::viewLearned(const View& view, TimePoint now)
{
    adopt(view, std::nullopt);
    return advance(now);
}

Actions Membership::swapped(RequestId request, std::optional<StoreRevision> revision, TimePoint now)
{
    if (finishCall(swapCall_, request)) {
        storeFailed_ = false;
        changeWantedSince_.reset();
        if (revision) {
            storeBehind_ = false;
            releaseWanted_ = false;
            adopt(pendingView_, *revision);
        } else {
            viewReadNeeded_ = true;
        }
    }
    return advance(now);
}

Actions Membership::recordWritten(RequestId request, std::optional<StoreRevision> revision, TimePoint now)
{
    if (finishCall(recordCall_, request)) {
        storeFailed_ = false;
        if (recordCall_.started < leaseAcquired_ || !lease_.granted()) {
            recordRevision_.reset();
        } else if (revision) {
            onRecordConfirmed(pendingRecord_, *revision);
        } else {
            recordRevision_.reset();
            nextListing_ = now;
        }
    }
    return advance(now);
}

void Membership::onRecordConfirmed(const MemberRecord& record, StoreRevision revision)
{
    if (!confirmedRecord_) {
        viewReadNeeded_ = true;
        viewCall_.request = {};
    }
    confirmedRecord_ = record;
    recordRevision_ = revision;
}

Actions Membership::membersListed(
    RequestId request, std::span<const ListedRecord> records, StoreRevision revision, TimePoint now)
{
    if (!finishCall(listCall_, request))
        return advance(now);
    storeFailed_ = false;
    records_.assign(records.begin(), records.end());
    recordsRevision_ = revision;
    newRecordsListed_ = true;
    recordIndex_.clear();
    for (std::size_t i = 0; i < records_.size(); ++i)
        recordIndex_[records_[i].record.vm] = i;
    updateRecordTimes(now);
    updateMaintenanceRank();
    // After a lost reply, the listing shows whether the record was written. A listing that began before the
    // lease was acquired may show a record of the previous lease.
    if (!recordRevision_ && !recordCall_.pending() && lease_.granted()
        && listCall_.started >= leaseAcquired_) {
        recordRevision_ = StoreRevision {};
        for (const ListedRecord& listed : records_) {
            if (listed.record.vm != settings_.vm)
                continue;
            recordRevision_ = listed.modified;
            if (listed.record.incarnation == settings_.incarnation)
                onRecordConfirmed(listed.record, listed.modified);
        }
    }
    return advance(now);
}

Actions Membership::storeFailed(RequestId request, TimePoint now)
{
    if (finishCall(leaseCall_, request)) {
        onStoreFailure(leaseCall_, now);
    } else if (finishCall(recordCall_, request)) {
        onStoreFailure(recordCall_, now);
        recordRevision_.reset();
        nextListing_ = now;
    } else if (finishCall(viewCall_, request)) {
        onStoreFailure(viewCall_, now);
    } else if (finishCall(swapCall_, request)) {
        onStoreFailure(swapCall_, now);
        viewReadNeeded_ = true;
    } else if (finishCall(listCall_, request)) {
        onStoreFailure(listCall_, now);
    }
    return advance(now);
}

Actions Membership::vmsListed(std::span<const VmId> vms, TimePoint now)
{
    const std::set<VmId> present(vms.begin(), vms.end());
    std::set<VmId> missing;
    auto note = [&](const VmId& vm) {
        if (present.contains(vm))
            return;
        // The list may have been read before a VM joined, so the first list without that VM proves nothing.
        if (vmsSeen_.contains(vm) || vmsMissing_.contains(vm))
            goneSince_.try_emplace(vm, now);
        missing.insert(vm);
    };
    if (view_) {
        for (const auto* members : { &view_->members, &view_->departing }) {
            for (const Member& member : *members) {
                if (member.listed || vmsSeen_.contains(member.vm))
                    note(member.vm);
            }
        }
        for (const VmId& vm : view_->settled) {
            if (vmsSeen_.contains(vm) || vmsMissing_.contains(vm))
                note(vm);
        }
    }
    vmsMissing_ = std::move(missing);
    vmsSeen_.insert(present.begin(), present.end());
    std::erase_if(goneSince_, [&](const auto& gone) { return present.contains(gone.first); });
    return advance(now);
}

Actions Membership::promiseRequested(
    const VmId& from, ViewNumber view, std::uint64_t requestNumber, TimePoint now)
{
    Actions actions = advance(now);
    // While the store is available, or when a newer view is known, a promise would only delay the
    // acknowledgement of the next view.
    const bool newerKnown = view_ && view_->number > view;
    if (storeFailing(now) && !newerKnown && acknowledgement_ <= view) {
        promises_.give(view, now);
        actions.emplace_back(SendPromise { from, view, requestNumber, settings_.promise });
    }
    return actions;
}

Actions Membership::promiseReceived(
    const VmId& from, ViewNumber view, std::uint64_t requestNumber, Duration duration, TimePoint now)
{
    promises_.receive(from, view, requestNumber, duration);
    return advance(now);
}

Actions Membership::inFlightReported(ViewNumber view, std::span<const InFlight> counts, TimePoint now)
{
    if (view == inFlightRequestedFor_) {
        inFlightReportedFor_ = view;
        inFlight_.assign(counts.begin(), counts.end());
    }
    return advance(now);
}

Actions Membership::release(TimePoint now)
{
    releaseWanted_ = true;
    nextListing_ = now;
    return advance(now);
}

Actions Membership::stop(TimePoint now)
{
    stopping_ = true;
    nextListing_ = now;
    return advance(now);
}

Authority Membership::authority(const UpstreamId& upstream) const
{
    auto known = upstreams_.find(upstream);
    return known == upstreams_.end() ? Authority {} : known->second.lastReported;
}

bool Membership::storeFailing(TimePoint now) const
{
    if (storeFailed_)
        return true;
    const Call* calls[] = { &leaseCall_, &recordCall_, &viewCall_, &swapCall_, &listCall_ };
    return std::any_of(std::begin(calls), std::end(calls),
        [&](const Call* call) { return call->pending() && now - call->started > settings_.storeTimeout; });
}

bool Membership::active() const { return isMember() && !hasInactiveUpstreams(); }

bool Membership::watcher() const
{
    if (!view_)
        return false;
    const auto chosen = watchers(*view_);
    return std::any_of(chosen.begin(), chosen.end(), [&](const Member* member) { return isSelf(*member); });
}

bool Membership::isSelf(const Member& member) const
{
    return member.vm == settings_.vm && member.incarnation == settings_.incarnation;
}

bool Membership::isMember() const
{
    return view_ && view_->find(settings_.vm, settings_.incarnation) != nullptr;
}

bool Membership::ownAcknowledgementStored() const
{
    return view_ && confirmedRecord_ && confirmedRecord_->acknowledged >= view_->number;
}

void Membership::adopt(const View& view, std::optional<StoreRevision> modified)
{
    if (view.zone != settings_.zone || (view_ && view.number < view_->number))
        return;
    if (view_ && view.number == view_->number) {
        if (!modified || (viewRevision_ && *modified < *viewRevision_))
            return;
        view_ = view;
        viewRevision_ = modified;
        if (!barrierRevision_)
            barrierRevision_ = modified;
        return;
    }
    const ViewNumber previous = view_ ? view_->number : ViewNumber {};
    view_ = view;
    viewRevision_ = modified;
    barrierRevision_ = modified;
    lapsedSince_.clear();
    acknowledgedSince_.clear();
    changeWantedSince_.reset();
    if (!modified)
        viewReadNeeded_ = true;
    deactivateLostUpstreams(previous);
    updateMaintenanceRank();
}

void Membership::deactivateLostUpstreams(ViewNumber previous)
{
    // A member that was added and removed in views that this daemon missed may have been home of any
    // upstream, so only a daemon that missed no removal was certainly the home throughout.
    const bool missedRemoval = view_->lastRemoval.value > previous.value + 1;
    updateHomes();
    for (auto& [upstream, ownership] : upstreams_) {
        if (ownership.isHome && !missedRemoval)
            continue;
        ownership.active = false;
        ownership.earlierHomes.clear();
    }
}

void Membership::updateHomes()
{
    if (!view_)
        return;
    const HomeFinder finder(*view_);
    for (auto& [upstream, ownership] : upstreams_) {
        const Member* home = finder.homeOf(upstream);
        ownership.isHome = home != nullptr && isSelf(*home);
    }
}

void Membership::updateMaintenanceRank()
{
    // A daemon outside the view waits longer than the two maintainers.
    constexpr std::size_t outsideRank = 2;
    maintenanceRank_ = 0;
    if (!view_)
        return;
    for (const Member* member : maintenanceOrder(*view_)) {
        if (isSelf(*member))
            return;
        if (recordOf(*member) != nullptr)
            ++maintenanceRank_;
    }
    maintenanceRank_ = std::min(maintenanceRank_, outsideRank);
}

const MemberRecord* Membership::recordOf(const VmId& vm) const
{
    auto found = recordIndex_.find(vm);
    return found == recordIndex_.end() ? nullptr : &records_[found->second].record;
}

const MemberRecord* Membership::recordOf(const Member& member) const
{
    const MemberRecord* record = recordOf(member.vm);
    return record != nullptr && record->incarnation == member.incarnation ? record : nullptr;
}

bool Membership::acknowledged(const Member& member, ViewNumber number) const
{
    const MemberRecord* record = recordOf(member);
    return record != nullptr && record->acknowledged >= number;
}

void Membership::updateRecordTimes(TimePoint now)
{
    if (!view_)
        return;
    const bool listedAfterSwap = barrierRevision_ && recordsRevision_ >= *barrierRevision_;
    for (const auto* members : { &view_->members, &view_->departing }) {
        for (const Member& member : *members) {
            if (isSelf(member))
                continue;
            const Instance instance { member.vm, member.incarnation };
            const MemberRecord* record = recordOf(member.vm);
            if (record != nullptr && record->incarnation == member.incarnation) {
                lapsedSince_.erase(instance);
                if (record->acknowledged >= view_->number)
                    acknowledgedSince_.try_emplace(instance, now);
                continue;
            }
            if (record != nullptr)
                replacedSince_.try_emplace(instance, now);
            if (listedAfterSwap)
                lapsedSince_.try_emplace(instance, now);
        }
    }
}

bool Membership::lapsed(const Member& member, TimePoint now) const
{
    auto since = lapsedSince_.find({ member.vm, member.incarnation });
    return since != lapsedSince_.end() && now >= since->second + plusClockMargin(settings_.deadlineMargin);
}

bool Membership::vmKnownGone(const VmId& vm, Duration wait, TimePoint now) const
{
    auto gone = goneSince_.find(vm);
    return gone != goneSince_.end() && now >= gone->second + plusClockMargin(wait);
}

bool Membership::knownStopped(const Instance& instance, TimePoint now) const
{
    // Requests that the instance sent just before it stopped may still be in flight.
    auto replaced = replacedSince_.find(instance);
    if (replaced != replacedSince_.end()
        && now >= replaced->second + plusClockMargin(settings_.deadlineMargin))
        return true;
    return vmKnownGone(instance.first, settings_.deadlineMargin, now);
}

bool Membership::settledAcknowledged() const
{
    if (view_->settled.empty())
        return true;
    return std::any_of(view_->settled.begin(), view_->settled.end(), [&](const VmId& vm) {
        if (vm == settings_.vm)
            return ownAcknowledgementStored();
        const MemberRecord* record = recordOf(vm);
        return record != nullptr && record->acknowledged >= view_->number;
    });
}

bool Membership::barrierMet(TimePoint now) const
{
    if (!ownAcknowledgementStored() || !settledAcknowledged())
        return false;
    auto met = [&](const Member& member) {
        return isSelf(member) || acknowledged(member, view_->number) || lapsed(member, now);
    };
    return std::all_of(view_->members.begin(), view_->members.end(), met)
        && std::all_of(view_->departing.begin(), view_->departing.end(), met);
}

bool Membership::mayHaveBeenHome(const Member& member, const UpstreamId& upstream) const
{
    // A member that joined no later and has a higher weight was preferred in every view that had `member`.
    const std::uint64_t own = weight(member.vm, upstream.view());
    return std::none_of(view_->members.begin(), view_->members.end(), [&](const Member& other) {
        return other.vm != member.vm && other.joined <= member.joined
            && weight(other.vm, upstream.view()) > own;
    });
}

unsigned Membership::reportedInFlight(const UpstreamId& upstream) const
{
    unsigned sum = 0;
    for (const ListedRecord& listed : records_) {
        if (listed.record.vm == settings_.vm && listed.record.incarnation == settings_.incarnation)
            continue;
        for (const InFlight& entry : listed.record.inFlight) {
            if (entry.upstream == upstream)
                sum += entry.count;
        }
    }
    return sum;
}

bool Membership::hasInactiveUpstreams() const
{
    return std::any_of(upstreams_.begin(), upstreams_.end(),
        [](const auto& entry) { return entry.second.isHome && !entry.second.active; });
}

void Membership::activate(TimePoint now)
{
    if (!isMember() || !leaseValid(now) || !hasInactiveUpstreams() || !barrierMet(now))
        return;
    for (auto& [upstream, ownership] : upstreams_) {
        if (ownership.active || !ownership.isHome)
            continue;
        ownership.active = true;
        ownership.activatedIn = view_->number;
        ownership.earlierHomes.clear();
        for (const auto* members : { &view_->members, &view_->departing }) {
            for (const Member& member : *members) {
                if (!isSelf(member) && !acknowledged(member, view_->number)
                    && mayHaveBeenHome(member, upstream))
                    ownership.earlierHomes.emplace(member.vm, member.incarnation);
            }
        }
        ownership.inherited
            = reportedInFlight(upstream) + (now < ownership.inheritedUntil ? ownership.inherited : 0);
        ownership.inheritedUntil = now + plusClockMargin(settings_.deadlineMargin);
    }
}

void Membership::refreshEarlierHomes(TimePoint now)
{
    for (auto& [upstream, ownership] : upstreams_) {
        for (auto earlierHome = ownership.earlierHomes.begin();
             earlierHome != ownership.earlierHomes.end();) {
            Member member;
            std::tie(member.vm, member.incarnation) = *earlierHome;
            const bool inView = view_->find(member.vm, member.incarnation) != nullptr
                || view_->findDeparting(member.vm, member.incarnation) != nullptr;
            const bool hasAcknowledged = acknowledged(member, ownership.activatedIn);
            if (hasAcknowledged) {
                ownership.inherited
                    = reportedInFlight(upstream) + (now < ownership.inheritedUntil ? ownership.inherited : 0);
                ownership.inheritedUntil = now + plusClockMargin(settings_.deadlineMargin);
            }
            if (hasAcknowledged || !inView || knownStopped(*earlierHome, now)) {
                earlierHome = ownership.earlierHomes.erase(earlierHome);
            } else {
                ++earlierHome;
            }
        }
    }
}

std::vector<VmId> Membership::requiredPromisers() const
{
    std::set<VmId> vms(view_->settled.begin(), view_->settled.end());
    for (const Member& member : view_->members)
        vms.insert(member.vm);
    vms.erase(settings_.vm);
    return { vms.begin(), vms.end() };
}

Authority Membership::computeAuthority(const Ownership& ownership, TimePoint now) const
{
    Authority authority;
    if (!ownership.active || ownership.earlierHomes.size() > 1)
        return authority;
    if (now < ownership.inheritedUntil && ownership.inherited > 0) {
        authority.inheritedInFlight = ownership.inherited;
        authority.inheritedUntil = ownership.inheritedUntil;
    }
    const Share grantedShare = ownership.earlierHomes.empty() ? Share::Full : Share::TakeoverRest;
    TimePoint until {};
    if (leaseValid(now))
        until = lease_.validUntil();
    // Without a settled view, a group of joiners could activate a later view without any promiser.
    if (!view_->settled.empty() && storeFailing(now))
        until = std::max(until, promises_.heldUntil(requiredPromisers(), view_->number));
    if (now < until) {
        authority.share = grantedShare;
        authority.validUntil = until;
    } else {
        authority.share = Share::UncertainHalf;
        authority.validUntil = TimePoint::max();
    }
    return authority;
}

Actions Membership::advance(TimePoint now)
{
    Actions actions;
    promises_.expire(now);
    if (view_) {
        refreshEarlierHomes(now);
        activate(now);
    }
    advanceAuthority(now, actions);
    advanceLease(now, actions);
    advanceAcknowledgement(now, actions);
    advanceRecord(now, actions);
    advanceView(now, actions);
    advanceReads(now, actions);
    advancePromises(now, actions);
    advanceStop(actions);
    return actions;
}

void Membership::advanceAuthority(TimePoint now, Actions& actions)
{
    for (auto& [upstream, ownership] : upstreams_) {
        const Authority authority = view_ ? computeAuthority(ownership, now) : Authority {};
        if (authority == ownership.lastReported)
            continue;
        ownership.lastReported = authority;
        actions.emplace_back(AuthorityChanged { upstream, authority });
    }
}

void Membership::advanceLease(TimePoint now, Actions& actions)
{
    if (!ready(leaseCall_, now))
        return;
    if (!lease_.granted()) {
        actions.emplace_back(AcquireLease { beginCall(leaseCall_, now) });
    } else if (now >= nextRenewal_) {
        actions.emplace_back(RenewLease { beginCall(leaseCall_, now) });
    }
}

void Membership::advanceAcknowledgement(TimePoint now, Actions& actions)
{
    if (!view_ || acknowledgement_ >= view_->number)
        return;
    if (inFlightRequestedFor_ < view_->number) {
        inFlightRequestedFor_ = view_->number;
        actions.emplace_back(ReportInFlight { inFlightRequestedFor_ });
    }
    if (inFlightReportedFor_ == view_->number && promises_.mayAcknowledge(view_->number, now))
        acknowledgement_ = view_->number;
}

void Membership::advanceRecord(TimePoint now, Actions& actions)
{
    if (!lease_.granted() || !recordRevision_ || !ready(recordCall_, now))
        return;
    MemberRecord record;
    record.vm = settings_.vm;
    record.incarnation = settings_.incarnation;
    record.address = settings_.address;
    record.acknowledged = acknowledgement_;
    record.intent = stopping_ ? Intent::Leave : Intent::Join;
    record.listed = vmsSeen_.contains(settings_.vm);
    if (confirmedRecord_ && confirmedRecord_->acknowledged == acknowledgement_) {
        record.inFlight = confirmedRecord_->inFlight;
    } else {
        std::map<UpstreamId, unsigned> counts;
        for (const InFlight& entry : inFlight_)
            counts[entry.upstream] += entry.count;
        for (const auto& [upstream, ownership] : upstreams_) {
            if (now < ownership.inheritedUntil && ownership.inherited > 0)
                counts[upstream] += ownership.inherited;
        }
        for (const auto& [upstream, count] : counts)
            record.inFlight.push_back({ upstream, count });
    }
    if (confirmedRecord_ && *confirmedRecord_ == record)
        return;
    pendingRecord_ = record;
    actions.emplace_back(WriteRecord { beginCall(recordCall_, now), *recordRevision_, std::move(record) });
}

Duration Membership::listingPeriod() const
{
    if (!view_)
        return settings_.lease;
    if (isMember() && hasInactiveUpstreams())
        return settings_.barrierPoll;
    constexpr std::size_t maintainers = 2;
    if (changeWantedSince_ || stopping_ || releaseWanted_ || !isMember() || maintenanceRank_ < maintainers)
        return settings_.maintenancePoll;
    return settings_.lease;
}

void Membership::advanceReads(TimePoint now, Actions& actions)
{
    if (ready(viewCall_, now) && lease_.granted() && (viewReadNeeded_ || now >= nextViewRead_))
        actions.emplace_back(ReadView { beginCall(viewCall_, now) });
    nextListing_ = std::min(nextListing_, now + listingPeriod());
    if (ready(listCall_, now) && lease_.granted() && now >= nextListing_) {
        nextListing_ = now + listingPeriod();
        actions.emplace_back(ListMembers { beginCall(listCall_, now) });
    }
}

void Membership::advanceView(TimePoint now, Actions& actions)
{
    if (!leaseReady_ && !storeBehind_)
        return;
    if (!lease_.valid(now) || !viewRevision_ || !ready(swapCall_, now) || viewCall_.pending())
        return;
    if (view_ && !storeBehind_ && !newRecordsListed_)
        return;
    newRecordsListed_ = false;
    auto next = wantedView(now);
    if (!next) {
        changeWantedSince_.reset();
        return;
    }
    if (!changeWantedSince_)
        changeWantedSince_ = now;
    const bool own = !view_ || releaseWanted_ || (stopping_ && isMember());
    const Duration wait = own ? Duration {} : settings_.maintenanceDelay * static_cast<int>(maintenanceRank_);
    if (now < *changeWantedSince_ + wait)
        return;
    pendingView_ = std::move(*next);
    actions.emplace_back(SwapView { beginCall(swapCall_, now), *viewRevision_, pendingView_ });
}

void Membership::advancePromises(TimePoint now, Actions& actions)
{
    const bool holds = std::any_of(
        upstreams_.begin(), upstreams_.end(), [](const auto& entry) { return entry.second.active; });
    if (!holds || !storeFailing(now) || now < nextPromiseRequest_)
        return;
    constexpr int requestsPerPromise = 3;
    nextPromiseRequest_ = now + settings_.promise / requestsPerPromise;
    for (const VmId& vm : requiredPromisers()) {
        const Member* member = view_->find(vm);
        if (member == nullptr) {
            auto departing = std::find_if(view_->departing.begin(), view_->departing.end(),
                [&](const Member& candidate) { return candidate.vm == vm; });
            if (departing == view_->departing.end())
                continue;
            member = &*departing;
        }
        actions.emplace_back(SendPromiseRequest { vm, member->address, view_->number, promises_.ask(now) });
    }
}

void Membership::advanceStop(Actions& actions)
{
    if (!stopping_ || handOverDone_)
        return;
    if (view_ && (isMember() || !ownAcknowledgementStored()))
        return;
    // The last member clears the settled view first, so that the next joiner need not wait for evidence that
    // the VMs have stopped.
    if (view_ && view_->members.empty() && !view_->settled.empty())
        return;
    handOverDone_ = true;
    actions.emplace_back(HandOverDone {});
}

} // namespace banyancroft::membership
