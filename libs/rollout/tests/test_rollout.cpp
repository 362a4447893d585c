#include "scripted_fleet.h"

#include <boost/test/unit_test.hpp>

namespace banyancroft::rollout {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration duration = seconds(100);

/** Answers of a good version: one in a hundred fails, one in twenty is slow. */
class UsualAnswers {
public:
    ScriptedAnswer operator()()
    {
        ScriptedAnswer answer;
        answer.failed = uniform_(random_) < 0.01;
        answer.latency
            = milliseconds(uniform_(random_) < 0.05 ? 100 : 8 + static_cast<int>(6 * uniform_(random_)));
        return answer;
    }
    bool oneIn(double share) { return uniform_(random_) < share; }

private:
    std::mt19937_64 random_ { 7 };
    std::uniform_real_distribution<double> uniform_ { 0, 1 };
};

/** Runs an order over nine VMs until after its deadline. @param isBad whether a request gets a bad answer */
struct Run {
    using Fault = std::function<void(ScriptedAnswer&, bool isTarget, const std::string& route,
        const std::string& zone, Duration elapsed, const ScriptedFleet&)>;

    Run(double requestsPerSecond, const Fault& fault)
        : fleet(9, requestsPerSecond,
            [this, fault](
                bool isTarget, const std::string& route, const std::string& zone, Duration elapsed) {
                auto answer = usual();
                if (fault)
                    fault(answer, isTarget, route, zone, elapsed, fleet);
                const bool isBad = isTarget && (answer.failed || answer.latency >= milliseconds(30));
                if (isBad && ++bad == 50)
                    fiftiethBadAt = elapsed;
                return answer;
            })
    {
        fleet.runUntil(seconds(2));
        fleet.order("v2", duration);
        fleet.runUntil(seconds(2) + duration + seconds(5));
    }

    double allowedExposure() const { return 0.1 * static_cast<double>(fleet.requests) + 50; }
    void checkRolledBack() const
    {
        BOOST_CHECK(fleet.state() == State::RolledBack);
        BOOST_CHECK_LE(static_cast<double>(fleet.targetRequests), allowedExposure());
        if (fiftiethBadAt > Duration::zero())
            BOOST_CHECK_LE(toMillis(fleet.finalAt - fiftiethBadAt), 4000);
    }
    void checkCompleted() const
    {
        BOOST_CHECK(fleet.state() == State::Completed);
        BOOST_CHECK_LT(toMillis(fleet.finalAt), toMillis(seconds(2) + duration));
        BOOST_CHECK(fleet.statuses.size() == 2);
    }

    UsualAnswers usual;
    int bad = 0;
    Duration fiftiethBadAt {};
    ScriptedFleet fleet;
};

void fail(ScriptedAnswer& answer) { answer.failed = true; }

} // namespace

// Guards against roll-backs of good versions by chance, and against completion after the deadline.
BOOST_AUTO_TEST_CASE(goodVersionIsCompletedBeforeTheDeadline)
{
    for (const double rate : { 200.0, 20.0, 1.0, 0.05 }) {
        BOOST_TEST_CONTEXT("requests/s " << rate)
        {
            const Run run(rate, nullptr);
            run.checkCompleted();
            BOOST_CHECK_LE(run.fleet.stepWrites, 120U);
        }
    }
}

// Guards against roll-backs because replicas of the new version pause now and then, as all replicas do.
BOOST_AUTO_TEST_CASE(pausesOfSingleReplicasAreNoReason)
{
    for (const unsigned seed : { 1U, 2U, 3U, 4U }) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Run(300,
                [seed](auto& answer, bool isTarget, auto&, const std::string& zone, Duration elapsed, auto&) {
                    constexpr Duration pause = milliseconds(300);
                    std::mt19937 dice(static_cast<unsigned>(elapsed / pause) * 8 + isTarget * 4U
                        + (zone == "a") * 2U + seed * 100000);
                    dice.discard(4);
                    if (dice() % 100 < 4)
                        answer.latency = pause - elapsed % pause + milliseconds(10);
                })
                .checkCompleted();
        }
    }
}

// Guards against roll-backs because one VM has little processor time for a moment: the answers that it reads
// meanwhile are all late, whatever their version.
BOOST_AUTO_TEST_CASE(pauseOfOneVmIsNoReason)
{
    const auto isBadAfter = [](Duration usual, Duration slow, Duration sinceOthers) {
        VersionComparison comparison;
        TimePoint now(seconds(100));
        const auto record = [&](bool isTarget, Duration latency) {
            now += latency;
            comparison.record(
                { "lookup", "a", isTarget ? 1U : 2U, isTarget, false, true, now - latency }, now);
        };
        for (int i = 0; i < 1000; ++i)
            record(i % 4 == 0, usual);
        record(false, usual);
        now += sinceOthers;
        for (const auto end = now + milliseconds(300); now < end;)
            record(true, slow);
        return comparison.isTargetBad();
    };
    using std::chrono::microseconds;
    for (const auto sinceOthers : { milliseconds(1), milliseconds(1200) }) {
        BOOST_TEST_CONTEXT("ms since the latest sample of the other version " << sinceOthers.count())
        {
            BOOST_TEST(!isBadAfter(microseconds(61), microseconds(180), sinceOthers));
            BOOST_TEST(!isBadAfter(milliseconds(3), milliseconds(12), sinceOthers));
        }
    }
}

// Guards against a bad version that goes on to receive requests, at each rate and kind of fault.
BOOST_AUTO_TEST_CASE(versionThatIsBadAtOnceIsRolledBack)
{
    for (const double rate : { 400.0, 100.0, 20.0 }) {
        for (const double badShare : { 0.2, 0.5, 1.0 }) {
            BOOST_TEST_CONTEXT("requests/s " << rate << ", bad " << badShare)
            {
                UsualAnswers dice;
                Run(rate, [&](auto& answer, bool isTarget, auto&&...) {
                    if (isTarget && dice.oneIn(badShare))
                        fail(answer);
                }).checkRolledBack();
                Run(rate, [&](auto& answer, bool isTarget, auto&&...) {
                    if (isTarget && dice.oneIn(std::max(badShare, 0.5)))
                        answer.latency *= 4;
                }).checkRolledBack();
            }
        }
    }
}

// Guards against a long good start that outweighs a later fault, also one in the last seconds.
BOOST_AUTO_TEST_CASE(versionThatTurnsBadLateIsRolledBack)
{
    for (const int from : { 30, 70, 90, 94 }) {
        BOOST_TEST_CONTEXT("bad from second " << from)
        {
            Run(100, [&](auto& answer, bool isTarget, auto&, auto&, Duration elapsed, auto&) {
                if (isTarget && elapsed > seconds(2 + from))
                    fail(answer);
            }).checkRolledBack();
        }
    }
}

// Guards against a fault that the small share hides and that appears at the full share only.
BOOST_AUTO_TEST_CASE(versionThatIsBadUnderLoadIsRolledBackByThePulses)
{
    const Run run(100, [](auto& answer, bool isTarget, auto&, auto&, Duration, const ScriptedFleet& fleet) {
        if (isTarget && fleet.latestStep && fleet.latestStep->share > 0.4)
            answer.latency *= 5;
    });
    run.checkRolledBack();
    BOOST_CHECK_LT(toMillis(run.fleet.finalAt), 60000);
}

// Guards against a fault of one route that the samples of the others dilute.
BOOST_AUTO_TEST_CASE(versionThatIsBadOnOneRouteIsRolledBack)
{
    Run(100, [](auto& answer, bool isTarget, const std::string& route, auto&&...) {
        if (isTarget && route == "lookup")
            answer.latency *= 4;
    }).checkRolledBack();
}

// Guards against roll-backs because of a slow or failing zone that affects both versions, at any time.
BOOST_AUTO_TEST_CASE(faultOfBothVersionsIsNoReason)
{
    for (const int from : { 10, 50, 88, 93 }) {
        BOOST_TEST_CONTEXT("zone is slow from second " << from)
        {
            UsualAnswers dice;
            Run(100, [&](auto& answer, bool, auto&, const std::string& zone, Duration elapsed, auto&) {
                if (zone == "a" && elapsed > seconds(from))
                    answer.latency *= 5;
                if (zone == "a" && elapsed > seconds(from) && dice.oneIn(0.3))
                    fail(answer);
            }).checkCompleted();
        }
    }
}

} // namespace banyancroft::rollout
