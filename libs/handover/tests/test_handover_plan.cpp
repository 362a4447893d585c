#include "handover/dispatcher_choice.h"
#include "handover/handover_plan.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <random>

using namespace banyancroft;
using namespace banyancroft::handover;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };

HandoverRules rules(bool idempotent) { return { idempotent, 20ms, 2, 300ms, start + 1200ms }; }

} // namespace

BOOST_AUTO_TEST_CASE(acceptedRequestBeginsAndWaitsForItsAnswer)
{
    HandoverPlan plan(rules(true));
    BOOST_TEST((plan.next(start).kind == HandoverStepKind::Offer));
    plan.offered(start);
    const auto wait = plan.next(start);
    BOOST_TEST((wait.kind == HandoverStepKind::Wait));
    BOOST_TEST((wait.until == start + 20ms));
    BOOST_TEST(plan.accepted(start + 1ms));
    BOOST_TEST(plan.hasBegun());
    plan.heard(start + 100ms);
    BOOST_TEST((plan.next(start + 350ms).kind == HandoverStepKind::Wait));
}

// A third of the dispatchers freezes: each ingress VM loses one time-out, and no request has run twice.
BOOST_AUTO_TEST_CASE(frozenDispatcherCostsOneTimeout)
{
    HandoverPlan plan(rules(false));
    plan.offered(start);
    BOOST_TEST((plan.next(start + 20ms).kind == HandoverStepKind::Withdraw));
    // The acceptance of a dispatcher that wakes up must not start the request.
    BOOST_TEST(!plan.accepted(start + 21ms));
    BOOST_TEST((plan.next(start + 21ms).kind == HandoverStepKind::Offer));
    plan.offered(start + 21ms);
    BOOST_TEST((plan.next(start + 41ms).kind == HandoverStepKind::Withdraw));
    BOOST_TEST((plan.next(start + 41ms).kind == HandoverStepKind::SendDirectly));
}

// The ingress VM itself was suspended: the acceptance has been waiting in its socket for seconds.
BOOST_AUTO_TEST_CASE(acceptanceReadAfterSuspensionDoesNotBeginRequest)
{
    HandoverPlan plan(rules(true));
    plan.offered(start);
    BOOST_TEST(!plan.accepted(start + 3s));
    BOOST_TEST(!plan.hasBegun());
}

BOOST_AUTO_TEST_CASE(declinedOrLostOffersMoveOn)
{
    HandoverPlan plan(rules(false));
    plan.offered(start);
    plan.declined();
    BOOST_TEST((plan.next(start).kind == HandoverStepKind::Offer));
    plan.offered(start);
    plan.connectionLost();
    BOOST_TEST((plan.next(start).kind == HandoverStepKind::SendDirectly));

    HandoverPlan none(rules(false));
    none.noDispatcher();
    BOOST_TEST((none.next(start).kind == HandoverStepKind::SendDirectly));
}

// A dispatcher that wakes up after the acceptance lapsed states that it did not run the request.
BOOST_AUTO_TEST_CASE(requestDeclinedAfterBeginHasNotRun)
{
    HandoverPlan plan(rules(false));
    plan.offered(start);
    BOOST_TEST(plan.accepted(start + 1ms));
    plan.declined();
    BOOST_TEST((plan.next(start + 300ms).kind == HandoverStepKind::Offer));
}

// Once it has begun, the request may have run: nobody else may send it.
BOOST_AUTO_TEST_CASE(requestThatBeganIsNeverSentAgain)
{
    for (const bool idempotent : { true, false }) {
        HandoverPlan plan(rules(idempotent));
        plan.offered(start);
        BOOST_TEST(plan.accepted(start + 1ms));
        plan.connectionLost();
        BOOST_TEST((plan.next(start + 2ms).kind == HandoverStepKind::Fail));
    }
}

BOOST_AUTO_TEST_CASE(silentDispatcherEndsOnlyIdempotentRequestsEarly)
{
    for (const bool idempotent : { true, false }) {
        HandoverPlan plan(rules(idempotent));
        plan.offered(start);
        BOOST_TEST(plan.accepted(start));
        const auto step = plan.next(start + 300ms);
        BOOST_TEST(((step.kind == HandoverStepKind::Fail) == idempotent));
        BOOST_TEST((plan.next(start + 1200ms).kind == HandoverStepKind::Fail));
    }
}

BOOST_AUTO_TEST_CASE(dispatchersAreChosenByProcessorsAndLoad)
{
    std::mt19937_64 generator(1);
    std::uniform_real_distribution<double> uniform(0, 1);
    const auto random = [&] { return uniform(generator); };
    std::array<DispatcherLoad, 4> dispatchers { DispatcherLoad { true, 0.5, 0, 0 }, { true, 0.5, 6, 0 },
        { true, 0.125, 0, 0 }, { false, 4, 0, 0 } };
    std::array<int, 4> chosen {};
    for (int i = 0; i < 10000; ++i)
        ++chosen.at(chooseDispatcher(dispatchers, random).value());
    BOOST_TEST(chosen[3] == 0);
    BOOST_TEST(chosen[0] > chosen[1]);
    BOOST_TEST(chosen[0] > 4 * chosen[2]);
    for (auto& dispatcher : dispatchers)
        dispatcher.usable = false;
    BOOST_TEST(!chooseDispatcher(dispatchers, random));
    BOOST_TEST(!chooseDispatcher({}, random));
}
