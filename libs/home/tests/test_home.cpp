#include "fake_upstream.h"
#include "home/home.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace banyancroft;
using namespace banyancroft::home;
using namespace std::chrono_literals;
using test::FakeUpstream;

namespace {

/** A home with one fake upstream. Each wait ends on its condition; the time limit only stops a failing test.
 */
struct Fixture {
    Fixture()
    {
        target.upstream.id = UpstreamId("desk-01-a");
        target.upstream.address = "127.0.0.1";
        target.upstream.port = upstream.port();
        target.slots = 3;
        target.connections = 6;
        target.coldLimit = 1;
        target.authority = { Share::Full, BootClock::now() + 1h, 0, {} };
        policy.warmupAnswersPerStep = 2;
        upstream.onSearch
            = [this](const auto&) { return FakeUpstream::Answer { upstream.ok("{\"a\":1}\n") }; };
        upstream.onSubmit = [this](const auto&) {
            return FakeUpstream::Answer { upstream.ok("{\"result\":{\"credit\":5}}") };
        };
    }

    void apply() { home.apply(policy, std::span(&target, 1)); }

    std::uint64_t search(std::chrono::milliseconds deadline = 5s)
    {
        wire::SubrequestBatch batch;
        batch.query = { ++sequence };
        batch.remainingMicros = static_cast<std::uint64_t>(toMicros(deadline));
        batch.collection = "manifests";
        batch.layout = { 1 };
        batch.index = { 7 };
        batch.items.push_back({ { sequence }, target.upstream.id, { ShardId("s1") }, false });
        home.search(std::move(batch), 1, BootClock::now(), collector());
        return sequence;
    }

    std::uint64_t submit(std::chrono::milliseconds deadline = 5s)
    {
        wire::SubmitRequest request;
        request.query = { ++sequence };
        request.sequence = { sequence };
        request.remainingMicros = static_cast<std::uint64_t>(toMicros(deadline));
        request.upstream = target.upstream.id;
        request.operation = "return_credit";
        request.key = IdempotencyKey("c-17\r\nX-Evil: 1");
        request.payload = "{}";
        home.submit(std::move(request), 1, BootClock::now(), collector());
        return sequence;
    }

    Home::ReplyHandler collector()
    {
        return [this](wire::SubreplyBatch batch) {
            for (auto& item : batch.items) {
                ++replyCounts[item.sequence.value];
                replies[item.sequence.value] = std::move(item);
            }
        };
    }

    template <typename Condition> bool runUntil(Condition condition)
    {
        const TimePoint end = BootClock::now() + 10s;
        while (!condition() && BootClock::now() < end)
            ioContext.run_one_for(10ms);
        return condition();
    }

    bool runUntilAnswered(std::uint64_t number)
    {
        return runUntil([&] { return replies.contains(number); });
    }

    /** Runs searches one after the other until the home considers the upstream warm. */
    void warmUp()
    {
        for (int round = 0; round < 20 && home.status().at(0).limit < target.slots; ++round)
            BOOST_REQUIRE(runUntilAnswered(search()));
        BOOST_REQUIRE(home.status().at(0).limit == target.slots);
        BOOST_REQUIRE(!home.status().at(0).cold);
    }

    boost::asio::io_context ioContext;
    FakeUpstream upstream { ioContext };
    Home home { ioContext };
    Target target;
    config::Policy policy;
    std::uint64_t sequence = 0;
    std::map<std::uint64_t, wire::SubreplyItem> replies;
    std::map<std::uint64_t, int> replyCounts;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HomeTests, Fixture)

// A wrong header or field would make an upstream answer at another version or run past the deadline.
BOOST_AUTO_TEST_CASE(searchRequestCarriesVersionsDeadlineAndShards)
{
    apply();
    const auto number = search();
    BOOST_REQUIRE(runUntilAnswered(number));
    BOOST_TEST((replies[number].outcome == Outcome::Done));
    BOOST_TEST(replies[number].rows == "{\"a\":1}\n");
    BOOST_TEST(replies[number].index.value == 7U);
    BOOST_TEST(replies[number].servedIndexes.size() == 2U);
    const auto& request = upstream.received["/search"].at(0);
    BOOST_TEST(request["X-Index-Version"] == "7");
    BOOST_TEST(std::stoi(std::string(request["X-Deadline-Ms"])) <= 5000);
    BOOST_TEST(request.body() == R"({"collection":"manifests","shards":["s1"],"where":"","limit":0})");
}

// An unescaped line break in a caller's key would inject headers into the request to the upstream.
BOOST_AUTO_TEST_CASE(submitPercentEncodesTheIdempotencyKey)
{
    apply();
    const auto number = submit();
    BOOST_REQUIRE(runUntilAnswered(number));
    BOOST_TEST((replies[number].outcome == Outcome::Done));
    BOOST_TEST(replies[number].rows == R"({"credit":5})");
    const auto& request = upstream.received["/submit"].at(0);
    BOOST_TEST(request["Idempotency-Key"] == "c-17%0d%0aX-Evil:%201");
    BOOST_TEST((request.find("X-Evil") == request.end()));
}

// NotRun for a request that may have run would let it be run twice; Unknown for one that was certainly not
// run would prevent a safe retry.
BOOST_AUTO_TEST_CASE(errorStatusIsNotRunOnlyWithXNotRunHeader)
{
    apply();
    using Expected = std::tuple<std::string, bool, Outcome, Reason>;
    for (const auto& [line, notRun, outcome, reason] :
        { Expected { "503 Shed", true, Outcome::NotRun, Reason::UpstreamShed },
            Expected { "409 Version", true, Outcome::NotRun, Reason::IndexVersionMismatch },
            Expected { "503 Shed", false, Outcome::Unknown, Reason::UpstreamFailed },
            Expected { "500 Failed", false, Outcome::Unknown, Reason::UpstreamFailed } }) {
        const std::string bytes = upstream.status(line, notRun);
        upstream.onSearch = upstream.onSubmit
            = [bytes](const auto&) { return FakeUpstream::Answer { bytes }; };
        for (const auto number : { search(), submit() }) {
            BOOST_REQUIRE(runUntilAnswered(number));
            BOOST_TEST((replies[number].outcome == outcome), line);
            BOOST_TEST((replies[number].reason == reason), line);
        }
    }
}

// A malformed reply must neither crash the home nor reach a caller as rows, and its connection must not be
// reused.
BOOST_AUTO_TEST_CASE(malformedReplyIsReportedAsUpstreamMalformed)
{
    apply();
    std::string wrongCold = upstream.ok("{}");
    wrongCold.replace(wrongCold.find("X-Cold: 0"), 9, "X-Cold: 7");
    for (const std::string& bytes : { std::string("garbage\r\n\r\n"), upstream.ok("{\"a\":1}\n{\"a\":"),
             wrongCold, std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
             std::string("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n") }) {
        upstream.onSearch = [bytes](const auto&) { return FakeUpstream::Answer { bytes }; };
        const auto number = search();
        BOOST_REQUIRE(runUntilAnswered(number));
        BOOST_TEST((replies[number].outcome == Outcome::Unknown));
        BOOST_TEST((replies[number].reason == Reason::UpstreamMalformed), bytes);
    }
    BOOST_TEST(home.counters().malformedReplies == 5U);
    upstream.onSubmit = [this](const auto&) { return FakeUpstream::Answer { upstream.ok("[]") }; };
    const auto number = submit();
    BOOST_REQUIRE(runUntilAnswered(number));
    BOOST_TEST((replies[number].outcome == Outcome::Unknown));
}

// More connections or concurrent requests than declared would overload the upstream.
BOOST_AUTO_TEST_CASE(burstStaysWithinRequestAndConnectionLimits)
{
    apply();
    upstream.onSearch = [this](const auto&) { return FakeUpstream::Answer { upstream.ok("{}"), 2ms }; };
    warmUp();
    std::vector<std::uint64_t> numbers(60);
    for (auto& number : numbers)
        number = search();
    for (const auto number : numbers) {
        BOOST_REQUIRE(runUntilAnswered(number));
        BOOST_TEST((replies[number].outcome == Outcome::Done));
        BOOST_TEST(replyCounts[number] == 1);
    }
    BOOST_TEST(upstream.maxRunning == 3U);
    BOOST_TEST(upstream.maxConnections <= 6U);
}

// One declared connection is reserved for cancellation; without it, requests at a full upstream could not be
// cancelled.
BOOST_AUTO_TEST_CASE(controlConnectionCountsTowardsDeclaredConnections)
{
    target.connections = 2;
    apply();
    std::vector<std::uint64_t> numbers(2);
    for (auto& number : numbers)
        number = search();
    for (const auto number : numbers)
        BOOST_REQUIRE(runUntilAnswered(number));
    BOOST_REQUIRE(runUntil([&] { return !upstream.received["/health"].empty(); }));
    BOOST_TEST(upstream.maxConnections == 2U);
}

// A connection without a reply may lead to a restarted, cold process while the verified ones still look warm.
BOOST_AUTO_TEST_CASE(unverifiedConnectionsStayWithinTheColdLimit)
{
    apply();
    // Searches one at a time use the same connection, so two connections are still without a reply.
    warmUp();
    upstream.onSearch = [this](const auto&) { return FakeUpstream::Answer { upstream.ok("{}"), 20ms }; };
    std::vector<std::uint64_t> numbers(3);
    for (auto& number : numbers)
        number = search();
    BOOST_REQUIRE(runUntilAnswered(numbers[0]));
    BOOST_TEST(upstream.maxRunning == 2U);
    for (const auto number : numbers)
        BOOST_REQUIRE(runUntilAnswered(number));
    for (auto& number : numbers)
        number = search();
    for (const auto number : numbers)
        BOOST_REQUIRE(runUntilAnswered(number));
    BOOST_TEST(upstream.maxRunning == 3U);
}

// A restarted upstream is cold and would be overloaded by the request rate of its previous process.
BOOST_AUTO_TEST_CASE(restartedUpstreamReceivesOnlyItsColdLimit)
{
    apply();
    upstream.onSearch = [this](const auto&) { return FakeUpstream::Answer { upstream.ok("{}"), 2ms }; };
    warmUp();
    upstream.restart("boot-2");
    upstream.maxRunning = 0;
    std::vector<std::uint64_t> numbers(6);
    for (auto& number : numbers)
        number = search();
    // One reply of the new process is not enough to raise the limit.
    BOOST_REQUIRE(runUntil([&] { return home.status().at(0).cold; }));
    numbers.push_back(search());
    for (const auto number : numbers)
        BOOST_REQUIRE(runUntilAnswered(number));
    BOOST_REQUIRE(runUntilAnswered(search()));
    BOOST_TEST(upstream.maxRunning == 1U);
    for (const auto number : numbers)
        BOOST_TEST(replyCounts[number] == 1);
}

// A reset of an idle connection is the first indication of a restart; if it goes undetected, the next
// requests overload the cold process.
BOOST_AUTO_TEST_CASE(resetOfIdleConnectionsMarksTheUpstreamCold)
{
    apply();
    warmUp();
    // The boot id stays the same, so that only the resets reveal the restart.
    upstream.restart("boot-1");
    BOOST_TEST(runUntil([&] { return home.status().at(0).cold; }));
    upstream.stop();
    BOOST_REQUIRE(runUntil([&] { return home.status().at(0).connections == 0; }));
    const auto number = search();
    BOOST_REQUIRE(runUntilAnswered(number));
    BOOST_TEST((replies[number].outcome == Outcome::NotRun));
    BOOST_TEST((replies[number].reason == Reason::UpstreamUnreachable));
}

// A late reply on a reused connection would go to the wrong request, and the slot of a request that may still
// run must stay occupied until its cancellation is confirmed.
BOOST_AUTO_TEST_CASE(stalledSearchIsAnsweredAtItsDeadlineAndCancelled)
{
    apply();
    upstream.onSearch = [](const auto&) { return FakeUpstream::Answer { {}, -1ms }; };
    const auto number = search(50ms);
    BOOST_REQUIRE(runUntilAnswered(number));
    BOOST_TEST((replies[number].outcome == Outcome::Unknown));
    BOOST_TEST((replies[number].reason == Reason::DeadlineExceeded));
    BOOST_TEST(home.inFlight() == 1U);
    BOOST_TEST(runUntil([&] { return home.inFlight() == 0; }));
    BOOST_REQUIRE(upstream.received["/cancel"].size() == 1U);
    BOOST_TEST(
        upstream.received["/cancel"][0]["X-Request-Id"] == upstream.received["/search"][0]["X-Request-Id"]);
    BOOST_TEST(replyCounts[number] == 1);
}

// A submit that is resent after a connection reset could run twice.
BOOST_AUTO_TEST_CASE(submitIsNotResentAfterConnectionReset)
{
    apply();
    upstream.onSubmit = [](const auto&) { return FakeUpstream::Answer { {}, 0ms, true }; };
    const auto number = submit();
    BOOST_REQUIRE(runUntilAnswered(number));
    BOOST_TEST((replies[number].outcome == Outcome::Unknown));
    BOOST_TEST((replies[number].reason == Reason::UpstreamUnreachable));
    BOOST_REQUIRE(runUntilAnswered(search()));
    BOOST_TEST(upstream.received["/submit"].size() == 1U);
}

// The losing search of a hedged pair must be stopped at the upstream; the outcome of a sent submit must still
// be known.
BOOST_AUTO_TEST_CASE(cancelStopsSearchesButNotASentSubmit)
{
    apply();
    upstream.onSearch = [](const auto&) { return FakeUpstream::Answer { {}, -1ms }; };
    const auto running = search();
    BOOST_REQUIRE(runUntil([&] { return upstream.running == 1; }));
    const auto queued = search();
    for (const auto number : { running, queued })
        home.cancel({ { number }, { { number } } }, 1, BootClock::now());
    BOOST_REQUIRE(runUntilAnswered(running));
    BOOST_TEST((replies[running].reason == Reason::Cancelled));
    BOOST_TEST(runUntil([&] { return upstream.running == 0; }));
    upstream.onSubmit = [this](const auto&) {
        return FakeUpstream::Answer { upstream.ok(R"({"result":1})"), 20ms };
    };
    const auto number = submit();
    BOOST_REQUIRE(runUntil([&] { return upstream.running == 1; }));
    home.cancel({ { number }, { { number } } }, 1, BootClock::now());
    BOOST_REQUIRE(runUntilAnswered(number));
    BOOST_TEST((replies[number].outcome == Outcome::Done));
    BOOST_TEST(!replies.contains(queued));
}

// When a zone is taken out of service, requests in flight complete and queued ones are refused at once, so
// that they can be sent elsewhere.
BOOST_AUTO_TEST_CASE(queuedRequestsAreRefusedWhenTheZoneIsTakenOutOfService)
{
    apply();
    upstream.onSearch = [this](const auto&) { return FakeUpstream::Answer { upstream.ok("{}"), 20ms }; };
    const auto running = search();
    BOOST_REQUIRE(runUntil([&] { return upstream.running == 1; }));
    const auto queued = search();
    target.zoneServing = false;
    apply();
    BOOST_REQUIRE(runUntilAnswered(queued));
    BOOST_TEST((replies[queued].reason == Reason::ZoneOut));
    BOOST_TEST((replies[queued].outcome == Outcome::NotRun));
    BOOST_REQUIRE(runUntilAnswered(running));
    BOOST_TEST((replies[running].outcome == Outcome::Done));
    BOOST_TEST(home.status().at(0).connections == 0U);
}

// A home without authority over an upstream, or without the upstream as a target, must not send to it.
BOOST_AUTO_TEST_CASE(requestsWithoutAuthorityOrTargetAreRefused)
{
    apply();
    home.setAuthority(target.upstream.id, {});
    const auto refused = search();
    BOOST_REQUIRE(runUntilAnswered(refused));
    BOOST_TEST((replies[refused].reason == Reason::NoAuthority));
    home.apply(policy, {});
    BOOST_TEST(runUntil([&] { return home.status().empty(); }));
    const auto unknown = search();
    BOOST_REQUIRE(runUntilAnswered(unknown));
    BOOST_TEST((replies[unknown].reason == Reason::WrongHome));
    BOOST_TEST(upstream.received["/search"].empty());
}

// A cold start shown by a health report must lower the limit before any search reaches the cold process.
BOOST_AUTO_TEST_CASE(coldHealthReportLowersTheLimit)
{
    apply();
    warmUp();
    upstream.healthBody = R"({"state":"cold","boot":"boot-1","slots":100})";
    BOOST_TEST(runUntil([&] { return home.status().at(0).cold; }));
    BOOST_TEST(home.status().at(0).limit == 1U);
    upstream.healthBody = R"({"state":"warm","boot":"boot-1","slots":100})";
    const auto polls = upstream.received["/health"].size();
    BOOST_REQUIRE(runUntil([&] { return upstream.received["/health"].size() > polls + 1; }));
    BOOST_TEST(home.status().at(0).limit == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
