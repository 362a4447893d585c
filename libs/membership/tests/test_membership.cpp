#include "world.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::membership;
using namespace banyancroft::membership::test;

namespace {

const UpstreamId upstream { "dispatch-desk-01-a" };

/** Four daemons that have settled a common view; `home` and `successor` are those of the upstream. */
struct Zone : World {
    Zone()
        : World({ upstream })
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
    ~Zone() { BOOST_TEST(!exceeded); }

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

// Daemons that start together must agree on one view, with few swaps, and settle it.
BOOST_FIXTURE_TEST_CASE(DaemonsThatStartTogetherShareFewSwaps, Zone)
{
    BOOST_TEST(view->settled.size() == 4U);
    BOOST_TEST(swaps <= 5U);
}

// After a crash the successor may use only the rest until the old home is known to have stopped.
BOOST_FIXTURE_TEST_CASE(ACrashedHomeIsReplacedByThirds, Zone)
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

// A home that is cut off alone must leave room for its successor and stop when it learns of the view.
BOOST_FIXTURE_TEST_CASE(AHomeCutFromTheStoreAloneKeepsHalf, Zone)
{
    daemon(home).storeCut = true;
    runFor(30s);
    BOOST_TEST((share(home) == Share::UncertainHalf));
    BOOST_TEST((share(successor) == Share::TakeoverRest));
    daemon(home).storeCut = false;
    runFor(10s);
    BOOST_TEST((share(home) == Share::Full));
    BOOST_TEST((share(successor) == Share::None));
}

// A paused home that wakes after its lease lapsed must send nothing on its old authority.
BOOST_FIXTURE_TEST_CASE(APausedHomeWakesWithoutAuthority, Zone)
{
    daemon(home).paused = true;
    runFor(30s);
    BOOST_TEST((share(home) == Share::None));
    BOOST_TEST((share(successor) == Share::TakeoverRest));
    daemon(home).paused = false;
    runFor(10s);
    BOOST_TEST((share(home) == Share::Full));
}

// An outage of the store must not cost service, and its end must not make members remove each other.
BOOST_FIXTURE_TEST_CASE(PromisesReplaceLeasesDuringAnOutage, Zone)
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

// One peer that gives no promise may be the one that lets a successor start.
BOOST_FIXTURE_TEST_CASE(OneMissingPromiseHalvesTheHome, Zone)
{
    storeDown = true;
    cutLinks.emplace_back(VmId(home), VmId(third));
    runFor(40s);
    BOOST_TEST((share(home) == Share::UncertainHalf));
}

// Members that are cut off with promises must not be overtaken by VMs that join from outside.
BOOST_FIXTURE_TEST_CASE(JoinersDoNotTakeOverFromACutOffZone, Zone)
{
    for (auto& [vm, member] : daemons)
        member->storeCut = true;
    for (int i = 0; i < 8; ++i)
        start("vm-new-" + std::to_string(i));
    runFor(90s);
    BOOST_TEST((share(home) == Share::Full));
    BOOST_TEST(view->members.size() == 8U);
    for (int i = 0; i < 8; ++i)
        BOOST_TEST((share("vm-new-" + std::to_string(i)) == Share::None));
}

// The operator's release, or the VM list, must end the wait for a zone whose VMs are all gone.
BOOST_FIXTURE_TEST_CASE(AGoneZoneIsTakenOverByEvidence, Zone)
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

// Without the VM list, only the operator can say that the VMs have stopped.
BOOST_FIXTURE_TEST_CASE(ReleaseEndsTheWait, Zone)
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

// A planned stop must hand over quickly, and count what the old home still has in flight.
BOOST_FIXTURE_TEST_CASE(APlannedStopHandsOverWithItsWorkInFlight, Zone)
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

// A restarted daemon must not acknowledge at once: its earlier run may have promised otherwise.
BOOST_FIXTURE_TEST_CASE(ARestartedDaemonWaitsBeforeItAcknowledges, Zone)
{
    kill(home);
    start(home);
    runFor(4s);
    BOOST_TEST(records[VmId(home)].listed.record.acknowledged.value == 0U);
    runFor(15s);
    BOOST_TEST((share(home) == Share::Full));
}

// Two departing members may both hold half of the limit, so nothing is left for the next home.
BOOST_FIXTURE_TEST_CASE(NothingIsLeftBesideTwoUncertainHomes, Zone)
{
    daemon(home).storeCut = true;
    runFor(30s);
    BOOST_TEST((share(successor) == Share::TakeoverRest));
    daemon(successor).storeCut = true;
    runFor(30s);
    BOOST_TEST((share(successor) == Share::UncertainHalf));
    BOOST_TEST((share(third) == Share::None));
    BOOST_TEST(mostRunning == limit);
}

// A cold upstream must get its cold limit from all homes together.
BOOST_FIXTURE_TEST_CASE(AColdUpstreamGetsNothingFromAnUncertainHome, Zone)
{
    daemon(home).storeCut = true;
    runFor(30s);
    coldStart();
    runFor(5s);
    BOOST_TEST(inFlight(daemon(home), upstream) == 0U);
    BOOST_TEST(inFlight(daemon(successor), upstream) == coldLimit);
}

// Two stops of a whole zone, one after the other, must let the next start begin at once.
BOOST_FIXTURE_TEST_CASE(AZoneThatStoppedCleanlyStartsAgain, Zone)
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
