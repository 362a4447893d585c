#include "fake_upstream.h"
#include "home/home.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace banyancroft;
using namespace banyancroft::home;
using namespace std::chrono_literals;
using test::FakeUpstream;

namespace {

/** A home with one upstream. Waits end on a condition; the time limit only ends a failing test. */
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
                ++answers[item.sequence.value];
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

    bool answered(std::uint64_t number)
    {
        return runUntil([&] { return replies.contains(number); });
    }

    /** Answers searches one after the other until the home takes the upstream for warm. */
    void warmUp()
    {
        for (int round = 0; round < 20 && home.status().at(0).limit < target.slots; ++round)
            BOOST_REQUIRE(answered(search()));
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
    std::map<std::uint64_t, int> answers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(HomeTests, Fixture)

// A wrong header or field would make upstreams answer at another version or run past the deadline.
BOOST_AUTO_TEST_CASE(SearchFollowsTheProtocol)
{
    apply();
    const auto number = search();
    BOOST_REQUIRE(answered(number));
    BOOST_TEST((replies[number].outcome == Outcome::Done));
    BOOST_TEST(replies[number].rows == "{\"a\":1}\n");
    BOOST_TEST(replies[number].index.value == 7U);
    BOOST_TEST(replies[number].servedIndexes.size() == 2U);
    const auto& request = upstream.received["/search"].at(0);
    BOOST_TEST(request["X-Index-Version"] == "7");
    BOOST_TEST(std::stoi(std::string(request["X-Deadline-Ms"])) <= 5000);
    BOOST_TEST(request.body() == R"({"collection":"manifests","shards":["s1"],"where":"","limit":0})");
}

// Text of a caller that ends a header early could add headers of its own to the request.
BOOST_AUTO_TEST_CASE(SubmitIsSentOnceWithACleanKey)
{
    apply();
    const auto number = submit();
    BOOST_REQUIRE(answered(number));
    BOOST_TEST((replies[number].outcome == Outcome::Done));
    BOOST_TEST(replies[number].rows == R"({"credit":5})");
    const auto& request = upstream.received["/submit"].at(0);
    BOOST_TEST(request["Idempotency-Key"] == "c-17%0d%0aX-Evil:%201");
    BOOST_TEST((request.find("X-Evil") == request.end()));
}

// A refusal that is not definite must not be passed on as NotRun, nor a definite one as Unknown.
BOOST_AUTO_TEST_CASE(OnlyXNotRunMakesARefusalDefinite)
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
            BOOST_REQUIRE(answered(number));
            BOOST_TEST((replies[number].outcome == outcome), line);
            BOOST_TEST((replies[number].reason == reason), line);
        }
    }
}

// Garbage must neither crash the home nor reach a caller as rows, and its connection must not be used again.
BOOST_AUTO_TEST_CASE(MalformedAnswersAreTyped)
{
    apply();
    std::string wrongCold = upstream.ok("{}");
    wrongCold.replace(wrongCold.find("X-Cold: 0"), 9, "X-Cold: 7");
    for (const std::string& bytes : { std::string("garbage\r\n\r\n"), upstream.ok("{\"a\":1}\n{\"a\":"),
             wrongCold, std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"),
             std::string("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n") }) {
        upstream.onSearch = [bytes](const auto&) { return FakeUpstream::Answer { bytes }; };
        const auto number = search();
        BOOST_REQUIRE(answered(number));
        BOOST_TEST((replies[number].outcome == Outcome::Unknown));
        BOOST_TEST((replies[number].reason == Reason::UpstreamMalformed), bytes);
    }
    BOOST_TEST(home.counters().malformedReplies == 5U);
    upstream.onSubmit = [this](const auto&) { return FakeUpstream::Answer { upstream.ok("[]") }; };
    const auto number = submit();
    BOOST_REQUIRE(answered(number));
    BOOST_TEST((replies[number].outcome == Outcome::Unknown));
}

// More connections or more requests than declared overload the upstream.
BOOST_AUTO_TEST_CASE(LimitsHoldUnderABurst)
{
    apply();
    upstream.onSearch = [this](const auto&) { return FakeUpstream::Answer { upstream.ok("{}"), 2ms }; };
    warmUp();
    std::vector<std::uint64_t> numbers(60);
    for (auto& number : numbers)
        number = search();
    for (const auto number : numbers) {
        BOOST_REQUIRE(answered(number));
        BOOST_TEST((replies[number].outcome == Outcome::Done));
        BOOST_TEST(answers[number] == 1);
    }
    BOOST_TEST(upstream.mostRunning == 3U);
    BOOST_TEST(upstream.mostConnections <= 6U);
}

// One connection is kept for cancellation; without it a full upstream could not be told to stop.
BOOST_AUTO_TEST_CASE(DeclaredConnectionsHold)
{
    target.connections = 2;
    apply();
    std::vector<std::uint64_t> numbers(2);
    for (auto& number : numbers)
        number = search();
    for (const auto number : numbers)
        BOOST_REQUIRE(answered(number));
    BOOST_REQUIRE(runUntil([&] { return !upstream.received["/health"].empty(); }));
    BOOST_TEST(upstream.mostConnections == 2U);
}

// Connections that were not used yet may lead to a new process while those in use still look warm.
BOOST_AUTO_TEST_CASE(NewConnectionsStayWithinTheColdLimit)
{
    apply();
    // One search at a time uses the same connection, so that two connections remain without a reply.
    warmUp();
    upstream.onSearch = [this](const auto&) { return FakeUpstream::Answer { upstream.ok("{}"), 20ms }; };
    std::vector<std::uint64_t> numbers(3);
    for (auto& number : numbers)
        number = search();
    BOOST_REQUIRE(answered(numbers[0]));
    BOOST_TEST(upstream.mostRunning == 2U);
    for (const auto number : numbers)
        BOOST_REQUIRE(answered(number));
    for (auto& number : numbers)
        number = search();
    for (const auto number : numbers)
        BOOST_REQUIRE(answered(number));
    BOOST_TEST(upstream.mostRunning == 3U);
}

// A restarted process must not receive the load of the one before it.
BOOST_AUTO_TEST_CASE(ARestartIsSeenBeforeTheNewProcessIsLoaded)
{
    apply();
    upstream.onSearch = [this](const auto&) { return FakeUpstream::Answer { upstream.ok("{}"), 2ms }; };
    warmUp();
    upstream.restart("boot-2");
    upstream.mostRunning = 0;
    std::vector<std::uint64_t> numbers(6);
    for (auto& number : numbers)
        number = search();
    // The first answer of the new process is not enough to raise the limit.
    BOOST_REQUIRE(runUntil([&] { return home.status().at(0).cold; }));
    numbers.push_back(search());
    for (const auto number : numbers)
        BOOST_REQUIRE(answered(number));
    BOOST_REQUIRE(answered(search()));
    BOOST_TEST(upstream.mostRunning == 1U);
    for (const auto number : numbers)
        BOOST_TEST(answers[number] == 1);
}

// An idle connection that the peer closes is the first sign of a restart; unseen, the next request meets it.
BOOST_AUTO_TEST_CASE(AnIdleConnectionIsWatched)
{
    apply();
    warmUp();
    // The same boot id, so that only the resets can tell.
    upstream.restart("boot-1");
    BOOST_TEST(runUntil([&] { return home.status().at(0).cold; }));
    upstream.stop();
    BOOST_REQUIRE(runUntil([&] { return home.status().at(0).connections == 0; }));
    const auto number = search();
    BOOST_REQUIRE(answered(number));
    BOOST_TEST((replies[number].outcome == Outcome::NotRun));
    BOOST_TEST((replies[number].reason == Reason::UpstreamUnreachable));
}

// A late answer on a reused connection would go to the wrong request; a stalled one must not free its slot.
BOOST_AUTO_TEST_CASE(AStalledRequestIsAnsweredAtItsDeadlineAndCancelled)
{
    apply();
    upstream.onSearch = [](const auto&) { return FakeUpstream::Answer { {}, -1ms }; };
    const auto number = search(50ms);
    BOOST_REQUIRE(answered(number));
    BOOST_TEST((replies[number].outcome == Outcome::Unknown));
    BOOST_TEST((replies[number].reason == Reason::DeadlineExceeded));
    BOOST_TEST(home.inFlight() == 1U);
    BOOST_TEST(runUntil([&] { return home.inFlight() == 0; }));
    BOOST_REQUIRE(upstream.received["/cancel"].size() == 1U);
    BOOST_TEST(
        upstream.received["/cancel"][0]["X-Request-Id"] == upstream.received["/search"][0]["X-Request-Id"]);
    BOOST_TEST(answers[number] == 1);
}

// A submit that is sent twice after a break runs twice.
BOOST_AUTO_TEST_CASE(ASubmitIsWrittenAtMostOnce)
{
    apply();
    upstream.onSubmit = [](const auto&) { return FakeUpstream::Answer { {}, 0ms, true }; };
    const auto number = submit();
    BOOST_REQUIRE(answered(number));
    BOOST_TEST((replies[number].outcome == Outcome::Unknown));
    BOOST_TEST((replies[number].reason == Reason::UpstreamUnreachable));
    BOOST_REQUIRE(answered(search()));
    BOOST_TEST(upstream.received["/submit"].size() == 1U);
}

// Cancelling has to stop the loser of a hedge at the upstream, and must not touch a submit that was sent.
BOOST_AUTO_TEST_CASE(CancelStopsQueuedAndRunningSearches)
{
    apply();
    upstream.onSearch = [](const auto&) { return FakeUpstream::Answer { {}, -1ms }; };
    const auto running = search();
    BOOST_REQUIRE(runUntil([&] { return upstream.running == 1; }));
    const auto queued = search();
    for (const auto number : { running, queued })
        home.cancel({ { number }, { { number } } }, 1, BootClock::now());
    BOOST_REQUIRE(answered(running));
    BOOST_TEST((replies[running].reason == Reason::Cancelled));
    BOOST_TEST(runUntil([&] { return upstream.running == 0; }));
    upstream.onSubmit = [this](const auto&) {
        return FakeUpstream::Answer { upstream.ok(R"({"result":1})"), 20ms };
    };
    const auto number = submit();
    BOOST_REQUIRE(runUntil([&] { return upstream.running == 1; }));
    home.cancel({ { number }, { { number } } }, 1, BootClock::now());
    BOOST_REQUIRE(answered(number));
    BOOST_TEST((replies[number].outcome == Outcome::Done));
    BOOST_TEST(!replies.contains(queued));
}

// Work in flight must end normally when a zone leaves, while queued work goes elsewhere at once.
BOOST_AUTO_TEST_CASE(TakingAZoneOutGivesQueuedWorkBack)
{
    apply();
    upstream.onSearch = [this](const auto&) { return FakeUpstream::Answer { upstream.ok("{}"), 20ms }; };
    const auto running = search();
    BOOST_REQUIRE(runUntil([&] { return upstream.running == 1; }));
    const auto queued = search();
    target.zoneServing = false;
    apply();
    BOOST_REQUIRE(answered(queued));
    BOOST_TEST((replies[queued].reason == Reason::ZoneOut));
    BOOST_TEST((replies[queued].outcome == Outcome::NotRun));
    BOOST_REQUIRE(answered(running));
    BOOST_TEST((replies[running].outcome == Outcome::Done));
    BOOST_TEST(home.status().at(0).connections == 0U);
}

// A home that is removed or loses its authority must not send what it had queued.
BOOST_AUTO_TEST_CASE(LostAuthorityAndRemovalGiveWorkBack)
{
    apply();
    home.setAuthority(target.upstream.id, {});
    const auto refused = search();
    BOOST_REQUIRE(answered(refused));
    BOOST_TEST((replies[refused].reason == Reason::NoAuthority));
    home.apply(policy, {});
    BOOST_TEST(runUntil([&] { return home.status().empty(); }));
    const auto unknown = search();
    BOOST_REQUIRE(answered(unknown));
    BOOST_TEST((replies[unknown].reason == Reason::WrongHome));
    BOOST_TEST(upstream.received["/search"].empty());
}

// A health report that shows a cold start must cap the limit before any search meets it.
BOOST_AUTO_TEST_CASE(HealthPollsLowerTheLimit)
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
