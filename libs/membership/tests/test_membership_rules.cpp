#include "membership/membership.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace banyancroft;
using namespace banyancroft::membership;
using namespace std::chrono_literals;

namespace {

const VmId self { "vm-x" };
const AvailabilityZone zone { "luzon-a" };

/** Returns an upstream for which the given VMs have descending rendezvous weights. */
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

/** One daemon with a store that answers at once and whose content the test sets. */
struct DaemonFixture {
    explicit DaemonFixture(UpstreamId fixtureUpstream)
        : upstream(std::move(fixtureUpstream))
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
    /** If not zero, listings report this revision, as if they had been read then. */
    StoreRevision listingRevision;
    bool storeDown = false;
    std::map<VmId, ListedRecord> records;
    Authority authority;
    std::vector<SendPromise> givenPromises;
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
            const StoreRevision at = listingRevision ? listingRevision : StoreRevision { revision };
            return membership.membersListed(action.request, listed, at, now);
        });
    }
    void act(const ReportInFlight& action) { perform(membership.inFlightReported(action.view, {}, now)); }
    void act(const AuthorityChanged& action) { authority = action.authority; }
    void act(const SendPromise& action) { givenPromises.push_back(action); }
    void act(const SendPromiseRequest&) { }
    void act(const HandOverDone&) { }
};

} // namespace

// Requests that were sent just before the lease lapsed may still run at the upstream for one deadline.
BOOST_AUTO_TEST_CASE(takeOverWaitsOneDeadlineAfterTheLeaseLapsed)
{
    DaemonFixture fixture(upstreamWithHomes({ VmId("vm-y"), self }));
    fixture.records.erase(VmId("vm-y"));
    for (int i = 0; i < 100 && fixture.view.number.value < 2; ++i)
        fixture.runFor(100ms);
    BOOST_REQUIRE(fixture.view.number.value == 2U);
    fixture.runFor(2s);
    BOOST_TEST((fixture.share() == Share::None));
    fixture.runFor(1s);
    BOOST_TEST((fixture.share() == Share::TakeoverRest));
}

// A member without a record before the swap may since have acquired a lease and read the old view.
BOOST_AUTO_TEST_CASE(listingFromBeforeTheSwapDoesNotProveALapse)
{
    DaemonFixture fixture(upstreamWithHomes({ VmId("vm-y"), self }));
    fixture.listingRevision = { fixture.revision };
    fixture.records.erase(VmId("vm-y"));
    fixture.runFor(20s);
    BOOST_TEST(fixture.view.number.value == 2U);
    BOOST_TEST((fixture.share() == Share::None));
    fixture.listingRevision = {};
    fixture.runFor(4s);
    BOOST_TEST((fixture.share() == Share::TakeoverRest));
}

// An acknowledgement before the promise and the last request sent under it have ended would let a second home
// start.
BOOST_AUTO_TEST_CASE(acknowledgementWaitsForPromisesAndTheirMargin)
{
    DaemonFixture fixture(upstreamWithHomes({ VmId("vm-y"), self }));
    fixture.perform(fixture.membership.promiseRequested(VmId("vm-y"), { 1 }, 1, fixture.now));
    BOOST_TEST(fixture.givenPromises.empty());
    fixture.storeDown = true;
    fixture.runFor(8s);
    fixture.perform(fixture.membership.promiseRequested(VmId("vm-y"), { 1 }, 2, fixture.now));
    BOOST_REQUIRE(fixture.givenPromises.size() == 1U);
    fixture.storeDown = false;
    fixture.view.number = fixture.view.lastRemoval = { 2 };
    fixture.view.departing = { fixture.view.members.back() };
    fixture.view.members.pop_back();
    fixture.putView();
    fixture.perform(fixture.membership.viewChanged(fixture.view, fixture.viewRevision, fixture.now));
    fixture.runFor(4s);
    BOOST_TEST(fixture.acknowledged() == 1U);
    fixture.runFor(2s);
    BOOST_TEST(fixture.acknowledged() == 2U);
    // A promise that contradicts an acknowledgement must not be given.
    fixture.storeDown = true;
    fixture.runFor(8s);
    fixture.perform(fixture.membership.promiseRequested(VmId("vm-y"), { 1 }, 3, fixture.now));
    BOOST_TEST(fixture.givenPromises.size() == 1U);
}

// A member that was added and removed in views that the home missed may have taken over the upstream.
BOOST_AUTO_TEST_CASE(homeThatMissedARemovalWaitsForTheBarrier)
{
    DaemonFixture fixture(upstreamWithHomes({ VmId("vm-z"), self, VmId("vm-y") }));
    BOOST_REQUIRE((fixture.share() == Share::Full));
    fixture.view.number = fixture.view.lastRemoval = { 3 };
    fixture.view.departing = { DaemonFixture::member("vm-z", 2) };
    fixture.putView();
    fixture.perform(fixture.membership.viewChanged(fixture.view, fixture.viewRevision, fixture.now));
    BOOST_TEST((fixture.share() == Share::None));
    fixture.putRecord("vm-y", 3);
    fixture.runFor(5s);
    BOOST_TEST((fixture.share() == Share::TakeoverRest));
}

// Joins are frequent, so a home that missed the view of a join must keep serving.
BOOST_AUTO_TEST_CASE(homeThatMissedAJoinKeepsItsUpstreams)
{
    DaemonFixture fixture(upstreamWithHomes({ self, VmId("vm-y"), VmId("vm-z") }));
    fixture.view.number = { 4 };
    fixture.view.members.push_back(DaemonFixture::member("vm-z", 3));
    fixture.putView();
    fixture.perform(fixture.membership.viewChanged(fixture.view, fixture.viewRevision, fixture.now));
    BOOST_TEST((fixture.share() == Share::Full));
}

// When the store lost its newest writes, the newest known view must be written again and not be replaced by
// the older one.
BOOST_AUTO_TEST_CASE(olderViewAtTheStoreIsReplacedByTheNewestKnownOne)
{
    DaemonFixture fixture(upstreamWithHomes({ self, VmId("vm-y") }));
    const View old = fixture.view;
    fixture.view.number = { 2 };
    fixture.view.members.push_back(DaemonFixture::member("vm-z", 2));
    fixture.putRecord("vm-z", 2);
    fixture.putView();
    fixture.runFor(6s);
    BOOST_REQUIRE(fixture.membership.view()->number.value == 2U);
    fixture.view = old;
    fixture.putView();
    fixture.runFor(8s);
    BOOST_TEST(fixture.view.number.value == 2U);
    BOOST_TEST(fixture.membership.view()->members.size() == 3U);
}
