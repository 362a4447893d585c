#include "scripted_fleet.h"

#include <boost/test/unit_test.hpp>

namespace banyancroft::rollout {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration duration = seconds(60);

ScriptedAnswer goodAnswer(bool, const std::string&, const std::string&, Duration) { return {}; }

/** Number of final statuses that were written for a version. */
std::size_t finals(const ScriptedFleet& fleet, const std::string& version)
{
    return static_cast<std::size_t>(std::count_if(fleet.statuses.begin(), fleet.statuses.end(),
        [&](const Status& status) { return status.state != State::Running && status.target == version; }));
}

Division divisionOf(ScriptedFleet& fleet, std::size_t vm)
{
    return fleet.vms[vm]
        ->driver.division(ScriptedFleet::at(fleet.elapsed))
        .value_or(Division { "none", -1, {} });
}

} // namespace

// Guards against requests that still go to the old replicas when `completed` lets these stop.
BOOST_AUTO_TEST_CASE(allVmsHaveTheFullShareForThePropagationDelayBeforeCompletion)
{
    ScriptedFleet fleet(4, 40, goodAnswer);
    Duration fullSince {};
    fleet.order("v2", duration);
    while (fleet.state() != State::Completed && fleet.elapsed < duration * 2) {
        fleet.runUntil(fleet.elapsed + ScriptedFleet::tick);
        for (std::size_t vm = 0; vm < 4; ++vm) {
            if (divisionOf(fleet, vm).share < 1)
                fullSince = fleet.elapsed;
        }
    }
    BOOST_CHECK_GE(toMillis(fleet.finalAt - fullSince), 4500);
    BOOST_CHECK_LT(toMillis(fleet.finalAt), toMillis(duration));
}

// Guards against a roll-out that stands still or ends twice when its driver dies, after any of its writes.
BOOST_AUTO_TEST_CASE(anotherVmGoesOnWhenTheDriverDiesAtAnyWrite)
{
    unsigned writes = 1000;
    for (unsigned diesAt = 1; diesAt < writes; ++diesAt) {
        ScriptedFleet fleet(3, 0, goodAnswer);
        unsigned count = 0;
        fleet.onWrite = [&] {
            if (++count == diesAt)
                fleet.vms[0]->isAlive = false;
        };
        fleet.order("v2", duration);
        fleet.runUntil(duration + seconds(10));
        BOOST_CHECK_MESSAGE(
            fleet.state() == State::Completed && finals(fleet, "v2") == 1, "died at " << diesAt);
        BOOST_CHECK_LT(toMillis(fleet.finalAt), toMillis(duration));
        writes = count;
    }
}

// Guards against a second final status when the answer to a write is lost, for each write.
BOOST_AUTO_TEST_CASE(lostAnswersChangeNothing)
{
    unsigned writes = 1000;
    for (unsigned lostAt = 1; lostAt < writes; ++lostAt) {
        ScriptedFleet fleet(3, 0, goodAnswer);
        unsigned count = 0;
        fleet.onWrite = [&] {
            if (++count + 1 == lostAt)
                fleet.vms[0]->loseNextAnswer = true;
        };
        fleet.order("v2", duration);
        fleet.runUntil(duration + seconds(5));
        BOOST_CHECK_MESSAGE(
            fleet.state() == State::Completed && finals(fleet, "v2") == 1, "lost at " << lostAt);
        BOOST_CHECK_LT(toMillis(fleet.finalAt), toMillis(duration));
        writes = count;
    }
}

// Guards against two final statuses when VMs decide at the same moment, also against the driver's completion.
BOOST_AUTO_TEST_CASE(oneFinalStatusIsWrittenIfVmsDecideAtOnce)
{
    for (const int decidedAt : { 20, 57, 58, 59 }) {
        ScriptedFleet fleet(4, 0, goodAnswer);
        fleet.order("v2", duration);
        fleet.runUntil(seconds(decidedAt));
        for (auto& vm : fleet.vms)
            vm->driver.setBad("failures");
        fleet.runUntil(duration + seconds(5));
        BOOST_CHECK_EQUAL(finals(fleet, "v2"), 1U);
        const double share = fleet.state() == State::Completed ? 1 : 0;
        for (std::size_t vm = 0; vm < 4; ++vm)
            BOOST_CHECK_EQUAL(divisionOf(fleet, vm).share, share);
    }
}

// Guards against requests for a version whose order was withdrawn, and against its completion.
BOOST_AUTO_TEST_CASE(withdrawnOrderIsRolledBack)
{
    for (const int withdrawnAt : { 10, 50, 56 }) {
        ScriptedFleet fleet(3, 0, goodAnswer);
        fleet.order("v2", duration);
        fleet.runUntil(seconds(withdrawnAt));
        fleet.withdraw();
        fleet.runUntil(duration + seconds(5));
        BOOST_CHECK(fleet.state() == State::RolledBack);
        BOOST_CHECK_EQUAL(finals(fleet, "v2"), 1U);
        BOOST_CHECK_EQUAL(divisionOf(fleet, 1).target, "v2");
        BOOST_CHECK_EQUAL(divisionOf(fleet, 1).share, 0);
    }
}

// Guards against full load for the unproven version of a replaced order, and against a lost second order.
BOOST_AUTO_TEST_CASE(replacedOrderStartsAnewWithoutTheEarlierVersion)
{
    ScriptedFleet fleet(3, 0, goodAnswer);
    fleet.order("v2", duration);
    fleet.runUntil(seconds(56));
    fleet.order("v3", duration);
    fleet.runUntil(seconds(58));
    BOOST_CHECK_EQUAL(divisionOf(fleet, 1).target, "v3");
    BOOST_CHECK_LE(divisionOf(fleet, 1).share, 0.05);
    BOOST_CHECK(divisionOf(fleet, 1).excluded == std::vector<std::string> { "v2" });
    // A VM that starts now learns of the earlier version from the step.
    RolloutDriver started { RolloutLimits {} };
    started.setStep(fleet.latestStep, ScriptedFleet::at(fleet.elapsed));
    started.setStatus(fleet.status, ScriptedFleet::at(fleet.elapsed));
    started.setOrder(fleet.vms[1]->driver.order(), ScriptedFleet::at(fleet.elapsed));
    BOOST_CHECK(started.division(ScriptedFleet::at(fleet.elapsed)) == divisionOf(fleet, 1));
    BOOST_CHECK_GT(toMillis(started.elapsed(ScriptedFleet::at(fleet.elapsed))), 500);
    fleet.runUntil(seconds(56) + duration);
    BOOST_CHECK(fleet.state() == State::Completed);
    BOOST_CHECK_EQUAL(finals(fleet, "v2"), 0U);
    BOOST_CHECK_EQUAL(finals(fleet, "v3"), 1U);
}

// Guards against a second order for a rolled-back version that is taken for the first one.
BOOST_AUTO_TEST_CASE(rolledBackVersionMayBeOrderedAgain)
{
    ScriptedFleet fleet(3, 0, goodAnswer);
    fleet.order("v2", duration);
    fleet.runUntil(seconds(20));
    fleet.vms[2]->driver.setBad("failures");
    fleet.runUntil(seconds(30));
    BOOST_CHECK(fleet.state() == State::RolledBack);
    BOOST_CHECK_EQUAL(fleet.vms[2]->driver.reason(), "failures");
    fleet.order("v2", duration);
    fleet.runUntil(seconds(32));
    BOOST_CHECK_GT(divisionOf(fleet, 0).share, 0);
    fleet.runUntil(seconds(30) + duration);
    BOOST_CHECK(fleet.state() == State::Completed);
}

// Guards against the completion of a version that nobody can serve.
BOOST_AUTO_TEST_CASE(versionWithoutReplicasIsRolledBackAtTheDeadline)
{
    ScriptedFleet fleet(3, 0, goodAnswer);
    fleet.targetReplicas = 0;
    fleet.order("v2", duration);
    fleet.runUntil(duration - seconds(1));
    BOOST_CHECK(fleet.state() == State::Running);
    fleet.runUntil(duration + seconds(5));
    BOOST_CHECK(fleet.state() == State::RolledBack);
    BOOST_CHECK_EQUAL(finals(fleet, "v2"), 1U);
}

// Guards against a driver that resumes after a suspension and decides on what it knew before.
BOOST_AUTO_TEST_CASE(vmWithAnOldViewWritesNothing)
{
    RolloutDriver driver { RolloutLimits {} };
    const auto start = ScriptedFleet::at({});
    driver.setOrder(Order { "v2", duration, 5 }, start);
    DriverInputs inputs { 0U, false, 3, 3 };
    BOOST_CHECK(!driver.nextWrite(inputs, start + duration * 2));
    inputs.isViewCurrent = true;
    BOOST_CHECK(driver.nextWrite(inputs, start + duration * 2));
}

// Guards against a final status that a restored store has lost, and an order that starts anew or is taken as
// withdrawn because of its revision.
BOOST_AUTO_TEST_CASE(restoredStoreChangesNothing)
{
    const auto start = ScriptedFleet::at({});
    const auto restored = start + seconds(30);
    const DriverInputs inputs { 0U, true, 3, 3 };
    const auto began = [&](State state) {
        RolloutDriver driver { RolloutLimits {} };
        driver.setOrder(Order { "v2", duration, 50 }, start);
        driver.setStep(Step { 0.05, Phase::Canary, seconds(0), "v2", 50, {}, 51 }, start);
        driver.setStatus(Status { state, "v2", 52 }, start + seconds(1));
        driver.storeRestored(restored);
        driver.setStatus(Status { State::Running, "v2", 45 }, restored);
        return driver;
    };
    for (const auto state : { State::Completed, State::RolledBack }) {
        auto driver = began(state);
        driver.setOrder(Order { "v2", duration, 40 }, restored);
        BOOST_CHECK_EQUAL(driver.division(restored)->share, state == State::Completed ? 1 : 0);
        const auto write = driver.nextWrite(inputs, restored);
        BOOST_CHECK(write && std::get<Status>(write->value).state == state && write->expectedRevision == 45);
    }
    auto running = began(State::Running);
    running.setOrder(std::nullopt, restored);
    BOOST_CHECK(running.order() && !running.nextWrite(inputs, restored + seconds(1)));
    running.setOrder(Order { "v2", duration, 47 }, restored + seconds(1));
    BOOST_CHECK(running.elapsed(restored + seconds(1)) == seconds(31));
    BOOST_CHECK(running.nextWrite(inputs, restored + seconds(1)));
    auto withdrawn = began(State::Running);
    withdrawn.setOrder(std::nullopt, restored);
    BOOST_CHECK(withdrawn.nextWrite(inputs, restored + seconds(3)));
    BOOST_CHECK(!withdrawn.order());
}

// Guards against a pulse that goes on because the driver and the store are gone.
BOOST_AUTO_TEST_CASE(pulseEndsWithoutAMessage)
{
    RolloutDriver driver { RolloutLimits {} };
    const auto start = ScriptedFleet::at({});
    driver.setOrder(Order { "v2", duration, 5 }, start);
    driver.setStep(Step { 0.5, Phase::Pulse, seconds(10), "v2", 5, {}, 6 }, start);
    BOOST_CHECK_EQUAL(driver.division(start)->share, 0.5);
    BOOST_CHECK_EQUAL(driver.division(start + seconds(4))->share, 0.05);
}

// Guards against a VM that is cut off when the roll-out is completed and goes on to use only replicas that
// stop then.
BOOST_AUTO_TEST_CASE(divisionIsOverdueWithoutAResultAfterTheDeadline)
{
    const RolloutLimits limits;
    RolloutDriver driver { limits };
    const auto start = ScriptedFleet::at({});
    driver.setOrder(Order { "v2", duration, 5 }, start);
    driver.setStep(Step { 0.05, Phase::Canary, seconds(10), "v2", 5, {}, 6 }, start + seconds(10));
    BOOST_CHECK(!driver.division(start + duration)->isOverdue);
    const auto late = start + duration + limits.propagation + seconds(1);
    BOOST_CHECK(driver.division(late)->isOverdue);
    driver.setStatus(Status { State::RolledBack, "v2", 7 }, late);
    BOOST_CHECK(!driver.division(late)->isOverdue);
}

// Guards against schedules whose exposure exceeds the bound, for short and long orders and few replicas.
BOOST_AUTO_TEST_CASE(scheduleKeepsExposureSmallUntilTheFinalSteps)
{
    for (const int length : { 1, 10, 30, 60, 120, 600, 7200 }) {
        for (const double evenShare : { 0.02, 0.25, 0.5, 0.9 }) {
            const Schedule schedule(seconds(length), seconds(5), 0.1);
            double exposure = 0;
            constexpr int parts = 10000;
            for (int i = 0; i < parts; ++i) {
                const auto scheduled = schedule.at(schedule.duration() / parts * i, evenShare);
                exposure += scheduled.phase == Phase::Canary || scheduled.phase == Phase::Pulse
                    ? scheduled.share / parts
                    : 0;
            }
            BOOST_CHECK_LE(exposure, 0.08);
            BOOST_CHECK(schedule.completeAt() - schedule.fullAt() == seconds(5));
            if (length >= 30)
                BOOST_CHECK(schedule.completeAt() < schedule.duration());
        }
    }
}

} // namespace banyancroft::rollout
