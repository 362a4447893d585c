#include "handover/dispatch_role.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <set>
#include <vector>

using namespace banyancroft;
using namespace banyancroft::handover;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };
constexpr Duration visibility = 2400ms;

/** The VMs of one availability zone, each of which sees registrations with a delay. */
class ZoneSimulation {
public:
    ZoneSimulation(std::size_t minDispatchers, std::vector<double> processors)
        : rules_ { minDispatchers, visibility }
        , processors_(std::move(processors))
    {
        for (std::size_t i = 0; i < processors_.size(); ++i)
            vms_.push_back(newVm());
    }

    void run(Duration time)
    {
        for (const auto end = now_ + time; now_ < end; now_ += step)
            tick();
    }

    std::set<std::size_t> dispatchers() const
    {
        std::set<std::size_t> result;
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            if (vms_[i].alive && vms_[i].role->isDispatcher())
                result.insert(i);
        }
        return result;
    }

    /** Ends a process; its registration is removed after `lease`. */
    void kill(std::size_t vm, Duration lease)
    {
        vms_[vm].alive = false;
        vms_[vm].registeredUntil = now_ + lease;
    }

    void restart(std::size_t vm)
    {
        const auto registeredUntil = vms_[vm].registeredUntil;
        vms_[vm] = newVm();
        vms_[vm].registeredUntil = registeredUntil;
    }

    /** Work of the zone in processor cores. */
    double work = 0;
    std::size_t roleChanges = 0;
    std::size_t mostDispatchers = 0;

private:
    static constexpr Duration step = 100ms;

    struct Vm {
        std::unique_ptr<DispatchRole> role;
        bool alive = true;
        TimePoint registeredUntil {};
    };

    Vm newVm() { return { std::make_unique<DispatchRole>(rules_, uniform_(random_)), true, {} }; }

    void tick()
    {
        std::set<std::size_t> registered;
        double capacity = 0;
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            const bool dispatches = vms_[i].alive && vms_[i].role->isDispatcher();
            capacity += dispatches ? processors_[i] : 0;
            if (dispatches || now_ < vms_[i].registeredUntil)
                registered.insert(i);
        }
        mostDispatchers = std::max(mostDispatchers, dispatchers().size());
        history_.push_back(registered);
        if (history_.size() > static_cast<std::size_t>(visibility / step))
            history_.pop_front();
        const double utilization = capacity > 0 ? std::min(work / capacity, 1.0) : 0;
        for (std::size_t i = 0; i < vms_.size(); ++i) {
            if (!vms_[i].alive)
                continue;
            const bool before = vms_[i].role->isDispatcher();
            roleChanges += vms_[i].role->update(inputs(i, utilization), now_) != before;
        }
    }

    RoleInputs inputs(std::size_t vm, double utilization) const
    {
        RoleInputs inputs;
        inputs.processors = processors_[vm];
        inputs.utilization = utilization;
        for (const auto other : history_.front()) {
            if (other == vm) {
                inputs.wasDispatcher = true;
                continue;
            }
            ++inputs.others;
            inputs.comparable += processors_[other] > processors_[vm] / 2;
            inputs.ahead += std::pair(processors_[other], other) > std::pair(processors_[vm], vm);
        }
        return inputs;
    }

    const RoleRules rules_;
    const std::vector<double> processors_;
    std::mt19937 random_ { 7 };
    std::uniform_real_distribution<double> uniform_ { 0, 1 };
    std::vector<Vm> vms_;
    std::deque<std::set<std::size_t>> history_;
    TimePoint now_ = start;
};

std::vector<double> fleet(std::size_t large, std::size_t small)
{
    std::vector<double> processors(large, 0.5);
    processors.resize(large + small, 0.12);
    return processors;
}

} // namespace

BOOST_AUTO_TEST_CASE(largeVmsBecomeDispatchersAtOnce)
{
    ZoneSimulation zone(3, fleet(3, 30));
    zone.run(500ms);
    BOOST_TEST((zone.dispatchers() == std::set<std::size_t> { 0, 1, 2 }));
    zone.run(60s);
    BOOST_TEST((zone.dispatchers() == std::set<std::size_t> { 0, 1, 2 }));
    BOOST_TEST(zone.roleChanges == 3U);
}

BOOST_AUTO_TEST_CASE(zoneOfEqualVmsKeepsOnlyAsManyAsItNeeds)
{
    for (const double processors : { 0.12, 0.25, 0.5 }) {
        ZoneSimulation zone(3, std::vector<double>(40, processors));
        zone.run(60s);
        BOOST_TEST(zone.dispatchers().size() == 3U);
    }
    // Fewer VMs than the minimum: all dispatch.
    ZoneSimulation few(3, { 0.25, 0.25 });
    few.run(10s);
    BOOST_TEST(few.dispatchers().size() == 2U);
}

// The tier follows the load in both directions and does not oscillate.
BOOST_AUTO_TEST_CASE(tierGrowsWithLoadAndShrinksAfterIt)
{
    ZoneSimulation zone(2, std::vector<double>(40, 0.25));
    zone.run(60s);
    zone.work = 1.5;
    zone.run(120s);
    const auto busy = zone.dispatchers().size();
    BOOST_TEST(busy >= 9U);
    const auto changes = zone.roleChanges;
    zone.run(60s);
    BOOST_TEST(zone.roleChanges == changes);
    zone.work = 0.05;
    zone.run(120s);
    BOOST_TEST(zone.dispatchers().size() == 2U);
}

BOOST_AUTO_TEST_CASE(restartedDispatcherResumesAtOnce)
{
    ZoneSimulation zone(3, fleet(3, 30));
    zone.run(10s);
    zone.kill(1, 5s);
    zone.run(500ms);
    zone.restart(1);
    zone.run(200ms);
    BOOST_TEST(zone.dispatchers().contains(1));
}

// Planned stops in turn: each large VM is back after four seconds, so no small one needs to take its place.
BOOST_AUTO_TEST_CASE(smallVmsDoNotVolunteerDuringRestartsInTurn)
{
    ZoneSimulation zone(3, fleet(3, 30));
    zone.run(10s);
    for (std::size_t vm = 0; vm < 3; ++vm) {
        zone.kill(vm, 0s);
        zone.run(4s);
        zone.restart(vm);
        zone.run(4s);
    }
    BOOST_TEST(zone.mostDispatchers == 3U);
}

// A planned stop ends the registration. A small VM may take over meanwhile, but not for good.
BOOST_AUTO_TEST_CASE(largeVmTakesItsPlaceBack)
{
    ZoneSimulation zone(3, fleet(3, 30));
    zone.run(10s);
    zone.kill(1, 0s);
    zone.run(50s);
    BOOST_TEST(zone.dispatchers().size() == 3U);
    // VMs that volunteer at the same time do not see each other yet.
    BOOST_TEST(zone.mostDispatchers <= 8U);
    zone.restart(1);
    zone.run(30s);
    BOOST_TEST((zone.dispatchers() == std::set<std::size_t> { 0, 1, 2 }));
}

// Of 1,000 VMs, a third is restarted in turn, so that one or two are always missing.
BOOST_AUTO_TEST_CASE(restartsOfOneThirdMoveFewDispatchers)
{
    ZoneSimulation zone(3, fleet(20, 980));
    zone.run(60s);
    const auto settled = zone.dispatchers();
    BOOST_TEST(settled.size() == 3U);
    const auto changes = zone.roleChanges;
    for (std::size_t vm = 0; vm < 1000; vm += 3) {
        zone.kill(vm, 0s);
        zone.run(500ms);
        zone.restart(vm);
    }
    zone.run(60s);
    BOOST_TEST(zone.dispatchers().size() == 3U);
    // Each restart of a dispatcher lets the other large VMs volunteer once and leave again.
    const auto restartedDispatchers = static_cast<std::size_t>(
        std::count_if(settled.begin(), settled.end(), [](std::size_t vm) { return vm % 3 == 0; }));
    BOOST_TEST(zone.roleChanges - changes <= 2 * 20 * (restartedDispatchers + 1));
}

BOOST_AUTO_TEST_CASE(minimumFollowsToleratedLossesAndFleetsOfFewZones)
{
    BOOST_TEST(minDispatchersPerZone(1, 6) == 2U);
    BOOST_TEST(minDispatchersPerZone(2, 6) == 3U);
    BOOST_TEST(minDispatchersPerZone(1, 4) == 2U);
    BOOST_TEST(minDispatchersPerZone(1, 3) == 3U);
    BOOST_TEST(minDispatchersPerZone(0, 0) == 8U);
}
