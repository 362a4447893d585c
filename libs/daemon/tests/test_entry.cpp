#include "entry.h"

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace banyancroft;
using namespace banyancroft::daemon;

namespace {

RoutingTablePointer twoUpstreams()
{
    config::Document document;
    document.version = { 1 };
    document.layout = { 1 };
    // A hedge would hide that a lost sub-request is not retried.
    document.policy.hedge = false;
    const AvailabilityZone first("z1");
    const AvailabilityZone second("z2");
    document.zones = { { first, RegionId("r"), true }, { second, RegionId("r"), true } };
    config::Service service;
    service.id = ServiceId("ledger");
    service.groups = { { GroupId("g"), { ShardId("s") },
        { { UpstreamId("u-a"), "127.0.0.1", 1, first, false },
            { UpstreamId("u-b"), "127.0.0.1", 2, second, false } } } };
    document.services = { service };
    document.collections = { { "manifests", { service.id } } };
    document.operations = { { "credit", service.id, true } };
    auto table = std::make_shared<RoutingTable>();
    table->document = std::make_shared<config::Document>(document);
    table->homes = { { UpstreamId("u-a"), "127.0.0.1:1" }, { UpstreamId("u-b"), "127.0.0.1:2" } };
    return table;
}

/** An entry whose messages are collected instead of sent, and whose claims are always granted. */
struct EntryFixture {
    struct Sent {
        std::string home;
        wire::Message message;
    };

    EntryFixture() { entry.apply(twoUpstreams()); }

    /** Runs timers and posted work until the condition holds, for four seconds at most. */
    template <typename Condition> void runUntil(const Condition& condition)
    {
        const auto waitDeadline = BootClock::now() + std::chrono::seconds(4);
        while (!condition() && BootClock::now() < waitDeadline) {
            ioContext.restart();
            ioContext.run_one_for(std::chrono::milliseconds(50));
        }
        BOOST_REQUIRE(condition());
    }

    Sent nextSent()
    {
        runUntil([this] { return !sent.empty(); });
        auto first = std::move(sent.front());
        sent.pop_front();
        return first;
    }

    void submit(Duration deadline)
    {
        SubmitCall call { "credit", IdempotencyKey("c-17"), "{}", BootClock::now() + deadline, {} };
        entry.submit(
            std::move(call), [this](SubmitResult submitResult) { result = std::move(submitResult); });
    }

    static wire::SubreplyItem itemFor(wire::SequenceNumber sequence, const UpstreamId& upstream)
    {
        wire::SubreplyItem item;
        item.sequence = sequence;
        item.upstream = upstream;
        item.layout = { 1 };
        item.index = { 1 };
        return item;
    }

    void reply(const wire::SubmitRequest& request, Outcome outcome, Reason reason)
    {
        auto item = itemFor(request.sequence, request.upstream);
        item.outcome = outcome;
        item.reason = reason;
        item.rows = "{}";
        entry.onReply({ request.query, { item } });
    }

    boost::asio::io_context ioContext;
    std::deque<Sent> sent;
    std::optional<SubmitResult> result;
    std::vector<Outcome> recorded;
    telemetry::Counter counter;
    telemetry::LatencyHistogram latency;
    Entry entry { ioContext, AvailabilityZone("z1"), 1, 1000,
        { counter, counter, counter, counter, counter, counter, counter, counter, counter, latency },
        { [] { return BootClock::now(); },
            [this](const std::string& home, wire::Message message) {
                sent.push_back({ home, std::move(message) });
            },
            [this](const ServiceId&, const IdempotencyKey&, const std::string&, TimePoint,
                const std::function<void(ClaimReply)>& callback) {
                ClaimReply reply;
                reply.kind = ClaimReply::Kind::Held;
                reply.finish
                    = [this](Outcome outcome, const std::string&, const std::function<void()>& onRecorded) {
                          recorded.push_back(outcome);
                          if (onRecorded)
                              onRecorded();
                      };
                callback(std::move(reply));
            } } };
};

} // namespace

// Replies generated for the sub-requests of a disconnected home have to carry the upstream. Without it the
// coordinator dropped them as unknown, and the sub-requests waited for the deadline instead of being retried.
BOOST_AUTO_TEST_CASE(subrequestOfDisconnectedHomeIsRetriedAtAnotherUpstream)
{
    EntryFixture f;
    std::optional<search::Answer> answer;
    search::SearchRequest request;
    request.collection = "manifests";
    request.deadline = BootClock::now() + std::chrono::seconds(2);
    request.ownZone = AvailabilityZone("z1");
    f.entry.search(std::move(request), [&answer](search::Answer given) { answer = std::move(given); });
    const auto first = f.nextSent();
    f.entry.onHomeDisconnected(first.home, true);
    const auto second = f.nextSent();
    BOOST_TEST(second.home != first.home);
    const auto& batch = std::get<wire::SubrequestBatch>(second.message);
    auto item = EntryFixture::itemFor(batch.items.front().sequence, batch.items.front().upstream);
    item.outcome = Outcome::Done;
    item.rows = "{}\n";
    f.entry.onReply({ batch.query, { item } });
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer->complete);
}

// A request that was refused without running may be retried at another upstream under the same claim, which
// is finished once.
BOOST_AUTO_TEST_CASE(refusedSubmitIsRetriedAndItsClaimFinishedOnce)
{
    EntryFixture f;
    f.submit(std::chrono::seconds(2));
    const auto first = f.nextSent();
    f.reply(std::get<wire::SubmitRequest>(first.message), Outcome::NotRun, Reason::UpstreamShed);
    const auto second = f.nextSent();
    BOOST_TEST(second.home != first.home);
    f.reply(std::get<wire::SubmitRequest>(second.message), Outcome::Done, Reason::None);
    BOOST_REQUIRE(f.result.has_value());
    BOOST_TEST((f.result->outcome == Outcome::Done));
    BOOST_TEST((f.recorded == std::vector { Outcome::Done }));
    BOOST_TEST(f.entry.openQueries() == 0U);
}

// Resending a request whose outcome is unknown could run it twice, for example credit an amount twice.
BOOST_AUTO_TEST_CASE(submitWithUnknownOutcomeIsNotResent)
{
    EntryFixture f;
    f.submit(std::chrono::seconds(2));
    const auto first = f.nextSent();
    f.entry.onHomeDisconnected(first.home, true);
    f.runUntil([&f] { return f.result.has_value(); });
    BOOST_TEST((f.result->outcome == Outcome::Unknown));
    BOOST_TEST(f.sent.empty());
    BOOST_TEST((f.recorded == std::vector { Outcome::Unknown }));
}

// An outcome that arrives after the caller got Unknown at its deadline is still recorded, so that the next
// request with the key gets the actual outcome.
BOOST_AUTO_TEST_CASE(outcomeAfterDeadlineIsRecordedInClaim)
{
    EntryFixture f;
    f.submit(std::chrono::milliseconds(30));
    const auto first = f.nextSent();
    f.runUntil([&f] { return f.result.has_value(); });
    BOOST_TEST((f.result->outcome == Outcome::Unknown));
    BOOST_TEST(f.recorded.empty());
    f.reply(std::get<wire::SubmitRequest>(first.message), Outcome::Done, Reason::None);
    BOOST_TEST((f.recorded == std::vector { Outcome::Done }));
    BOOST_TEST(f.entry.openQueries() == 0U);
}
