#include "zone_simulation.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::membership;
using namespace banyancroft::membership::test;

namespace {

const std::vector<std::string> names { "vm-a", "vm-b", "vm-c", "vm-d", "vm-e" };

struct FaultSimulation : ZoneSimulation {
    FaultSimulation()
        : ZoneSimulation({ UpstreamId("desk-01-a"), UpstreamId("desk-02-a") })
    {
        for (std::size_t i = 0; i < 3; ++i)
            start(names[i]);
        runFor(25s);
    }
};

/** Empty, since the simulation itself counts the requests that run at each upstream. */
struct EmptyModel { };
using Command = rc::state::Command<EmptyModel, FaultSimulation>;

std::string arbitraryName() { return *rc::gen::elementOf(names); }

struct Step : Command {
    void run(const EmptyModel&, FaultSimulation& simulation) const override
    {
        act(simulation);
        RC_ASSERT(!simulation.limitExceeded);
    }
    virtual void act(FaultSimulation& simulation) const = 0;
};

struct Wait : Step {
    int tenths = *rc::gen::inRange(1, 200);
    void act(FaultSimulation& simulation) const override { simulation.runFor(tenths * 100ms); }
    void show(std::ostream& out) const override { out << "wait " << tenths * 100 << " ms"; }
};

/** Starts or ends one fault at one daemon. */
struct DaemonFault : Step {
    std::string name = arbitraryName();
    int kind = *rc::gen::inRange(0, 8);
    void act(FaultSimulation& simulation) const override
    {
        if (!simulation.alive(name)) {
            if (kind < 4)
                simulation.start(name);
            return;
        }
        ZoneSimulation::Daemon& daemon = simulation.daemon(name);
        if (kind < 2) {
            daemon.cutOffFromStore = !daemon.cutOffFromStore;
        } else if (kind < 4) {
            daemon.paused = !daemon.paused;
        } else if (kind == 4) {
            simulation.kill(name);
        } else if (kind == 5) {
            simulation.kill(name);
            simulation.start(name);
        } else if (kind == 6) {
            simulation.perform(daemon, daemon.membership->stop(simulation.now));
        } else {
            simulation.kill(name);
            std::erase(simulation.vms, VmId(name));
        }
    }
    void show(std::ostream& out) const override
    {
        const char* kinds[]
            = { "cut store", "cut store", "pause", "pause", "kill", "restart", "stop", "remove VM" };
        out << kinds[kind] << " or heal or start " << name;
    }
};

/** Starts or ends one fault of the store, the network or the upstreams. */
struct ZoneFault : Step {
    int kind = *rc::gen::inRange(0, 5);
    std::string one = arbitraryName();
    std::string other = arbitraryName();
    unsigned loss = *rc::gen::inRange(0U, 30U);
    int delay = *rc::gen::inRange(0, 20);
    void act(FaultSimulation& simulation) const override
    {
        if (kind == 0) {
            simulation.storeDown = !simulation.storeDown;
        } else if (kind == 1) {
            simulation.cutLinks.emplace_back(VmId(one), VmId(other));
        } else if (kind == 2) {
            simulation.cutLinks.clear();
        } else if (kind == 3) {
            simulation.lossPercent = loss;
            simulation.longestDelay = delay * 100ms;
        } else if (simulation.cold) {
            simulation.cold = false;
        } else {
            simulation.coldStart();
        }
    }
    void show(std::ostream& out) const override
    {
        const char* kinds[]
            = { "store down or up", "cut link", "heal links", "loss and delay", "cold or warm" };
        out << kinds[kind] << ' ' << one << ' ' << other << ' ' << loss << "% " << delay * 100 << " ms";
    }
};

} // namespace

// In any sequence of faults, the requests of all daemons together must stay within the limit of each
// upstream.
BOOST_AUTO_TEST_CASE(requestsInFlightStayWithinTheLimitUnderAnyFaults)
{
    const bool held = rc::check("the limit holds under any faults", [] {
        FaultSimulation simulation;
        simulation.random = *rc::gen::arbitrary<std::uint64_t>();
        rc::state::check(EmptyModel {}, simulation,
            rc::state::gen::execOneOfWithArgs<Wait, Wait, DaemonFault, ZoneFault>());
    });
    BOOST_TEST(held);
}

// After all faults have ended, exactly one daemon must have full authority over each upstream again.
BOOST_AUTO_TEST_CASE(fullAuthorityReturnsAfterFaultsEnd)
{
    const bool returned = rc::check("service returns when faults end", [] {
        FaultSimulation simulation;
        simulation.random = *rc::gen::arbitrary<std::uint64_t>();
        rc::state::check(
            EmptyModel {}, simulation, rc::state::gen::execOneOfWithArgs<Wait, DaemonFault, ZoneFault>());
        simulation.storeDown = false;
        simulation.cutLinks.clear();
        simulation.lossPercent = 0;
        simulation.longestDelay = {};
        for (auto& [vm, daemon] : simulation.daemons) {
            daemon->cutOffFromStore = false;
            daemon->paused = false;
        }
        for (const std::string& name : names) {
            if (simulation.alive(name) && simulation.daemon(name).handedOver)
                simulation.kill(name);
            if (!simulation.alive(name))
                simulation.start(name);
        }
        simulation.cold = false;
        simulation.runFor(90s);
        for (const char* upstream : { "desk-01-a", "desk-02-a" }) {
            unsigned full = 0;
            for (const auto& [vm, daemon] : simulation.daemons)
                full += daemon->authority[UpstreamId(upstream)].share == Share::Full ? 1U : 0U;
            RC_ASSERT(full == 1U);
        }
        RC_ASSERT(!simulation.limitExceeded);
    });
    BOOST_TEST(returned);
}
