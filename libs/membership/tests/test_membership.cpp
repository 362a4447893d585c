#include "zone_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::membership;
using namespace banyancroft::membership::test;

namespace {

const UpstreamId upstream { "dispatch-desk-01-a" };

/** Four daemons with a settled common view. `home`, `successor` and `third` are the first three members in
 * the upstream's rendezvous order. */
struct SettledZone : ZoneSimulation {
    SettledZone()
        : ZoneSimulation({ upstream })
    {
        for (const char* name : { "vm-a", "vm-b", "vm-c", "vm-d" })
            start(name);
        runFor(30s);
        BOOST_REQUIRE(view.has_value());
        BOOST_REQUIRE(view->members.size() == 4U);
        const auto order = successors(upstream, *view, 4);
        home = order.at(0)->vm.str();
        successor = order.at(1)->vm.str();
        third = order.at(2)->vm.str();
        BOOST_REQUIRE((share(home) == Share::Full));
    }
    ~SettledZone() { BOOST_TEST(!limitExceeded); }

    Share share(const std::string& name)
    {
        const Authority& authority = daemon(name).authority[upstream];
        return now < authority.validUntil ? authority.share : Share::None;
    }

    std::string home;
    std::string successor;
    std::string third;
};

} // namespace

// Daemons that start at the same time must agree on one view with few swaps and settle it.
BOOST_FIXTURE_TEST_CASE(daemonsStartedTogetherSettleOneViewInFewSwaps, SettledZone)
{
    BOOST_TEST(view->settled.size() == 4U);
    BOOST_TEST(swaps <= 5U);
}

// After a crash, the successor may use only the remaining share until the old home is known to have stopped.
BOOST_FIXTURE_TEST_CASE(successorOfACrashedHomeGetsTheRestThenFullAuthority, SettledZone)
{
    kill(home);
    runFor(13s);
    BOOST_TEST((share(successor) == Share::None));
    runFor(12s);
    BOOST_TEST((share(successor) == Share::TakeoverRest));
    std::erase(vms, VmId(home));
    runFor(6s);
    BOOST_TEST((share(successor) == Share::Full));
    BOOST_TEST(view->departing.empty());
}

// A home that alone loses the store must keep only half of the limit, so that its successor can use the rest.
BOOST_FIXTURE_TEST_CASE(homeCutOffFromTheStoreKeepsHalfOfTheLimit, SettledZone)
{
    daemon(home).cutOffFromStore = true;
    runFor(30s);
    BOOST_TEST((share(home) == Share::UncertainHalf));
    BOOST_TEST((share(successor) == Share::TakeoverRest));
    daemon(home).cutOffFromStore = false;
    runFor(10s);
    BOOST_TEST((share(home) == Share::Full));
    BOOST_TEST((share(successor) == Share::None));
}

// A home that was paused until its lease lapsed must not send on its old authority when it resumes.
BOOST_FIXTURE_TEST_CASE(resumedHomeHasNoAuthorityAfterItsLeaseLapsed, SettledZone)
{
    daemon(home).paused = true;
    runFor(30s);
    BOOST_TEST((share(home) == Share::None));
    BOOST_TEST((share(successor) == Share::TakeoverRest));
    daemon(home).paused = false;
    runFor(10s);
    BOOST_TEST((share(home) == Share::Full));
}

// An outage of the store must not interrupt service, and members must not remove each other when it ends.
BOOST_FIXTURE_TEST_CASE(promisesReplaceLeasesDuringAStoreOutage, SettledZone)
{
    const ViewNumber before = view->number;
    storeDown = true;
    runFor(60s);
    BOOST_TEST((share(home) == Share::Full));
    leases.clear();
    records.clear();
    storeDown = false;
    runFor(20s);
    BOOST_TEST((share(home) == Share::Full));
    BOOST_TEST((view->number == before));
}

// A peer that gives no promise may acknowledge a new view and so let a successor activate it.
BOOST_FIXTURE_TEST_CASE(missingPromiseReducesTheHomeToHalfOfTheLimit, SettledZone)
{
    storeDown = true;
    cutLinks.emplace_back(VmId(home), VmId(third));
    runFor(40s);
    BOOST_TEST((share(home) == Share::UncertainHalf));
}

// Members that are cut off from the store but hold promises must keep their upstreams when other VMs join.
BOOST_FIXTURE_TEST_CASE(joinersDoNotTakeOverFromAZoneCutOffFromTheStore, SettledZone)
{
    for (auto& [vm, member] : daemons)
        member->cutOffFromStore = true;
    for (int i = 0; i < 8; ++i)
        start("vm-new-" + std::to_string(i));
    runFor(90s);
    BOOST_TEST((share(home) == Share::Full));
    BOOST_TEST(view->members.size() == 8U);
    for (int i = 0; i < 8; ++i)
        BOOST_TEST((share("vm-new-" + std::to_string(i)) == Share::None));
}

// A VM list that shows that all VMs of a zone have stopped must end the wait for them.
BOOST_FIXTURE_TEST_CASE(zoneIsTakenOverWhenTheVmListShowsItsVmsStopped, SettledZone)
{
    for (const char* name : { "vm-a", "vm-b", "vm-c", "vm-d" })
        kill(name);
    start("vm-new");
    runFor(60s);
    BOOST_TEST((share("vm-new") == Share::None));
    vms = { VmId("vm-new") };
    runFor(20s);
    BOOST_TEST((share("vm-new") == Share::Full));
}

// Without evidence from the VM list, only the operator's release can end the wait for stopped VMs.
BOOST_FIXTURE_TEST_CASE(operatorReleaseEndsTheWaitForStoppedVms, SettledZone)
{
    for (const char* name : { "vm-a", "vm-b", "vm-c", "vm-d" })
        kill(name);
    Daemon& fresh = start("vm-new");
    runFor(60s);
    BOOST_TEST((share("vm-new") == Share::None));
    perform(fresh, fresh.membership->release(now));
    runFor(20s);
    BOOST_TEST((share("vm-new") == Share::Full));
}

// A planned stop must hand over within 3 s, and the successor must count the requests that the old home still
// has in flight.
BOOST_FIXTURE_TEST_CASE(plannedStopHandsOverWithItsRequestsInFlight, SettledZone)
{
    perform(daemon(home), daemon(home).membership->stop(now));
    const TimePoint begun = now;
    while (share(successor) == Share::None && now < begun + 10s)
        runFor(100ms);
    BOOST_TEST((share(successor) == Share::Full));
    BOOST_TEST((now - begun < 3s));
    BOOST_TEST(daemon(successor).authority[upstream].inheritedInFlight == limit);
    BOOST_TEST(daemon(home).handedOver);
    runFor(5s);
    BOOST_TEST(daemon(successor).authority[upstream].inheritedInFlight == 0U);
}

// A restarted daemon must not acknowledge a view at once, since its previous incarnation may have given a
// promise.
BOOST_FIXTURE_TEST_CASE(restartedDaemonDelaysItsFirstAcknowledgement, SettledZone)
{
    kill(home);
    start(home);
    runFor(4s);
    BOOST_TEST(records[VmId(home)].listed.record.acknowledged.value == 0U);
    runFor(15s);
    BOOST_TEST((share(home) == Share::Full));
}

// Two earlier homes may each be using half of the limit, so nothing is left for the next home.
BOOST_FIXTURE_TEST_CASE(twoUncertainHomesLeaveNoAuthorityForAThird, SettledZone)
{
    daemon(home).cutOffFromStore = true;
    runFor(30s);
    BOOST_TEST((share(successor) == Share::TakeoverRest));
    daemon(successor).cutOffFromStore = true;
    runFor(30s);
    BOOST_TEST((share(successor) == Share::UncertainHalf));
    BOOST_TEST((share(third) == Share::None));
    BOOST_TEST(maxRunning == limit);
}

// The requests of all homes together must stay within the cold limit of a cold upstream.
BOOST_FIXTURE_TEST_CASE(uncertainHomeSendsNothingToAColdUpstream, SettledZone)
{
    daemon(home).cutOffFromStore = true;
    runFor(30s);
    coldStart();
    runFor(5s);
    BOOST_TEST(inFlight(daemon(home), upstream) == 0U);
    BOOST_TEST(inFlight(daemon(successor), upstream) == coldLimit);
}

// After all daemons of a zone stopped as planned, the next daemon to start must not wait for them.
BOOST_FIXTURE_TEST_CASE(zoneStartsWithoutWaitAfterAPlannedStopOfAllDaemons, SettledZone)
{
    for (auto& [vm, member] : daemons)
        perform(*member, member->membership->stop(now));
    runFor(15s);
    for (auto& [vm, member] : daemons)
        BOOST_TEST(member->handedOver);
    daemons.clear();
    start("vm-new");
    runFor(15s);
    BOOST_TEST((share("vm-new") == Share::Full));
}
