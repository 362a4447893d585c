#include "store/http_client.h"
#include "upstream_emulator/rows.h"
#include "upstream_emulator/upstream_fleet.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include <thread>

using namespace banyancroft;
using namespace banyancroft::tools;
using store::HttpClient;
using store::HttpResponse;
using Json = nlohmann::json;
using namespace std::chrono_literals;

namespace {

constexpr auto timeout = 20s;

config::Document makeDocument()
{
    config::Service service;
    service.id = ServiceId("desk");
    service.slots = 1;
    service.connections = 2;
    service.connectTime = Duration::zero();
    config::ShardGroup group { GroupId("desk-01"), { ShardId("s1"), ShardId("s2") }, {} };
    group.upstreams.push_back({ UpstreamId("desk-01-a"), "127.0.0.1", 1, AvailabilityZone("z1"), false });
    service.groups.push_back(group);
    config::Document document;
    document.version = { 1 };
    document.layout = { 1 };
    document.services.push_back(service);
    return document;
}

struct Fixture {
    explicit Fixture(const char* serviceTime = "fixed:1ms")
        : fleet(makeDocument(), { parse(serviceTime), 1, 1, true, 0 })
        , runner([this] { fleet.run(); })
        , admin(ioContext, { .address = "127.0.0.1", .port = fleet.adminPort() })
        , upstream(ioContext, { .address = "127.0.0.1", .port = port() })
    {
    }
    ~Fixture()
    {
        fleet.stop();
        runner.join();
    }

    static ServiceTime parse(const char* text)
    {
        Error reason;
        return parseServiceTime(text, reason).value();
    }
    std::uint16_t port() const { return fleet.document().services[0].groups[0].upstreams[0].port; }

    void runUntil(const std::function<bool()>& condition)
    {
        const auto end = BootClock::now() + timeout;
        while (!condition()) {
            BOOST_REQUIRE(BootClock::now() < end);
            ioContext.run_one_for(10ms);
        }
    }
    std::optional<HttpResponse> call(HttpClient& client, const char* method, const char* target,
        const std::string& body = {}, const HttpClient::Headers& headers = {})
    {
        bool done = false;
        std::optional<HttpResponse> result;
        client.call(
            method, target, body, 10s,
            [&](auto answer, const Error&) {
                done = true;
                result = std::move(answer);
            },
            headers);
        runUntil([&] { return done; });
        return result;
    }
    Json counters()
    {
        const auto answer = call(admin, "GET", "/books");
        return Json::parse(answer.value().body).at("upstreams").at(0);
    }
    void command(const char* target, const char* body)
    {
        BOOST_TEST(call(admin, "POST", target, body).value().status == 200U);
    }

    UpstreamFleet fleet;
    std::thread runner;
    boost::asio::io_context ioContext { 1 };
    // Keeps the io_context from stopping while runUntil() waits without an open call.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard {
        ioContext.get_executor()
    };
    HttpClient admin;
    HttpClient upstream;
};

struct SlowFixture : Fixture {
    SlowFixture()
        : Fixture("fixed:5000ms")
    {
    }
};

const char* const searchBody = R"({"collection":"c","shards":["s1","s2"],"where":"","limit":0})";

} // namespace

// The checker of the benchmark computes the expected rows itself, so the emulator must return exactly those.
BOOST_FIXTURE_TEST_CASE(rowsContainShardAndRequestedVersions, Fixture)
{
    command("/serve", R"({"group":"desk-01","index":[4,6],"layout":[1,2]})");
    const auto answer = call(
        upstream, "POST", "/search", searchBody, { { "X-Index-Version", "4" }, { "X-Layout-Version", "2" } });
    std::string expected;
    for (const auto* shard : { "s1", "s2" }) {
        for (unsigned row = 0; row < rowsPerShard; ++row)
            expected += makeRow(shard, 2, 4, row) + "\n";
    }
    BOOST_TEST(answer.value().body == expected);
    BOOST_TEST(call(upstream, "POST", "/search", searchBody, { { "X-Index-Version", "5" } })->status == 409U);
    BOOST_TEST(call(upstream, "POST", "/search", R"({"shards":["s9"]})")->status == 400U);
    const auto seen = counters();
    BOOST_TEST(seen.at("searches") == 1);
    BOOST_TEST(seen.at("wrong_version") == 1);
    BOOST_TEST(seen.at("wrong_shard") == 1);
}

// Duplicate runs of a submit are detected by these counters.
BOOST_FIXTURE_TEST_CASE(submitsAreCountedPerIdempotencyKey, Fixture)
{
    const char* body = R"({"operation":"return_credit","payload":{}})";
    call(upstream, "POST", "/submit", body, { { "Idempotency-Key", "k1" } });
    call(upstream, "POST", "/submit", body, { { "Idempotency-Key", "k1" } });
    call(upstream, "POST", "/submit", body, { { "Idempotency-Key", "k2" } });
    const auto seen = counters();
    BOOST_TEST(seen.at("runs").at("k1") == 2);
    BOOST_TEST(seen.at("runs").at("k2") == 1);
    command("/books/reset", "{}");
    BOOST_TEST(counters().at("runs").empty());
}

// If closing a connection freed the slot, requests sent in addition to one that still runs would not be
// counted as over the limit.
BOOST_FIXTURE_TEST_CASE(onlyCancellationFreesASlotBeforeTheRequestEnds, SlowFixture)
{
    const auto send = [this](const char* id) {
        auto client = std::make_unique<HttpClient>(
            ioContext, HttpClient::Options { .address = "127.0.0.1", .port = port() });
        client->call(
            "POST", "/search", searchBody, 10s, [](auto, const Error&) {}, { { "X-Request-Id", id } });
        return client;
    };
    auto first = send("1");
    runUntil([&] { return counters().at("running") == 1; });
    first.reset();
    runUntil([&] { return counters().at("connections") == 0; });
    BOOST_TEST(counters().at("running") == 1);
    auto second = send("2");
    runUntil([&] { return counters().at("running") == 2; });
    BOOST_TEST(counters().at("over_limit") == 1);
    call(upstream, "POST", "/cancel", "", { { "X-Request-Id", "1" } });
    const auto seen = counters();
    BOOST_TEST(seen.at("running") == 1);
    BOOST_TEST(seen.at("cancelled") == 1);
}

// If a restart kept connections, or rejected connections were not counted, faults of the
// daemon that is the home of the upstream would go undetected.
BOOST_FIXTURE_TEST_CASE(restartResetsConnectionsAndExcessConnectionsAreCounted, SlowFixture)
{
    std::vector<std::unique_ptr<HttpClient>> clients;
    unsigned ended = 0;
    for (int count = 0; count < 3; ++count) {
        clients.push_back(std::make_unique<HttpClient>(
            ioContext, HttpClient::Options { .address = "127.0.0.1", .port = port() }));
        clients.back()->call("POST", "/search", searchBody, 10s, [&](auto, const Error&) { ++ended; });
    }
    runUntil([&] { return ended == 1; });
    BOOST_TEST(counters().at("over_connections") == 1);
    command("/restart", R"({"upstream":"desk-01-a","cold_answers":3})");
    runUntil([&] { return ended == 3; });
    const auto health = Json::parse(call(upstream, "GET", "/health")->body);
    BOOST_TEST(health.at("state") == "cold");
    command("/health", R"({"override":{"state":"warm"}})");
    BOOST_TEST(Json::parse(call(upstream, "GET", "/health")->body).at("state") == "warm");
}

// Scenarios would pass without testing anything if injected faults had no effect.
BOOST_FIXTURE_TEST_CASE(injectedFaultsTakeEffect, Fixture)
{
    command("/shed", R"({"zone":"z1","percent":100})");
    BOOST_TEST(call(upstream, "POST", "/search", searchBody)->status == 503U);
    command("/shed", R"({"percent":0})");
    command("/garbage", R"({"answers":1})");
    BOOST_TEST(!call(upstream, "POST", "/search", searchBody).has_value());
    command("/stall", R"({"on":true})");
    BOOST_TEST(call(upstream, "POST", "/search", searchBody, { { "X-Deadline-Ms", "5" } })->status == 504U);
    command("/stall", R"({"on":false})");
    BOOST_TEST(call(upstream, "POST", "/search", searchBody)->status == 200U);
    BOOST_TEST(call(admin, "POST", "/drain", R"({"zone":"z9","on":true})")->status == 400U);
}
