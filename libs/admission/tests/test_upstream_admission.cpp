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

    /** Observes completed answers until the limit reaches the declared slots. */
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

    /** 3 slots, cold limit 1, 2 answers per step, queue limit 8. */
    UpstreamAdmission admission { { 3, 1, 2 }, 8 };
    TimePoint now = start;
    Duration latency = 10ms;
    std::vector<Refusal> refused;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamAdmissionTests, Fixture)

// In order of arrival, requests close to their deadline would miss it behind requests with later deadlines.
BOOST_AUTO_TEST_CASE(earliestDeadlineIsServedFirst)
{
    warmUp();
    for (const auto& [request, remaining] :
        { std::pair<RequestHandle, Duration> { 1, 900ms }, { 2, 300ms }, { 3, 600ms } })
        BOOST_REQUIRE(!offer(request, remaining));
    BOOST_TEST(send().value() == 2U);
    BOOST_TEST(send().value() == 3U);
    BOOST_TEST(send().value() == 1U);
}

// A request that waits without a chance to finish uses up the time for a retry at another replica.
BOOST_AUTO_TEST_CASE(requestThatCannotMeetItsDeadlineIsRefusedImmediately)
{
    warmUp();
    for (RequestHandle request = 1; request <= 3; ++request) {
        BOOST_REQUIRE(!offer(request));
        BOOST_REQUIRE(send());
    }
    // All 3 slots are taken: the wait is a third of the service time of 10 ms, followed by 10 ms of service.
    BOOST_TEST((offer(4, 13ms) == Reason::DeadlineTooShort));
    BOOST_TEST(!offer(5, 14ms));
    // A request with an earlier deadline makes queued request 5 miss its own; request 5 is refused
    // immediately.
    BOOST_TEST(!offer(6, 13800us));
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST(refused[0].request == 5U);
    BOOST_TEST((refused[0].reason == Reason::DeadlineTooShort));
    // A request that got no slot is refused as soon as it can no longer finish, not at its deadline.
    now += 4ms;
    admission.expire(now, refused);
    BOOST_TEST(refused.size() == 2U);
}

// A high average service time from a slow period must not exclude an idle upstream permanently.
BOOST_AUTO_TEST_CASE(idleUpstreamAcceptsARequestDespiteAHighAverage)
{
    latency = 10s;
    warmUp();
    BOOST_TEST(!offer(1, 100ms));
    BOOST_TEST(send().has_value());
}

// When a warm upstream turns cold, requests beyond the cold queue limit must go to other replicas.
BOOST_AUTO_TEST_CASE(evidenceOfAColdStartRefusesSurplusRequests)
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
    // One request runs and one waits for the single slot; no others may wait.
    BOOST_TEST(admission.queued() == 1U);
    BOOST_TEST((offer(9) == Reason::ColdLimit));
}

// Each kind of evidence of a cold start has to lower the limit; one that is missed overloads the upstream.
BOOST_AUTO_TEST_CASE(everyKindOfEvidenceLowersTheLimitToTheColdLimit)
{
    using Event = std::function<void(std::vector<Refusal>&)>;
    const std::vector<std::pair<std::string, Event>> events {
        { "reset",
            [&](auto& out) { admission.observeColdEvidence(ColdEvidence::ConnectionReset, now, out); } },
        { "refused",
            [&](auto& out) { admission.observeColdEvidence(ColdEvidence::ConnectionRefused, now, out); } },
        { "stop ended",
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

// A warm upstream under load from other clients also sheds; this must not lower the limit from 3 to 1.
BOOST_AUTO_TEST_CASE(sheddingAtUsualLatencyIsNoEvidenceOfAColdStart)
{
    warmUp();
    admission.observeAnswer(answer(), now, refused);
    admission.observeAnswer({ "a", false, true, false, 1ms }, now, refused);
    BOOST_TEST(admission.limit(now) == 3U);
}

// A late or wrong health report must not admit more requests than completed answers allow.
BOOST_AUTO_TEST_CASE(healthReportsNeverRaiseTheLimit)
{
    admission.observeHealthReport({ "a", false, false, 0, 100 }, now, refused);
    BOOST_TEST(admission.limit(now) == 1U);
    warmUp();
    admission.observeHealthReport({ "a", false, false, 0, 2 }, now, refused);
    BOOST_TEST(admission.limit(now) == 2U);
    admission.observeHealthReport({ "a", false, false, 0, 100 }, now, refused);
    BOOST_TEST(admission.limit(now) == 2U);
    // A late reply or report of the process before the last restart does not count as another restart.
    admission.observeAnswer({ "b", true, false, false, latency }, now, refused);
    for (int count = 0; count < 8; ++count)
        admission.observeAnswer(answer("b"), now, refused);
    admission.observeHealthReport({ "a", true }, now, refused);
    admission.observeAnswer(answer("a"), now, refused);
    BOOST_TEST(!admission.cold());
    BOOST_TEST(admission.guard().isCurrentBoot("b"));
}

// New connections may lead to a process that has just started, even while the limit is that of a warm one.
BOOST_AUTO_TEST_CASE(unverifiedConnectionsTogetherStayWithinTheColdLimit)
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

// Sending on an expired authority would let two homes send to the upstream at the same time.
BOOST_AUTO_TEST_CASE(nothingIsSentAfterTheAuthorityExpires)
{
    warmUp();
    admission.setAuthority({ Share::Full, now + 10ms }, now, refused);
    BOOST_REQUIRE(!offer(1));
    now += 10ms;
    BOOST_TEST(!send().has_value());
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].reason == Reason::NoAuthority));
    BOOST_TEST((offer(2) == Reason::NoAuthority));
    // A renewal of the same share keeps the limit: connections were monitored in the meantime.
    admission.setAuthority({ Share::Full, now + 1h }, now, refused);
    BOOST_TEST(admission.limit(now) == 3U);
}

// Queued requests must not be sent to a zone taken out of service or to a draining upstream.
BOOST_AUTO_TEST_CASE(stoppingRefusesQueuedRequestsWithItsReason)
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

// Requests that the previous home still has in flight occupy slots until their time limit has passed.
BOOST_AUTO_TEST_CASE(inheritedRequestsCountAgainstTheLimitUntilTheyExpire)
{
    warmUp();
    admission.setAuthority({ Share::Full, start + 1h, 2, start + 1s }, now, refused);
    BOOST_TEST(admission.limit(now) == 1U);
    now += 1s;
    BOOST_TEST(admission.limit(now) == 3U);
}

// A home without a lease and the one that took over must together stay within the slots of the upstream.
BOOST_AUTO_TEST_CASE(limitsOfTwoHomesNeverExceedTheSlots)
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
    // An unverified connection counts as cold, and with UncertainHalf nothing is sent to a cold upstream.
    warmUp();
    admission.setAuthority({ Share::UncertainHalf, start + 1h }, now, refused);
    BOOST_REQUIRE(!offer(1));
    BOOST_TEST(!send(ConnectionTrust::Unverified).has_value());
    BOOST_TEST(send(ConnectionTrust::Verified).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
