#pragma once

#include "base/authority.h"
#include "base/ids.h"
#include "base/time.h"
#include "membership/lease_tracker.h"
#include "membership/promise_tracker.h"
#include "membership/view.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace banyancroft::membership {

/** Revision of the store; zero means "the key does not exist". */
using StoreRevision = NumberId<struct StoreRevisionTag>;
/** Identifies a call of the store; the event that answers an action carries the action's number. */
using RequestId = NumberId<struct RequestIdTag>;

struct Settings {
    AvailabilityZone zone;
    VmId vm;
    Incarnation incarnation;
    /** Address and port under which other daemons reach this one. */
    std::string address;
    /** Time to live of the store lease. */
    Duration lease = std::chrono::seconds(15);
    Duration renewEvery = std::chrono::seconds(5);
    /** How long a promise is valid for its holder. */
    Duration promise = std::chrono::seconds(2);
    /** Longest request deadline, which is how long a request may run at an upstream after it was sent. */
    Duration deadlineMargin = longestRequestDeadline;
    /** Interval of listing the member records while a take-over waits for the barrier. */
    Duration barrierPoll = std::chrono::milliseconds(250);
    /** Interval at which the first two members in maintenance order list the member records. */
    Duration maintenancePoll = std::chrono::seconds(1);
    /** Added wait per position in maintenance order before a member changes the view itself. */
    Duration maintenanceDelay = std::chrono::seconds(2);
    /** Wait before a failed call of the store is retried. */
    Duration retryDelay = std::chrono::milliseconds(500);
    /** A call of the store that is unanswered for this time counts as a failure of the store. */
    Duration storeTimeout = std::chrono::seconds(1);
};

// Actions. For each action with a RequestId the caller reports exactly one event with that RequestId.

/** Grant a lease; answer with leaseGranted or storeFailed. */
struct AcquireLease {
    RequestId request;
};
/** Renew the lease; answer with leaseRenewed, leaseLost or storeFailed. */
struct RenewLease {
    RequestId request;
};
/** Read the view of the zone; answer with viewRead or storeFailed. */
struct ReadView {
    RequestId request;
};
/** Swap the view; answer with swapped or storeFailed. */
struct SwapView {
    RequestId request;
    /** Revision of the key that is replaced; zero: the key must not exist. */
    StoreRevision expected;
    View view;
};
/** Write this daemon's member record, attached to its lease; answer with recordWritten or storeFailed. */
struct WriteRecord {
    RequestId request;
    StoreRevision expected;
    MemberRecord record;
};
/** List the member records of the zone; answer with membersListed or storeFailed. */
struct ListMembers {
    RequestId request;
};
/** Send a PromiseRequest to a daemon. */
struct SendPromiseRequest {
    VmId to;
    std::string address;
    ViewNumber view;
    std::uint64_t requestNumber = 0;
};
/** Answer a PromiseRequest with a promise. */
struct SendPromise {
    VmId to;
    ViewNumber view;
    std::uint64_t requestNumber = 0;
    Duration duration {};
};
/** Apply a new authority over an upstream. */
struct AuthorityChanged {
    UpstreamId upstream;
    Authority authority;
};
/**
 * Report the requests in flight once all earlier AuthorityChanged actions are in force on every traffic
 * thread; answer with inFlightReported. The view is acknowledged only after that.
 */
struct ReportInFlight {
    ViewNumber view;
};
/** The planned stop has handed over all upstreams. Requests in flight may still run. */
struct HandOverDone { };

using Action = std::variant<AcquireLease, RenewLease, ReadView, SwapView, WriteRecord, ListMembers,
    SendPromiseRequest, SendPromise, AuthorityChanged, ReportInFlight, HandOverDone>;
using Actions = std::vector<Action>;

/** A member record and the revision of the store at which it was last modified. */
struct ListedRecord {
    MemberRecord record;
    StoreRevision modified;
};

/**
 * Manages the membership of one daemon in its own availability zone and derives its authority over upstreams.
 *
 *     Membership membership(settings, now);
 *     run(membership.setUpstreams(upstreams, now));
 *     …
 *     run(membership.viewRead(request, view, modified, now));
 *
 * Owned by the control thread and called only on it. It does no I/O: each event returns actions, which the
 * caller carries out in order. The caller calls tick at least every 100 ms. The rules are those of section 4
 * of docs/query-path.md and are verified by the model in spec/authority.pml.
 */
class Membership {
public:
    Membership(Settings settings, TimePoint now);

    /** Sets the upstreams of this daemon's zone from the active configuration. */
    Actions setUpstreams(std::span<const UpstreamId> upstreams, TimePoint now);
    /** Checks timers and returns the actions that are due. */
    Actions tick(TimePoint now);

    Actions leaseGranted(RequestId request, TimePoint now);
    Actions leaseRenewed(RequestId request, TimePoint now);
    /** The store reported that the lease no longer exists. */
    Actions leaseLost(RequestId request, TimePoint now);
    /** @param view empty when the key does not exist */
    Actions viewRead(
        RequestId request, const std::optional<View>& view, StoreRevision modified, TimePoint now);
    /** A watch of the store reported the view. */
    Actions viewChanged(const View& view, StoreRevision modified, TimePoint now);
    /** A peer sent the view. */
    Actions viewLearned(const View& view, TimePoint now);
    /** @param revision of the swapped view; empty when the key was not at the expected revision */
    Actions swapped(RequestId request, std::optional<StoreRevision> revision, TimePoint now);
    /** @param revision of the record; empty when the key was not at the expected revision */
    Actions recordWritten(RequestId request, std::optional<StoreRevision> revision, TimePoint now);
    /** @param revision of the store at which the records were listed */
    Actions membersListed(
        RequestId request, std::span<const ListedRecord> records, StoreRevision revision, TimePoint now);
    /** The call failed or timed out; a write may have taken effect nevertheless. */
    Actions storeFailed(RequestId request, TimePoint now);
    /** @param vms the platform's list of live and leaving VMs, read after the previous list */
    Actions vmsListed(std::span<const VmId> vms, TimePoint now);

    Actions promiseRequested(const VmId& from, ViewNumber view, std::uint64_t requestNumber, TimePoint now);
    Actions promiseReceived(
        const VmId& from, ViewNumber view, std::uint64_t requestNumber, Duration duration, TimePoint now);
    Actions inFlightReported(ViewNumber view, std::span<const InFlight> counts, TimePoint now);

    /** An operator states that all VMs of the zone that hold no lease have stopped. */
    Actions release(TimePoint now);
    /** Begins a planned stop, which hands over all upstreams. */
    Actions stop(TimePoint now);

    /** Null until a view is known. */
    const View* view() const { return view_ ? &*view_ : nullptr; }
    /** Authority over an upstream as in the last AuthorityChanged. */
    Authority authority(const UpstreamId& upstream) const;
    bool leaseValid(TimePoint now) const { return leaseReady_ && lease_.valid(now); }
    /** True while calls of the store fail or exceed Settings::storeTimeout. */
    bool storeFailing(TimePoint now) const;
    /** True when this daemon is a member and has activated all upstreams of which it is the home. */
    bool active() const;
    /** True when this daemon is one of the watchers of its zone. */
    bool watcher() const;

private:
    using Instance = std::pair<VmId, Incarnation>;
    /** State of this daemon's ownership of one upstream. */
    struct Ownership {
        /** This daemon is the home in the newest known view. */
        bool isHome = false;
        /** This daemon has activated the upstream and may send to it. */
        bool active = false;
        /** View in which the upstream was activated. */
        ViewNumber activatedIn;
        /** Earlier homes that may still be sending with half of the limit. */
        std::set<Instance> earlierHomes;
        /** Requests in flight that were reported by earlier homes. */
        unsigned inherited = 0;
        TimePoint inheritedUntil {};
        /** Authority in the last AuthorityChanged. */
        Authority lastReported;
    };
    /** State of one kind of call of the store, of which at most one is pending. */
    struct Call {
        RequestId request;
        TimePoint started {};
        /** Earliest time of the next call after a failure. */
        TimePoint notBefore {};

        bool pending() const { return static_cast<bool>(request); }
    };

    RequestId beginCall(Call& call, TimePoint now);
    bool finishCall(Call& call, RequestId request);
    void onStoreFailure(Call& call, TimePoint now);
    bool ready(const Call& call, TimePoint now) const { return !call.pending() && now >= call.notBefore; }

    void adopt(const View& view, std::optional<StoreRevision> modified);
    void deactivateLostUpstreams(ViewNumber previous);
    void updateRecordTimes(TimePoint now);
    void onRecordConfirmed(const MemberRecord& record, StoreRevision revision);
    bool isSelf(const Member& member) const;
    bool isMember() const;
    bool ownAcknowledgementStored() const;
    void updateHomes();
    void updateMaintenanceRank();
    const MemberRecord* recordOf(const VmId& vm) const;
    const MemberRecord* recordOf(const Member& member) const;
    bool acknowledged(const Member& member, ViewNumber number) const;
    bool lapsed(const Member& member, TimePoint now) const;
    bool vmKnownGone(const VmId& vm, Duration wait, TimePoint now) const;
    bool knownStopped(const Instance& instance, TimePoint now) const;
    bool settledAcknowledged() const;
    bool barrierMet(TimePoint now) const;
    bool mayHaveBeenHome(const Member& member, const UpstreamId& upstream) const;
    unsigned reportedInFlight(const UpstreamId& upstream) const;
    bool hasInactiveUpstreams() const;
    void activate(TimePoint now);
    void refreshEarlierHomes(TimePoint now);

    Actions advance(TimePoint now);
    void advanceLease(TimePoint now, Actions& actions);
    void advanceAcknowledgement(TimePoint now, Actions& actions);
    void advanceRecord(TimePoint now, Actions& actions);
    void advanceReads(TimePoint now, Actions& actions);
    void advanceView(TimePoint now, Actions& actions);
    void advancePromises(TimePoint now, Actions& actions);
    void advanceAuthority(TimePoint now, Actions& actions);
    void advanceStop(Actions& actions);
    Duration listingPeriod() const;
    std::vector<VmId> requiredPromisers() const;
    Authority computeAuthority(const Ownership& ownership, TimePoint now) const;

    // Changes of the view, in membership_view_change.cpp.
    std::optional<View> wantedView(TimePoint now) const;
    bool removeMembers(View& next, TimePoint now) const;
    bool addMembers(View& next) const;
    void releaseZone(View& next) const;
    bool pruneDeparting(View& next, TimePoint now) const;
    bool settle(View& next, TimePoint now) const;

    Settings settings_;
    LeaseTracker lease_;
    PromiseTracker promises_;
    /** True when the member record was written under the current lease and the view was read after that. */
    bool leaseReady_ = false;
    TimePoint leaseAcquired_ {};

    std::optional<View> view_;
    /** Revision of the view's key; empty when unknown, zero when the key does not exist. */
    std::optional<StoreRevision> viewRevision_;
    /** Revision at which a view with the current number was first seen; only listings of this revision or a
     * later one prove a lapse. */
    std::optional<StoreRevision> barrierRevision_;
    /** True when the store holds an older view than the newest known one. */
    bool storeBehind_ = false;

    /** Highest view that may have been acknowledged at the store, including writes whose reply was lost. */
    ViewNumber acknowledgement_;
    /** The member record as last confirmed by the store under the current lease. */
    std::optional<MemberRecord> confirmedRecord_;
    /** The member record whose write is unanswered. */
    MemberRecord pendingRecord_;
    std::optional<StoreRevision> recordRevision_;
    ViewNumber inFlightRequestedFor_;
    ViewNumber inFlightReportedFor_;
    std::vector<InFlight> inFlight_;

    std::vector<ListedRecord> records_;
    /** Index into records_ by VM. */
    std::unordered_map<VmId, std::size_t> recordIndex_;
    /** Number of live members before this one in maintenance order. */
    std::size_t maintenanceRank_ = 0;
    StoreRevision recordsRevision_;
    /** When the record of a member was first found missing or of another incarnation. */
    std::map<Instance, TimePoint> lapsedSince_;
    /** When another incarnation was first seen on the VM, which proves that this one has stopped. */
    std::map<Instance, TimePoint> replacedSince_;
    /** When the acknowledgement of the current view was first seen. */
    std::map<Instance, TimePoint> acknowledgedSince_;
    std::set<VmId> vmsSeen_;
    /** VMs missing from the last VM list; a VM also missing from the next one has stopped. */
    std::set<VmId> vmsMissing_;
    std::map<VmId, TimePoint> goneSince_;

    std::map<UpstreamId, Ownership> upstreams_;
    std::optional<TimePoint> changeWantedSince_;
    bool newRecordsListed_ = false;
    bool releaseWanted_ = false;
    bool stopping_ = false;
    bool handOverDone_ = false;
    bool storeFailed_ = false;
    bool viewReadNeeded_ = true;
    TimePoint nextRenewal_ {};
    TimePoint nextViewRead_ {};
    TimePoint nextListing_ {};
    TimePoint nextPromiseRequest_ {};

    Call leaseCall_;
    Call recordCall_;
    Call viewCall_;
    Call swapCall_;
    Call listCall_;
    View pendingView_;
    std::uint64_t lastRequest_ = 0;
};

} // namespace banyancroft::membership
