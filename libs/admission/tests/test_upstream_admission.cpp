#include "admission/share.h"
#include "admission/upstream_admission.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::admission;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1h };

struct Fixture {
    Fixture() { admission.setAuthority({ Share::Full, start + 1h }, now, refused); }

    UpstreamAnswer answer(std::string_view boot = "a") const { return { boot, true, false, false, latency }; }

    /** Completes answers until the limit has reached the slots. */
    void warmUp()
    {
        for (int count = 0; count < 8 && admission.cold(); ++count)
            admission.observeAnswer(answer(), now, refused);
        BOOST_REQUIRE(!admission.cold());
    }

    std::optional<RequestHandle> send(ConnectionTrust trust = ConnectionTrust::Verified)
    {
        return admission.start(trust, now, refused);
    }
    std::optional<Reason> offer(RequestHandle request, Duration remaining = 1s)
    {
        return admission.offer(request, now + remaining, now, refused);
    }

    /** Three slots, one of them while cold; two answers per step. */
    UpstreamAdmission admission { { 3, 1, 2 }, 8 };
    TimePoint now = start;
    Duration latency = 10ms;
    std::vector<Refusal> refused;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamAdmissionTests, Fixture)

// Serving in order of arrival would let work with little time left miss its deadline behind patient work.
BOOST_AUTO_TEST_CASE(EarliestDeadlineIsServedFirst)
{
    warmUp();
    for (const auto& [request, remaining] :
        { std::pair<RequestHandle, Duration> { 1, 900ms }, { 2, 300ms }, { 3, 600ms } })
        BOOST_REQUIRE(!offer(request, remaining));
    BOOST_TEST(send().value() == 2U);
    BOOST_TEST(send().value() == 3U);
    BOOST_TEST(send().value() == 1U);
}

// Work that waits in vain takes the time in which the entry could have asked another replica.
BOOST_AUTO_TEST_CASE(WorkThatCannotFinishIsRefusedAtOnce)
{
    warmUp();
    for (RequestHandle request = 1; request <= 3; ++request) {
        BOOST_REQUIRE(!offer(request));
        BOOST_REQUIRE(send());
    }
    // All slots are taken: a wait of a third of the service time of 10 ms, then 10 ms.
    BOOST_TEST((offer(4, 13ms) == Reason::DeadlineTooShort));
    BOOST_TEST(!offer(5, 14ms));
    // Work that goes before it makes queued work hopeless; that is given back at once too.
    BOOST_TEST(!offer(6, 13800us));
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST(refused[0].request == 5U);
    BOOST_TEST((refused[0].reason == Reason::DeadlineTooShort));
    // What no slot became free for is given back when it cannot finish any more, not at its deadline.
    now += 4ms;
    admission.expire(now, refused);
    BOOST_TEST(refused.size() == 2U);
}

// An average learned during a slow spell must not shut an idle upstream out for good.
BOOST_AUTO_TEST_CASE(AnIdleUpstreamTakesWorkWhateverTheAverage)
{
    latency = 10s;
    warmUp();
    BOOST_TEST(!offer(1, 100ms));
    BOOST_TEST(send().has_value());
}

// A burst at a warm upstream that turns cold must go to other replicas, not into its queue.
BOOST_AUTO_TEST_CASE(EvidenceOfAColdStartGivesSurplusBack)
{
    warmUp();
    for (RequestHandle request = 1; request <= 5; ++request)
        BOOST_REQUIRE(!offer(request));
    admission.observeColdEvidence(ColdEvidence::ConnectionReset, now, refused);
    BOOST_TEST(refused.size() == 3U);
    for (const Refusal& refusal : refused)
        BOOST_TEST((refusal.reason == Reason::ColdLimit));
    BOOST_TEST(send().has_value());
    BOOST_TEST(!send().has_value());
    // One runs and one waits for the single slot; no more may wait.
    BOOST_TEST(admission.queued() == 1U);
    BOOST_TEST((offer(9) == Reason::ColdLimit));
}

// Each kind of evidence that section 5 lists has to cap the limit; one that is missed overloads the upstream.
BOOST_AUTO_TEST_CASE(AllEvidenceCapsTheLimit)
{
    using Event = std::function<void(std::vector<Refusal>&)>;
    const std::vector<std::pair<std::string, Event>> events {
        { "reset",
            [&](auto& out) { admission.observeColdEvidence(ColdEvidence::ConnectionReset, now, out); } },
        { "refused",
            [&](auto& out) { admission.observeColdEvidence(ColdEvidence::ConnectionRefused, now, out); } },
        { "returned",
            [&](auto& out) {
                admission.setStopReason(Reason::ZoneOut, now, out);
                admission.setStopReason(Reason::None, now, out);
            } },
        { "authority regained",
            [&](auto& out) {
                admission.setAuthority({}, now, out);
                admission.setAuthority({ Share::Full, start + 1h }, now, out);
            } },
        { "answer says cold",
            [&](auto& out) {
                admission.observeAnswer({ "a", true, false, true, 1ms }, now, out);
            } },
        { "changed boot",
            [&](auto& out) {
                admission.observeAnswer({ "b", true, false, false, 1ms }, now, out);
            } },
        { "health says cold",
            [&](auto& out) {
                admission.observeHealthReport({ "b", true }, now, out);
            } },
        { "health shows another boot", [&](auto& out) { admission.observeHealthReport({ "c" }, now, out); } },
        { "shedding with high latency",
            [&](auto& out) {
                for (int count = 0; count < 8; ++count)
                    admission.observeAnswer({ "b", true, false, false, 100ms }, now, out);
                admission.observeAnswer({ "b", false, true, false, 100ms }, now, out);
            } },
    };
    std::string boot = "a";
    for (const auto& [name, event] : events) {
        for (int count = 0; count < 8; ++count)
            admission.observeAnswer(answer(boot), now, refused);
        BOOST_REQUIRE(!admission.cold());
        BOOST_REQUIRE(admission.limit(now) == 3U);
        event(refused);
        BOOST_TEST(admission.cold(), name);
        BOOST_TEST(admission.limit(now) == 1U, name);
        if (name == "changed boot")
            boot = "b";
    }
}

// Shedding alone also happens at a warm upstream that others load; it must not cost two thirds of the slots.
BOOST_AUTO_TEST_CASE(SheddingAtUsualLatencyIsNoEvidence)
{
    warmUp();
    admission.observeAnswer(answer(), now, refused);
    admission.observeAnswer({ "a", false, true, false, 1ms }, now, refused);
    BOOST_TEST(admission.limit(now) == 3U);
}

// A report that lags or lies must not let more requests through than completed answers allow.
BOOST_AUTO_TEST_CASE(ReportsNeverRaiseTheLimit)
{
    admission.observeHealthReport({ "a", false, false, 0, 100 }, now, refused);
    BOOST_TEST(admission.limit(now) == 1U);
    warmUp();
    admission.observeHealthReport({ "a", false, false, 0, 2 }, now, refused);
    BOOST_TEST(admission.limit(now) == 2U);
    admission.observeHealthReport({ "a", false, false, 0, 100 }, now, refused);
    BOOST_TEST(admission.limit(now) == 2U);
    // A late reply or report of the process before the last restart is not taken for another restart.
    admission.observeAnswer({ "b", true, false, false, latency }, now, refused);
    for (int count = 0; count < 8; ++count)
        admission.observeAnswer(answer("b"), now, refused);
    admission.observeHealthReport({ "a", true }, now, refused);
    admission.observeAnswer(answer("a"), now, refused);
    BOOST_TEST(!admission.cold());
    BOOST_TEST(admission.guard().isCurrentBoot("b"));
}

// New connections may lead to a process that has just started, while old ones look warm.
BOOST_AUTO_TEST_CASE(UnverifiedConnectionsTogetherStayWithinTheColdLimit)
{
    warmUp();
    for (RequestHandle request = 1; request <= 3; ++request)
        BOOST_REQUIRE(!offer(request));
    BOOST_TEST(send(ConnectionTrust::Unverified).has_value());
    BOOST_TEST(!send(ConnectionTrust::Unverified).has_value());
    BOOST_TEST(send(ConnectionTrust::Verified).has_value());
    admission.finish(ConnectionTrust::Unverified);
    BOOST_TEST(send(ConnectionTrust::Unverified).has_value());
}

// Sending on an authority that has lapsed lets two homes load the upstream.
BOOST_AUTO_TEST_CASE(NothingIsSentAfterTheAuthorityEnds)
{
    warmUp();
    admission.setAuthority({ Share::Full, now + 10ms }, now, refused);
    BOOST_REQUIRE(!offer(1));
    now += 10ms;
    BOOST_TEST(!send().has_value());
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].reason == Reason::NoAuthority));
    BOOST_TEST((offer(2) == Reason::NoAuthority));
    // A renewal of the same share goes on at the same limit: the connections were watched meanwhile.
    admission.setAuthority({ Share::Full, now + 1h }, now, refused);
    BOOST_TEST(admission.limit(now) == 3U);
}

// Queued work must not go to a zone that was taken out or to an upstream that leaves.
BOOST_AUTO_TEST_CASE(StoppingGivesQueuedWorkBackWithItsReason)
{
    for (const Reason reason : { Reason::ZoneOut, Reason::UpstreamDraining }) {
        BOOST_REQUIRE(!offer(1));
        refused.clear();
        admission.setStopReason(reason, now, refused);
        BOOST_REQUIRE(refused.size() == 1U);
        BOOST_TEST((refused[0].reason == reason));
        BOOST_TEST((offer(2) == reason));
        admission.setStopReason(Reason::None, now, refused);
    }
    BOOST_REQUIRE(!offer(3));
    refused.clear();
    admission.observeHealthReport({ "a", false, true }, now, refused);
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].reason == Reason::UpstreamDraining));
}

// What a previous home still has running takes slots until it must have ended.
BOOST_AUTO_TEST_CASE(InheritedWorkCountsUntilItsTimeIsOver)
{
    warmUp();
    admission.setAuthority({ Share::Full, start + 1h, 2, start + 1s }, now, refused);
    BOOST_TEST(admission.limit(now) == 1U);
    now += 1s;
    BOOST_TEST(admission.limit(now) == 3U);
}

// An uncertain home and one that took over must together stay within what the upstream bears.
BOOST_AUTO_TEST_CASE(SharesOfTwoHomesNeverExceedTheSlots)
{
    for (unsigned slots = 1; slots <= 8; ++slots) {
        for (unsigned theirs = 1; theirs <= slots; ++theirs) {
            for (unsigned ours = 1; ours <= slots; ++ours) {
                const unsigned half = limitForShare(Share::UncertainHalf, theirs, slots, false);
                BOOST_TEST(half + limitForShare(Share::TakeoverRest, ours, slots, true) <= slots);
                BOOST_TEST(half + limitForShare(Share::TakeoverRest, ours, slots, false) <= slots);
            }
            BOOST_TEST(limitForShare(Share::UncertainHalf, theirs, slots, true) == 0U);
        }
    }
    // A connection that may lead to a new process counts as cold, where an uncertain home sends nothing.
    warmUp();
    admission.setAuthority({ Share::UncertainHalf, start + 1h }, now, refused);
    BOOST_REQUIRE(!offer(1));
    BOOST_TEST(!send(ConnectionTrust::Unverified).has_value());
    BOOST_TEST(send(ConnectionTrust::Verified).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
