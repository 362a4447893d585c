#include "fake_fleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <iostream>

using namespace banyancroft::search;
using namespace banyancroft::search::test;

namespace {

/** State on which the generated commands depend; all other state is in the fleet. */
struct Model {
    std::uint64_t layout = 1;
    std::uint64_t index = 1;
};

using Command = rc::state::Command<Model, FakeFleet>;

constexpr const char* zones[] = { "a", "b", "c" };

std::string anyZone() { return zones[*rc::gen::inRange(0, 3)]; }

struct Query : Command {
    int deadlineMillis = *rc::gen::inRange(1, 200);
    bool requireAll = *rc::gen::inRange(0, 4) == 0;
    int count = *rc::gen::inRange(1, 6);

    void run(const Model&, FakeFleet& fleet) const override
    {
        for (int i = 0; i < count; ++i) {
            fleet.startQuery(std::chrono::milliseconds(deadlineMillis), requireAll);
            fleet.advance(500us);
        }
    }
    void show(std::ostream& out) const override
    {
        out << count << " queries, deadline in ms " << deadlineMillis;
    }
};

struct Advance : Command {
    int micros = *rc::gen::inRange(100, 100'000);

    void run(const Model&, FakeFleet& fleet) const override
    {
        fleet.advance(std::chrono::microseconds(micros));
    }
    void show(std::ostream& out) const override { out << "advance " << micros << " us"; }
};

struct InjectFaults : Command {
    Faults faults { *rc::gen::inRange(0U, 20U), *rc::gen::inRange(0U, 20U), *rc::gen::inRange(0U, 20U),
        *rc::gen::inRange(0U, 10U), *rc::gen::inRange(0U, 10U), *rc::gen::inRange(0U, 30U),
        *rc::gen::inRange(1U, 60U) };

    void run(const Model&, FakeFleet& fleet) const override { fleet.faults = faults; }
    void show(std::ostream& out) const override
    {
        out << "inject faults, maximum delay in ms " << faults.maxDelayMillis;
    }
};

/** Some upstreams start serving a new index version, and some stop serving the old one. */
struct ChangeIndex : Command {
    unsigned keptPercent = *rc::gen::inRange(0U, 100U);
    unsigned adoptedPercent = *rc::gen::inRange(0U, 101U);
    unsigned choice = *rc::gen::inRange(0U, 10'000U);

    void apply(Model& model) const override { ++model.index; }
    void run(const Model& model, FakeFleet& fleet) const override
    {
        Random random(choice);
        for (unsigned group = 0; group < FakeFleet::groups; ++group) {
            for (const auto* zone : zones) {
                if (random() % 100 < adoptedPercent)
                    fleet.changeServedIndex(group, zone, model.index + 1, true);
                if (random() % 100 >= keptPercent)
                    fleet.changeServedIndex(group, zone, model.index, false);
            }
        }
    }
    void show(std::ostream& out) const override
    {
        out << "change index, adopted by percent " << adoptedPercent;
    }
};

/** Repartition: upstreams adopt the new layout before or after the configuration does. */
struct ChangeLayout : Command {
    bool configurationFirst = *rc::gen::arbitrary<bool>();
    bool only = *rc::gen::arbitrary<bool>();
    unsigned adoptedPercent = *rc::gen::inRange(50U, 101U);
    unsigned choice = *rc::gen::inRange(0U, 10'000U);

    void apply(Model& model) const override { ++model.layout; }
    void run(const Model& model, FakeFleet& fleet) const override
    {
        if (configurationFirst)
            fleet.applyLayout(model.layout + 1);
        Random random(choice);
        for (unsigned group = 0; group < FakeFleet::groups; ++group) {
            for (const auto* zone : zones) {
                if (random() % 100 < adoptedPercent)
                    fleet.changeServedLayout(group, zone, model.layout + 1, only);
                fleet.advance(200us);
            }
        }
        if (!configurationFirst)
            fleet.applyLayout(model.layout + 1);
    }
    void show(std::ostream& out) const override
    {
        out << "change layout, adopted by percent " << adoptedPercent;
    }
};

struct TakeZoneOut : Command {
    /** Empty returns all zones to service. */
    std::string zone = *rc::gen::arbitrary<bool>() ? anyZone() : std::string();

    void run(const Model&, FakeFleet& fleet) const override { fleet.takeZoneOut(zone); }
    void show(std::ostream& out) const override { out << "take out zone " << zone; }
};

} // namespace

// Checks the invariants under faults of upstreams and network and under operator commands: rows of one
// snapshot, correct coverage, an end before the deadline, budgets respected, nothing sent to a zone out of
// service, slower sub-requests cancelled.
BOOST_AUTO_TEST_CASE(invariantsHoldUnderInjectedFaults)
{
    unsigned complete = 0;
    unsigned partial = 0;
    SearchCounters total;
    const bool held = rc::check("invariants hold under injected faults", [&] {
        FakeFleet fleet(*rc::gen::arbitrary<std::uint32_t>());
        rc::state::check(Model(), fleet,
            rc::state::gen::execOneOfWithArgs<Query, Query, Query, Advance, Advance, InjectFaults,
                ChangeIndex, ChangeLayout, TakeZoneOut>());
        fleet.advance(2s);
        complete += fleet.complete;
        partial += fleet.partial;
        total.hedges += fleet.total().hedges;
        total.hedgesWon += fleet.total().hedgesWon;
        total.retries += fleet.total().retries;
        total.restarts += fleet.total().restarts;
        total.otherVersion += fleet.total().otherVersion;
        total.duplicateReplies += fleet.total().duplicateReplies;
    });
    BOOST_TEST(held);
    std::cout << "complete " << complete << " partial " << partial << " hedges " << total.hedges << " won "
              << total.hedgesWon << " retries " << total.retries << " restarts " << total.restarts
              << " other version " << total.otherVersion << " duplicates " << total.duplicateReplies << '\n';
    // A run in which a mechanism was never used does not test it.
    BOOST_TEST(complete > 0U);
    BOOST_TEST(partial > 0U);
    BOOST_TEST(total.hedgesWon > 0U);
    BOOST_TEST(total.retries > 0U);
    BOOST_TEST(total.restarts > 0U);
    BOOST_TEST(total.otherVersion > 0U);
    BOOST_TEST(total.duplicateReplies > 0U);
}
