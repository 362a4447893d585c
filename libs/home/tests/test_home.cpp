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

BOOST_AUTO_TEST_SUITE_END()
