#include "world.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::membership;
using namespace banyancroft::membership::test;

namespace {

const std::vector<std::string> names { "vm-a", "vm-b", "vm-c", "vm-d", "vm-e" };

struct Faults : World {
    Faults()
        : World({ UpstreamId("desk-01-a"), UpstreamId("desk-02-a") })
    {
        for (std::size_t i = 0; i < 3; ++i)
            start(names[i]);
        runFor(25s);
    }
};

/** The oracle needs no state of its own: the world counts what runs at each upstream. */
struct Nothing { };
using Command = rc::state::Command<Nothing, Faults>;

std::string arbitraryName() { return *rc::gen::elementOf(names); }

struct Step : Command {
    void run(const Nothing&, Faults& world) const override
    {
        act(world);
        RC_ASSERT(!world.exceeded);
    }
    virtual void act(Faults& world) const = 0;
};

struct Wait : Step {
    int tenths = *rc::gen::inRange(1, 200);
    void act(Faults& world) const override { world.runFor(tenths * 100ms); }
    void show(std::ostream& out) const override { out << "wait " << tenths * 100 << " ms"; }
};

/** One fault, or the end of one, at one daemon. */
struct DaemonFault : Step {
    std::string name = arbitraryName();
    int kind = *rc::gen::inRange(0, 8);
    void act(Faults& world) const override
    {
        if (!world.alive(name)) {
            if (kind < 4)
                world.start(name);
            return;
        }
        World::Daemon& daemon = world.daemon(name);
        if (kind < 2) {
            daemon.storeCut = !daemon.storeCut;
        } else if (kind < 4) {
            daemon.paused = !daemon.paused;
        } else if (kind == 4) {
            world.kill(name);
        } else if (kind == 5) {
            world.kill(name);
            world.start(name);
        } else if (kind == 6) {
            world.perform(daemon, daemon.membership->stop(world.now));
        } else {
            world.kill(name);
            std::erase(world.vms, VmId(name));
        }
    }
    void show(std::ostream& out) const override
    {
        const char* kinds[]
            = { "cut store", "cut store", "pause", "pause", "kill", "restart", "stop", "remove VM" };
        out << kinds[kind] << " or heal or start " << name;
    }
};

struct ZoneFault : Step {
    int kind = *rc::gen::inRange(0, 5);
    std::string one = arbitraryName();
    std::string other = arbitraryName();
    unsigned loss = *rc::gen::inRange(0U, 30U);
    int delay = *rc::gen::inRange(0, 20);
    void act(Faults& world) const override
    {
        if (kind == 0) {
            world.storeDown = !world.storeDown;
        } else if (kind == 1) {
            world.cutLinks.emplace_back(VmId(one), VmId(other));
        } else if (kind == 2) {
            world.cutLinks.clear();
        } else if (kind == 3) {
            world.lossPercent = loss;
            world.longestDelay = delay * 100ms;
        } else if (world.cold) {
            world.cold = false;
        } else {
            world.coldStart();
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

// In any order of faults, the sum of what all daemons have in flight must stay within the limit.
BOOST_AUTO_TEST_CASE(TheLimitHoldsUnderAnyFaults)
{
    const bool held = rc::check("the limit holds under any faults", [] {
        Faults world;
        world.random = *rc::gen::arbitrary<std::uint64_t>();
        rc::state::check(
            Nothing {}, world, rc::state::gen::execOneOfWithArgs<Wait, Wait, DaemonFault, ZoneFault>());
    });
    BOOST_TEST(held);
}

// When all faults end, every upstream must get its full limit again, whatever happened before.
BOOST_AUTO_TEST_CASE(ServiceReturnsWhenFaultsEnd)
{
    const bool returned = rc::check("service returns when faults end", [] {
        Faults world;
        world.random = *rc::gen::arbitrary<std::uint64_t>();
        rc::state::check(
            Nothing {}, world, rc::state::gen::execOneOfWithArgs<Wait, DaemonFault, ZoneFault>());
        world.storeDown = false;
        world.cutLinks.clear();
        world.lossPercent = 0;
        world.longestDelay = {};
        for (auto& [vm, daemon] : world.daemons) {
            daemon->storeCut = false;
            daemon->paused = false;
        }
        for (const std::string& name : names) {
            if (world.alive(name) && world.daemon(name).handedOver)
                world.kill(name);
            if (!world.alive(name))
                world.start(name);
        }
        world.cold = false;
        world.runFor(90s);
        for (const char* upstream : { "desk-01-a", "desk-02-a" }) {
            unsigned full = 0;
            for (const auto& [vm, daemon] : world.daemons)
                full += daemon->authority[UpstreamId(upstream)].share == Share::Full ? 1U : 0U;
            RC_ASSERT(full == 1U);
        }
        RC_ASSERT(!world.exceeded);
    });
    BOOST_TEST(returned);
}
