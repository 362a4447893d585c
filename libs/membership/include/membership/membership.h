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
/** Ties the reply of the store to the action that asked for it. */
using RequestId = NumberId<struct RequestIdTag>;

struct Settings {
    AvailabilityZone zone;
    VmId vm;
    Incarnation incarnation;
    /** Address and port under which other daemons reach this one. */
    std::string address;
    /** Length of the store lease. */
    Duration lease = std::chrono::seconds(15);
    Duration renewEvery = std::chrono::seconds(5);
    Duration promise = std::chrono::seconds(2);
    /** Longest request deadline: how long a request may run at an upstream after it was sent. */
    Duration deadlineMargin = longestRequestDeadline;
    /** Period of listing the member records while a take-over waits for them. */
    Duration barrierPoll = std::chrono::milliseconds(250);
    /** Period of listing the member records at the first two members in maintenance order. */
    Duration maintenancePoll = std::chrono::seconds(1);
    /** How much longer each later member in maintenance order waits before it changes the view itself. */
    Duration maintenanceDelay = std::chrono::seconds(2);
    /** Wait before a failed call of the store is made again. */
    Duration retryDelay = std::chrono::milliseconds(500);
    /** A renewal that has not been answered for this time counts as a failure of the store. */
    Duration storeTimeout = std::chrono::seconds(1);
};

// Actions. Those with a RequestId are answered by exactly one of the events that name it.

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
/** Write the own member record, attached to the current lease; answer with recordWritten or storeFailed. */
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
/** Answer a PromiseRequest. */
struct SendPromise {
    VmId to;
    ViewNumber view;
    std::uint64_t requestNumber = 0;
    Duration duration {};
};
/** The authority over an upstream is now this. */
struct AuthorityChanged {
    UpstreamId upstream;
    Authority authority;
};
/**
 * Report the work in flight after all AuthorityChanged actions before this one are in force on every
 * traffic thread; answer with inFlightReported. The acknowledgement waits for it.
 */
struct ReportInFlight {
    ViewNumber view;
};
/** The planned stop has handed over all upstreams. Work in flight may still run. */
struct HandOverDone { };

using Action = std::variant<AcquireLease, RenewLease, ReadView, SwapView, WriteRecord, ListMembers,
    SendPromiseRequest, SendPromise, AuthorityChanged, ReportInFlight, HandOverDone>;
using Actions = std::vector<Action>;

/** A member record as the store holds it. */
struct ListedRecord {
    MemberRecord record;
    StoreRevision modified;
};

/**
 * Membership of one daemon in its own availability zone, and its authority over upstreams.
 *
 *     Membership membership(settings, now);
 *     run(membership.setUpstreams(upstreams, now));
 *     …
 *     run(membership.viewRead(request, view, modified, now));
 *
 * Owned by the control thread and called only on it. It does no I/O: each event returns the actions that
 * the caller carries out in their order. The caller calls tick at least every 100 ms. The rules are those
 * of section 4 of docs/query-path.md and are checked in spec/authority.pml.
 */
class Membership {
public:
    Membership(Settings settings, TimePoint now);

    /** The upstreams of the own zone in the configuration in force. */
    Actions setUpstreams(std::span<const UpstreamId> upstreams, TimePoint now);
    Actions tick(TimePoint now);

    Actions leaseGranted(RequestId request, TimePoint now);
    Actions leaseRenewed(RequestId request, TimePoint now);
    /** The store answered that the lease no longer exists. */
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
    /** No usable answer came; a write may have taken effect. */
    Actions storeFailed(RequestId request, TimePoint now);
    /** @param vms the platform's list of live and leaving VMs, as read after the previous one */
    Actions vmsListed(std::span<const VmId> vms, TimePoint now);

    Actions promiseRequested(const VmId& from, ViewNumber view, std::uint64_t requestNumber, TimePoint now);
    Actions promiseReceived(
        const VmId& from, ViewNumber view, std::uint64_t requestNumber, Duration duration, TimePoint now);
    Actions inFlightReported(ViewNumber view, std::span<const InFlight> counts, TimePoint now);

    /** An operator states that all VMs of the zone that hold no lease have stopped. */
    Actions release(TimePoint now);
    /** A planned stop begins. */
    Actions stop(TimePoint now);

    /** Null until a view is known. */
    const View* view() const { return view_ ? &*view_ : nullptr; }
    /** Authority over an upstream as last reported. */
    Authority authority(const UpstreamId& upstream) const;
    bool leaseValid(TimePoint now) const { return leaseReady_ && lease_.valid(now); }
    /** True while calls of the store fail or wait too long. */
    bool storeFailing(TimePoint now) const;
    /** True when this daemon is a member and has activated the newest view that it knows. */
    bool active() const;
    /** True when this daemon is one of the watchers of its zone. */
    bool watcher() const;

private:
    using Run = std::pair<VmId, Incarnation>;
    struct Holding {
        /** This daemon is the home in the newest view known. */
        bool mine = false;
        /** It has activated the upstream and may send to it. */
        bool held = false;
        /** View under which it was activated. */
        ViewNumber since;
        /** Earlier homes that may still use half of the limit. */
        std::set<Run> holders;
        unsigned inherited = 0;
        TimePoint inheritedUntil {};
        Authority reported;
    };
    /** A call of the store that waits for its answer. */
    struct Call {
        RequestId request;
        TimePoint started {};
        /** Earliest time of the next call after a failure. */
        TimePoint notBefore {};

        bool pending() const { return static_cast<bool>(request); }
    };

    RequestId begin(Call& call, TimePoint now);
    bool finish(Call& call, RequestId request);
    void failed(Call& call, TimePoint now);
    bool ready(const Call& call, TimePoint now) const { return !call.pending() && now >= call.notBefore; }

    void adopt(const View& view, std::optional<StoreRevision> modified);
    void dropLostUpstreams(ViewNumber previous);
    void noteRecords(TimePoint now);
    void recordIsWritten(const MemberRecord& record, StoreRevision revision);
    bool isSelf(const Member& member) const;
    bool isMember() const;
    bool acknowledgedSelf() const;
    void noteHomes();
    void noteRank();
    const MemberRecord* recordOf(const VmId& vm) const;
    const MemberRecord* recordOf(const Member& member) const;
    bool acknowledged(const Member& member, ViewNumber number) const;
    bool lapsed(const Member& member, TimePoint now) const;
    bool knownGone(const VmId& vm, Duration wait, TimePoint now) const;
    bool knownStopped(const Run& run, TimePoint now) const;
    bool settledAcknowledged() const;
    bool barrierMet(TimePoint now) const;
    bool couldHaveHeld(const Member& member, const UpstreamId& upstream) const;
    unsigned reportedInFlight(const UpstreamId& upstream) const;
    bool pendingUpstreams() const;
    void activate(TimePoint now);
    void refreshHolders(TimePoint now);

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
    std::vector<VmId> promisers() const;
    Authority decide(const Holding& holding, TimePoint now) const;

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
    /** True when the member record was written under the current lease and the view read after that. */
    bool leaseReady_ = false;
    TimePoint leaseAcquired_ {};

    std::optional<View> view_;
    /** Revision of the view's key; empty when not known, zero when the key does not exist. */
    std::optional<StoreRevision> viewRevision_;
    /** Revision at which a view with this number was first seen; listings from then on prove a lapse. */
    std::optional<StoreRevision> barrierRevision_;
    /** The store holds an older view than this daemon knows. */
    bool storeBehind_ = false;

    /** Highest view that may have been acknowledged at the store, lost replies included. */
    ViewNumber acknowledgement_;
    /** The member record as last confirmed by the store under the current lease. */
    std::optional<MemberRecord> written_;
    /** The member record whose write waits for an answer. */
    MemberRecord writing_;
    std::optional<StoreRevision> recordRevision_;
    ViewNumber reportAsked_;
    ViewNumber reported_;
    std::vector<InFlight> inFlight_;

    std::vector<ListedRecord> records_;
    /** Places in records_. */
    std::unordered_map<VmId, std::size_t> recordIndex_;
    /** Live members before this one in maintenance order. */
    std::size_t maintenanceRank_ = 0;
    StoreRevision recordsRevision_;
    /** Since when a member's record is missing or belongs to another incarnation. */
    std::map<Run, TimePoint> lapsedSince_;
    /** Since when another incarnation is known on the run's VM, which proves that the run has stopped. */
    std::map<Run, TimePoint> replacedSince_;
    /** Since when an acknowledgement of the current view is known. */
    std::map<Run, TimePoint> acknowledgedSince_;
    std::set<VmId> vmsSeen_;
    /** Members missing in the last VM list; gone when the next one lacks them too. */
    std::set<VmId> vmsMissing_;
    std::map<VmId, TimePoint> goneSince_;

    std::map<UpstreamId, Holding> upstreams_;
    std::optional<TimePoint> changeWantedSince_;
    bool recordsAreFresh_ = false;
    bool releaseWanted_ = false;
    bool stopping_ = false;
    bool handOverReported_ = false;
    bool storeFailed_ = false;
    bool viewReadNeeded_ = true;
    TimePoint nextRenewal_ {};
    TimePoint nextViewRead_ {};
    TimePoint nextListing_ {};
    TimePoint nextAsking_ {};

    Call leaseCall_;
    Call recordCall_;
    Call viewCall_;
    Call swapCall_;
    Call listCall_;
    View swapping_;
    std::uint64_t lastRequest_ = 0;
};

} // namespace banyancroft::membership
