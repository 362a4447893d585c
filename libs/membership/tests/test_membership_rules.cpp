#include "membership/membership.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace banyancroft;
using namespace banyancroft::membership;
using namespace std::chrono_literals;

namespace {

const VmId self { "vm-x" };
const AvailabilityZone zone { "luzon-a" };

/** An upstream whose first homes are the given VMs in this order. */
UpstreamId upstreamWithHomes(const std::vector<VmId>& order)
{
    for (int i = 0;; ++i) {
        UpstreamId upstream("u-" + std::to_string(i));
        const bool sorted
            = std::is_sorted(order.begin(), order.end(), [&](const VmId& one, const VmId& other) {
                  return weight(one, upstream.view()) > weight(other, upstream.view());
              });
        if (sorted)
            return upstream;
    }
}

Settings settings()
{
    Settings result;
    result.zone = zone;
    result.vm = self;
    result.incarnation = { 1 };
    result.address = "127.0.0.1:1";
    return result;
}

/** One daemon at a store that answers at once and whose content the test sets. */
struct Driven {
    explicit Driven(UpstreamId driven)
        : upstream(std::move(driven))
        , membership(settings(), now)
    {
        view.zone = zone;
        view.number = { 1 };
        view.members = { member("vm-x", 1), member("vm-y", 1) };
        view.settled = { self, VmId("vm-y") };
        putRecord("vm-y", 1);
        perform(membership.setUpstreams({ &upstream, 1 }, now));
        runFor(20s);
    }

    static Member member(const std::string& vm, std::uint64_t joined)
    {
        return { VmId(vm), { 1 }, "127.0.0.1:1", { joined }, false };
    }

    void putRecord(const std::string& vm, std::uint64_t acknowledged)
    {
        records[VmId(vm)] = { { VmId(vm), { 1 }, "127.0.0.1:1", { acknowledged }, Intent::Join, false, {} },
            { ++revision } };
    }

    void putView() { viewRevision = { ++revision }; }

    void runFor(Duration time)
    {
        for (const TimePoint end = now + time; now < end;) {
            now += 100ms;
            perform(membership.tick(now));
        }
    }

    void perform(const Actions& actions)
    {
        for (const Action& action : actions)
            std::visit([&](const auto& value) { act(value); }, action);
    }

    Share share() const { return now < authority.validUntil ? authority.share : Share::None; }
    std::uint64_t acknowledged() const { return records.at(self).record.acknowledged.value; }

    UpstreamId upstream;
    TimePoint now { 1h };
    View view;
    std::uint64_t revision = 10;
    StoreRevision viewRevision { 5 };
    /** Set: listings come late and show the store as it was at this revision. */
    StoreRevision lateListing;
    bool storeDown = false;
    std::map<VmId, ListedRecord> records;
    Authority authority;
    std::vector<SendPromise> given;
    Membership membership;

private:
    template <typename Event> void reply(RequestId request, Event event)
    {
        perform(storeDown ? membership.storeFailed(request, now) : event());
    }

    void act(const AcquireLease& action)
    {
        reply(action.request, [&] { return membership.leaseGranted(action.request, now); });
    }
    void act(const RenewLease& action)
    {
        reply(action.request, [&] { return membership.leaseRenewed(action.request, now); });
    }
    void act(const ReadView& action)
    {
        reply(action.request, [&] { return membership.viewRead(action.request, view, viewRevision, now); });
    }
    void act(const SwapView& action)
    {
        reply(action.request, [&] {
            view = action.view;
            putView();
            return membership.swapped(action.request, viewRevision, now);
        });
    }
    void act(const WriteRecord& action)
    {
        reply(action.request, [&] {
            records[self] = { action.record, { ++revision } };
            return membership.recordWritten(action.request, StoreRevision { revision }, now);
        });
    }
    void act(const ListMembers& action)
    {
        reply(action.request, [&] {
            std::vector<ListedRecord> listed;
            for (const auto& [vm, record] : records)
                listed.push_back(record);
            const StoreRevision at = lateListing ? lateListing : StoreRevision { revision };
            return membership.membersListed(action.request, listed, at, now);
        });
    }
    void act(const ReportInFlight& action) { perform(membership.inFlightReported(action.view, {}, now)); }
    void act(const AuthorityChanged& action) { authority = action.authority; }
    void act(const SendPromise& action) { given.push_back(action); }
    void act(const SendPromiseRequest&) { }
    void act(const HandOverDone&) { }
};

} // namespace

// Requests that were sent just before the lease lapsed still run at the upstream for one deadline.
BOOST_AUTO_TEST_CASE(ATakeOverWaitsOneDeadlineAfterTheLapse)
{
    Driven driven(upstreamWithHomes({ VmId("vm-y"), self }));
    driven.records.erase(VmId("vm-y"));
    for (int i = 0; i < 100 && driven.view.number.value < 2; ++i)
        driven.runFor(100ms);
    BOOST_REQUIRE(driven.view.number.value == 2U);
    driven.runFor(2s);
    BOOST_TEST((driven.share() == Share::None));
    driven.runFor(1s);
    BOOST_TEST((driven.share() == Share::TakeoverRest));
}

// A member that seemed lapsed before the swap may have acquired a lease and read the old view since.
BOOST_AUTO_TEST_CASE(AListingFromBeforeTheSwapProvesNoLapse)
{
    Driven driven(upstreamWithHomes({ VmId("vm-y"), self }));
    driven.lateListing = { driven.revision };
    driven.records.erase(VmId("vm-y"));
    driven.runFor(20s);
    BOOST_TEST(driven.view.number.value == 2U);
    BOOST_TEST((driven.share() == Share::None));
    driven.lateListing = {};
    driven.runFor(4s);
    BOOST_TEST((driven.share() == Share::TakeoverRest));
}

// An acknowledgement before the promise and its last request have ended would let a second home start.
BOOST_AUTO_TEST_CASE(AnAcknowledgementWaitsForPromisesAndTheirMargin)
{
    Driven driven(upstreamWithHomes({ VmId("vm-y"), self }));
    driven.perform(driven.membership.promiseRequested(VmId("vm-y"), { 1 }, 1, driven.now));
    BOOST_TEST(driven.given.empty());
    driven.storeDown = true;
    driven.runFor(8s);
    driven.perform(driven.membership.promiseRequested(VmId("vm-y"), { 1 }, 2, driven.now));
    BOOST_REQUIRE(driven.given.size() == 1U);
    driven.storeDown = false;
    driven.view.number = driven.view.lastRemoval = { 2 };
    driven.view.departing = { driven.view.members.back() };
    driven.view.members.pop_back();
    driven.putView();
    driven.perform(driven.membership.viewChanged(driven.view, driven.viewRevision, driven.now));
    driven.runFor(4s);
    BOOST_TEST(driven.acknowledged() == 1U);
    driven.runFor(2s);
    BOOST_TEST(driven.acknowledged() == 2U);
    // What was acknowledged can no longer be promised away.
    driven.storeDown = true;
    driven.runFor(8s);
    driven.perform(driven.membership.promiseRequested(VmId("vm-y"), { 1 }, 3, driven.now));
    BOOST_TEST(driven.given.size() == 1U);
}

// A member added and removed in views that a home missed may have taken the upstream over.
BOOST_AUTO_TEST_CASE(AHomeThatMissedARemovalWaitsForTheBarrier)
{
    Driven driven(upstreamWithHomes({ VmId("vm-z"), self, VmId("vm-y") }));
    BOOST_REQUIRE((driven.share() == Share::Full));
    driven.view.number = driven.view.lastRemoval = { 3 };
    driven.view.departing = { Driven::member("vm-z", 2) };
    driven.putView();
    driven.perform(driven.membership.viewChanged(driven.view, driven.viewRevision, driven.now));
    BOOST_TEST((driven.share() == Share::None));
    driven.putRecord("vm-y", 3);
    driven.runFor(5s);
    BOOST_TEST((driven.share() == Share::TakeoverRest));
}

// Joins are frequent, so a home that missed one must not interrupt its service.
BOOST_AUTO_TEST_CASE(AHomeThatMissedAJoinKeepsItsUpstreams)
{
    Driven driven(upstreamWithHomes({ self, VmId("vm-y"), VmId("vm-z") }));
    driven.view.number = { 4 };
    driven.view.members.push_back(Driven::member("vm-z", 3));
    driven.putView();
    driven.perform(driven.membership.viewChanged(driven.view, driven.viewRevision, driven.now));
    BOOST_TEST((driven.share() == Share::Full));
}

// A store that lost its newest writes must get the view back instead of being followed.
BOOST_AUTO_TEST_CASE(AnOlderViewAtTheStoreIsBroughtForward)
{
    Driven driven(upstreamWithHomes({ self, VmId("vm-y") }));
    const View old = driven.view;
    driven.view.number = { 2 };
    driven.view.members.push_back(Driven::member("vm-z", 2));
    driven.putRecord("vm-z", 2);
    driven.putView();
    driven.runFor(6s);
    BOOST_REQUIRE(driven.membership.view()->number.value == 2U);
    driven.view = old;
    driven.putView();
    driven.runFor(8s);
    BOOST_TEST(driven.view.number.value == 2U);
    BOOST_TEST(driven.membership.view()->members.size() == 3U);
}
