#include "gateway_world.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace banyancroft;
using namespace banyancroft::gateway;
using namespace std::chrono_literals;

namespace {

routing::Route singleRoute(bool idempotent)
{
    routing::Route route;
    route.name = idempotent ? "lookup" : "credit";
    route.host = "h";
    route.pathPrefix = idempotent ? "/lookup/" : "/credit/";
    route.idempotent = idempotent;
    route.timeout = 5s;
    route.latencyObjective = 500ms;
    route.maxUpstreams = 2;
    route.split = { { ServiceId("ledger"), 1 } };
    return route;
}

routing::Route gatherRoute(std::size_t shards, double minCoverage)
{
    routing::Route route;
    route.name = "sweep";
    route.host = "h";
    route.pathPrefix = "/sweep/";
    route.idempotent = true;
    route.timeout = 5s;
    route.latencyObjective = 300ms;
    route.maxUpstreams = 2;
    for (std::size_t i = 0; i < shards; ++i)
        route.gather.shards.emplace_back("shard-" + std::to_string(i));
    route.gather.topRecords = 3;
    route.gather.minCoverage = minCoverage;
    return route;
}

routing::Configuration configurationOf(std::vector<routing::Route> routes, std::uint64_t version = 1)
{
    routing::Configuration configuration;
    configuration.version = { version };
    for (const auto& route : routes) {
        auto services = route.gather.shards;
        for (const auto& part : route.split)
            services.push_back(part.service);
        for (const auto& id : services) {
            routing::Service service;
            service.id = id;
            service.maxConnections = 20;
            configuration.services.push_back(service);
        }
    }
    configuration.routes = std::move(routes);
    return configuration;
}

FakeReplica::Script serves(const std::string& body)
{
    return [body](const http::RequestHead& head, const std::string&) {
        return FakeAnswer { GatewayWorld::signedAnswer(head, "s-" + body.substr(0, 4), body) };
    };
}

FakeReplica::Script answers(const std::string& bytes, bool close = false)
{
    return [bytes, close](const http::RequestHead&, const std::string&) {
        return FakeAnswer { bytes, close };
    };
}

FakeReplica::Script isSilent() { return answers(""); }

constexpr const char* refusal = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

int totalArrivals(const GatewayWorld& world)
{
    int total = 0;
    for (const auto& replica : world.replicas)
        total += replica->arrivals();
    return total;
}

} // namespace

BOOST_AUTO_TEST_CASE(aRequestReachesItsReplicaAndComesBackUnchanged)
{
    GatewayWorld world;
    std::string expected;
    auto& replica = world.replica("ledger", "r1", [&](const http::RequestHead& head, const std::string&) {
        expected = std::string(head.fields.find("Expect").value_or(""));
        return FakeAnswer { GatewayWorld::signedAnswer(head, "sig", "payload") };
    });
    world.configure(configurationOf({ singleRoute(true) }));
    const auto answer = world.callWhenReady(GatewayWorld::request("/lookup/1", "id-1", 900));
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(answer.body == "payload");
    BOOST_TEST(answer.fields.at("Signature") == "sig");
    BOOST_TEST(answer.fields.at("Request-Id") == "id-1");
    BOOST_TEST(expected == "r1");
    // The replica must not be given more time than the caller has.
    BOOST_TEST(std::stoi(replica.deadlines().front()) <= 900);
}

BOOST_AUTO_TEST_CASE(requestsWithoutRouteOrIdentityAreRejected)
{
    GatewayWorld world;
    world.replica("ledger", "r1", serves("data"));
    world.configure(configurationOf({ singleRoute(true) }));
    BOOST_TEST(world.callWhenReady(GatewayWorld::request("/other/1", "id")).status == 404U);
    BOOST_TEST(world.callWhenReady("GET /lookup/1 HTTP/1.1\r\nHost: h\r\n\r\n").status == 400U);
    BOOST_TEST(
        world.callWhenReady("GET /lookup/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\nDeadline: x\r\n\r\n")
            .status
        == 400U);
    BOOST_TEST(world.callWhenReady("nonsense\r\n\r\n").status == 400U);
    BOOST_TEST(totalArrivals(world) == 0);
}

// A VM that knows no configuration cannot say that a route does not exist.
BOOST_AUTO_TEST_CASE(withoutConfigurationRequestsAreRefusedAndTheVmIsNotReady)
{
    GatewayWorld world;
    const auto answers = world.play<std::pair<CallerAnswer, CallerAnswer>>([&] {
        return std::pair { Caller(world.settings.callers.port).call(GatewayWorld::request("/lookup/1", "id")),
            Caller(world.settings.readiness.port).call("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n") };
    });
    BOOST_TEST(answers.first.status == 503U);
    BOOST_TEST(std::stod(answers.first.fields.at("Retry-After")) > 0);
    BOOST_TEST(answers.second.status == 503U);
}

// The answer of a replica that ran a credit is lost: it must not run again.
BOOST_AUTO_TEST_CASE(aNonIdempotentRequestIsSentOnceWhenItsAnswerIsLost)
{
    GatewayWorld world;
    world.replica("ledger", "r1", answers("", true));
    world.replica("ledger", "r2", answers("", true));
    world.configure(configurationOf({ singleRoute(false) }));
    const auto answer = world.callWhenReady(GatewayWorld::request("/credit/1", "id"));
    BOOST_TEST(answer.status == 502U);
    BOOST_TEST(totalArrivals(world) == 1);
}

BOOST_AUTO_TEST_CASE(aNonIdempotentRequestGoesToAnotherReplicaAfterARefusal)
{
    GatewayWorld world;
    world.replica("ledger", "r1", answers(refusal));
    world.replica("ledger", "r2", serves("data"));
    world.configure(configurationOf({ singleRoute(false) }));
    // Without slack there is no budget for a second send in the first seconds.
    for (int i = 0; i < 20; ++i) {
        const auto answer = world.callWhenReady(GatewayWorld::request("/credit/1", "id"));
        BOOST_TEST((answer.status == 200U || answer.status == 503U || answer.status == 504U));
        if (answer.status != 200)
            BOOST_TEST(answer.fields.contains("Retry-After"));
    }
    BOOST_TEST(world.replicas[1]->arrivals() > 0);
}

// A shard with one replica left failed every request that this replica refused for a moment.
BOOST_AUTO_TEST_CASE(theOnlyReplicaGetsARequestAgainAfterARefusal)
{
    for (const bool idempotent : { true, false }) {
        GatewayWorld world;
        int arrivals = 0;
        world.replica("ledger", "r1", [&](const http::RequestHead& head, const std::string&) {
            return FakeAnswer { ++arrivals <= 2 ? refusal : GatewayWorld::signedAnswer(head, "sig", "data") };
        });
        world.configure(configurationOf({ singleRoute(idempotent) }));
        BOOST_TEST(
            world.callWhenReady(GatewayWorld::request(idempotent ? "/lookup/1" : "/credit/1", "id")).status
            == 200U);
        BOOST_TEST(arrivals == 3);
    }
}

BOOST_AUTO_TEST_CASE(aPromiseOfAReplicaIsPassedOnAsAPromise)
{
    GatewayWorld world;
    auto route = singleRoute(false);
    route.maxUpstreams = 1;
    world.replica("ledger", "r1", answers(refusal));
    world.configure(configurationOf({ route }));
    const auto answer = world.callWhenReady(GatewayWorld::request("/credit/1", "id"));
    BOOST_TEST(answer.status == 503U);
    BOOST_TEST(answer.fields.contains("Retry-After"));
}

// Addresses of replicas that are gone are used again by replicas of other services.
BOOST_AUTO_TEST_CASE(aMisdirectedReplicaIsNotUsedAgain)
{
    GatewayWorld world;
    world.replica("ledger", "r1",
        answers("HTTP/1.1 421 Misdirected Request\r\nUpstream: other\r\nContent-Length: 0\r\n\r\n"));
    auto route = singleRoute(false);
    route.maxUpstreams = 1;
    world.configure(configurationOf({ route }));
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(world.callWhenReady(GatewayWorld::request("/credit/1", "id")).status == 503U);
    BOOST_TEST(world.replicas[0]->arrivals() == 1);
}

// A faulty replica answers a request twice; the second answer arrives where the next one is expected.
BOOST_AUTO_TEST_CASE(aSecondAnswerToAnEarlierRequestReachesNobody)
{
    GatewayWorld world;
    std::string previous;
    world.replica("ledger", "r1", [&](const http::RequestHead& head, const std::string&) {
        const auto own = GatewayWorld::signedAnswer(head, "sig", "for " + std::string(head.target));
        const auto bytes = previous + own;
        previous = own;
        return FakeAnswer { bytes };
    });
    world.configure(configurationOf({ singleRoute(true) }));
    for (const std::string path : { "/lookup/1", "/lookup/2", "/lookup/3" }) {
        const auto answer = world.callWhenReady(GatewayWorld::request(path, "id" + path));
        BOOST_TEST(answer.status == 200U);
        BOOST_TEST(answer.body == "for " + path);
    }
}

BOOST_AUTO_TEST_CASE(aTruncatedAnswerNeverLooksComplete)
{
    GatewayWorld world;
    auto route = singleRoute(true);
    route.maxUpstreams = 1;
    world.replica("ledger", "r1", [](const http::RequestHead& head, const std::string&) {
        const auto whole = GatewayWorld::signedAnswer(head, "sig", "0123456789");
        return FakeAnswer { whole.substr(0, whole.size() - 4), true };
    });
    world.configure(configurationOf({ route }));
    const auto answer = world.callWhenReady(GatewayWorld::request("/lookup/1", "id"));
    BOOST_TEST(answer.status == 502U);
    BOOST_TEST(!answer.fields.contains("Signature"));
}

BOOST_AUTO_TEST_CASE(aGatherMergesThePartsOfAllShards)
{
    GatewayWorld world;
    world.replica("shard-0", "r0", serves(std::string(16, 'a') + std::string(16, 'd')));
    world.replica("shard-1", "r1", serves(std::string(16, 'c')));
    world.replica("shard-2", "r2", serves(std::string(16, 'b')));
    world.configure(configurationOf({ gatherRoute(3, 0.6) }));
    const auto answer = world.callWhenReady(GatewayWorld::request("/sweep/1", "id"));
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(answer.fields.at("Lacking") == "0");
    BOOST_TEST(answer.body == std::string(16, 'd') + std::string(16, 'c') + std::string(16, 'b'));
}

// One shard stands still in all its replicas; the others are worth more in time than all parts late.
BOOST_AUTO_TEST_CASE(aGatherAnswersInPartWhenAShardIsSilent)
{
    GatewayWorld world;
    world.replica("shard-0", "r0", serves(std::string(16, 'a')));
    world.replica("shard-1", "r1", serves(std::string(16, 'b')));
    world.replica("shard-2", "r2", isSilent());
    world.configure(configurationOf({ gatherRoute(3, 0.6) }));
    const auto answer = world.callWhenReady(GatewayWorld::request("/sweep/1", "id"));
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(answer.fields.at("Lacking") == "1");
    BOOST_TEST(answer.body.size() == 32U);
}

BOOST_AUTO_TEST_CASE(aGatherThatCannotCoverEnoughIsRefusedBeforeAnySend)
{
    GatewayWorld world;
    world.replica("shard-0", "r0", serves(std::string(16, 'a')));
    world.configure(configurationOf({ gatherRoute(3, 0.6) }));
    const auto answer = world.callWhenReady(GatewayWorld::request("/sweep/1", "id"));
    BOOST_TEST(answer.status == 503U);
    BOOST_TEST(totalArrivals(world) == 0);
}

BOOST_AUTO_TEST_CASE(aFailureOfAReplicaIsNoPart)
{
    GatewayWorld world;
    world.replica("shard-0", "r0", serves(std::string(16, 'a')));
    world.replica("shard-1", "r1", [](const http::RequestHead& head, const std::string&) {
        return FakeAnswer { "HTTP/1.1 500 Broken\r\nRequest-Id: "
            + std::string(*head.fields.find("Request-Id"))
            + "\r\nSignature: bad\r\nContent-Length: 16\r\n\r\n" + std::string(16, 'z') };
    });
    world.configure(configurationOf({ gatherRoute(2, 0.5) }));
    const auto answer = world.callWhenReady(GatewayWorld::request("/sweep/1", "id"));
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(answer.fields.at("Lacking") == "1");
    BOOST_TEST(answer.fields.at("Parts").find("bad") == std::string::npos);
}

// Replicas must not go on working for a caller that has left.
BOOST_AUTO_TEST_CASE(aCallerThatLeavesEndsTheWorkOfReplicas)
{
    GatewayWorld world;
    auto& replica = world.replica("ledger", "r1", isSilent());
    world.configure(configurationOf({ singleRoute(true) }));
    world.play<bool>([&] {
        world.waitUntilReady();
        Caller caller(world.settings.callers.port);
        caller.write(GatewayWorld::request("/lookup/1", "id"));
        while (replica.arrivals() == 0)
            std::this_thread::sleep_for(1ms);
        caller.close();
        while (replica.abandoned() == 0)
            std::this_thread::sleep_for(1ms);
        return true;
    });
    BOOST_TEST(replica.abandoned() == 1);
}

BOOST_AUTO_TEST_CASE(aNewConfigurationIsInForceWithoutARestartAndAnOlderOneIsNot)
{
    GatewayWorld world;
    world.replica("ledger", "r1", serves("data"));
    world.configure(configurationOf({ singleRoute(true) }, 5));
    BOOST_TEST(world.callWhenReady(GatewayWorld::request("/credit/1", "id")).status == 404U);
    world.configure(configurationOf({ singleRoute(true), singleRoute(false) }, 9));
    world.ioContext.run_for(100ms);
    BOOST_TEST(world.callWhenReady(GatewayWorld::request("/credit/1", "id")).status == 200U);
    world.configure(configurationOf({ singleRoute(true) }, 7));
    world.ioContext.run_for(100ms);
    BOOST_TEST(world.callWhenReady(GatewayWorld::request("/credit/1", "id")).status == 200U);
}

// The store is away for long stretches; what was known of it stays in use.
BOOST_AUTO_TEST_CASE(anOutageOfTheStoreChangesNothingForCallers)
{
    GatewayWorld world;
    world.replica("ledger", "r1", serves("data"));
    world.configure(configurationOf({ singleRoute(true) }));
    BOOST_TEST(world.callWhenReady(GatewayWorld::request("/lookup/1", "id")).status == 200U);
    world.store.isDown = true;
    world.ioContext.run_for(200ms);
    BOOST_TEST(world.callWhenReady(GatewayWorld::request("/lookup/1", "id")).status == 200U);
}

// A planned stop: the request that was read is answered, and the answer ends the connection.
BOOST_AUTO_TEST_CASE(aStopSignalCutsNoRequest)
{
    GatewayWorld world;
    auto& replica = world.replica("ledger", "r1", serves("data"));
    world.configure(configurationOf({ singleRoute(true) }));
    const auto answers = world.play<std::vector<CallerAnswer>>([&] {
        world.waitUntilReady();
        Caller caller(world.settings.callers.port);
        std::vector<CallerAnswer> result { caller.call(GatewayWorld::request("/lookup/1", "id-1")) };
        ::kill(::getpid(), SIGTERM);
        auto probe = [&] {
            return Caller(world.settings.readiness.port)
                .call("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                .status;
        };
        while (probe() == 200)
            std::this_thread::sleep_for(1ms);
        result.push_back(caller.call(GatewayWorld::request("/lookup/2", "id-2")));
        result.push_back(
            Caller(world.settings.callers.port).call(GatewayWorld::request("/lookup/3", "id-3")));
        return result;
    });
    BOOST_TEST(answers[0].status == 200U);
    BOOST_TEST(!answers[0].fields.contains("Connection"));
    BOOST_TEST(answers[1].status == 200U);
    BOOST_TEST(answers[1].fields.at("Connection") == "close");
    // The balancer may not have noticed yet, so new connections are still served.
    BOOST_TEST(answers[2].status == 200U);
    BOOST_TEST(replica.arrivals() == 3);
}

// SIGHUP must neither cut requests nor leave old limits in force.
BOOST_AUTO_TEST_CASE(changedSettingsAreTakenOverOnASignal)
{
    GatewayWorld world;
    world.replica("ledger", "r1", serves("data"));
    world.configure(configurationOf({ singleRoute(true) }));
    BOOST_TEST(world.callWhenReady(GatewayWorld::request("/lookup/1", "id")).status == 200U);
    int reloads = 0;
    world.gateway->onReload([&](Error& reason) -> std::optional<Settings> {
        ++reloads;
        if (reloads == 1) {
            reason = { ErrorKind::InvalidInput, "wrong", "correct it" };
            return std::nullopt;
        }
        return world.settings;
    });
    for (int i = 1; i <= 2; ++i) {
        ::kill(::getpid(), SIGHUP);
        while (reloads < i)
            world.ioContext.run_for(5ms);
        BOOST_TEST(world.callWhenReady(GatewayWorld::request("/lookup/1", "id")).status == 200U);
    }
}

BOOST_AUTO_TEST_CASE(metricsAreServedOnTheirAddress)
{
    GatewayWorld world;
    world.replica("ledger", "r1", serves("data"));
    world.configure(configurationOf({ singleRoute(true) }));
    world.callWhenReady(GatewayWorld::request("/lookup/1", "id"));
    const auto page = world.play<CallerAnswer>(
        [&] { return Caller(world.settings.metrics.port).call("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"); });
    BOOST_TEST(page.status == 200U);
    BOOST_TEST(page.body.find("banyancroft_gateway_served_total 1") != std::string::npos);
    BOOST_TEST(page.body.find("banyancroft_gateway_answer_seconds_bucket") != std::string::npos);
}
