#include "gateway_fixture.h"
#include "test_routes.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace banyancroft;
using namespace banyancroft::gateway;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(requestIsForwardedAndResponseIsReturnedUnchanged)
{
    GatewayFixture fixture;
    std::string expected;
    auto& replica = fixture.replica("ledger", "r1", [&](const http::RequestHead& head, const std::string&) {
        expected = std::string(head.fields.find("Expect").value_or(""));
        return FakeResponse { GatewayFixture::signedResponse(head, "sig", "payload") };
    });
    fixture.configure(configurationOf({ singleRoute(true) }));
    const auto response = fixture.callWhenReady(GatewayFixture::request("/lookup/1", "id-1", 900));
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.body == "payload");
    BOOST_TEST(response.fields.at("Signature") == "sig");
    BOOST_TEST(response.fields.at("Request-Id") == "id-1");
    BOOST_TEST(expected == "r1");
    // The deadline sent to the replica must not exceed that of the caller.
    BOOST_TEST(std::stoi(replica.deadlines().front()) <= 900);
}

BOOST_AUTO_TEST_CASE(requestsWithoutRouteOrValidHeadersAreRejected)
{
    GatewayFixture fixture;
    fixture.replica("ledger", "r1", serves("data"));
    fixture.configure(configurationOf({ singleRoute(true) }));
    BOOST_TEST(fixture.callWhenReady(GatewayFixture::request("/other/1", "id")).status == 404U);
    BOOST_TEST(fixture.callWhenReady("GET /lookup/1 HTTP/1.1\r\nHost: h\r\n\r\n").status == 400U);
    BOOST_TEST(
        fixture.callWhenReady("GET /lookup/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: a\r\nDeadline: x\r\n\r\n")
            .status
        == 400U);
    BOOST_TEST(fixture.callWhenReady("nonsense\r\n\r\n").status == 400U);
    BOOST_TEST(totalRequests(fixture) == 0);
}

// Without a configuration the VM cannot tell whether a route exists, so it must not respond with 404.
BOOST_AUTO_TEST_CASE(vmWithoutConfigurationRefusesRequestsAndIsNotReady)
{
    GatewayFixture fixture;
    const auto responses = fixture.runCaller<std::pair<CallerResponse, CallerResponse>>([&] {
        return std::pair {
            Caller(fixture.settings.callers.port).call(GatewayFixture::request("/lookup/1", "id")),
            Caller(fixture.settings.readiness.port).call("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        };
    });
    BOOST_TEST(responses.first.status == 503U);
    BOOST_TEST(std::stod(responses.first.fields.at("Retry-After")) > 0);
    BOOST_TEST(responses.second.status == 503U);
}

// Guards against a duplicate credit: the replica may have executed the request whose response was lost.
BOOST_AUTO_TEST_CASE(nonIdempotentRequestIsNotRetriedAfterLostResponse)
{
    GatewayFixture fixture;
    fixture.replica("ledger", "r1", respondsWith("", true));
    fixture.replica("ledger", "r2", respondsWith("", true));
    fixture.configure(configurationOf({ singleRoute(false) }));
    const auto response = fixture.callWhenReady(GatewayFixture::request("/credit/1", "id"));
    BOOST_TEST(response.status == 502U);
    BOOST_TEST(totalRequests(fixture) == 1);
}

BOOST_AUTO_TEST_CASE(nonIdempotentRequestIsRetriedOnAnotherReplicaAfterRefusal)
{
    GatewayFixture fixture;
    fixture.replica("ledger", "r1", respondsWith(notRunResponse));
    fixture.replica("ledger", "r2", serves("data"));
    fixture.configure(configurationOf({ singleRoute(false) }));
    // The retry budget may not yet cover a retry in the first seconds, so some requests may be refused.
    for (int i = 0; i < 20; ++i) {
        const auto response = fixture.callWhenReady(GatewayFixture::request("/credit/1", "id"));
        BOOST_TEST((response.status == 200U || response.status == 503U || response.status == 504U));
        if (response.status != 200)
            BOOST_TEST(response.fields.contains("Retry-After"));
    }
    BOOST_TEST(fixture.replicas[1]->receivedRequests() > 0);
}

// Guards against failing a request because the only remaining replica of a service refused it briefly.
BOOST_AUTO_TEST_CASE(requestIsResentToTheOnlyReplicaAfterRefusals)
{
    for (const bool idempotent : { true, false }) {
        GatewayFixture fixture;
        int receivedRequests = 0;
        fixture.replica("ledger", "r1", [&](const http::RequestHead& head, const std::string&) {
            return FakeResponse {
                ++receivedRequests <= 2 ? notRunResponse : GatewayFixture::signedResponse(head, "sig", "data")
            };
        });
        fixture.configure(configurationOf({ singleRoute(idempotent) }));
        BOOST_TEST(
            fixture.callWhenReady(GatewayFixture::request(idempotent ? "/lookup/1" : "/credit/1", "id"))
                .status
            == 200U);
        BOOST_TEST(receivedRequests == 3);
    }
}

BOOST_AUTO_TEST_CASE(refusalByReplicaReachesCallerWithRetryAfter)
{
    GatewayFixture fixture;
    auto route = singleRoute(false);
    route.maxUpstreams = 1;
    fixture.replica("ledger", "r1", respondsWith(notRunResponse));
    fixture.configure(configurationOf({ route }));
    const auto response = fixture.callWhenReady(GatewayFixture::request("/credit/1", "id"));
    BOOST_TEST(response.status == 503U);
    BOOST_TEST(response.fields.contains("Retry-After"));
}

// The address of a removed replica may be reused by a replica of another service, which responds with 421.
BOOST_AUTO_TEST_CASE(replicaAtReusedAddressReceivesNoFurtherRequests)
{
    GatewayFixture fixture;
    fixture.replica("ledger", "r1",
        respondsWith("HTTP/1.1 421 Misdirected Request\r\nUpstream: other\r\nContent-Length: 0\r\n\r\n"));
    auto route = singleRoute(false);
    route.maxUpstreams = 1;
    fixture.configure(configurationOf({ route }));
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(fixture.callWhenReady(GatewayFixture::request("/credit/1", "id")).status == 503U);
    BOOST_TEST(fixture.replicas[0]->receivedRequests() == 1);
}

// A faulty replica responds twice; the duplicate arrives where the response to the next request is expected.
BOOST_AUTO_TEST_CASE(duplicateResponseIsNotMatchedToNextRequest)
{
    GatewayFixture fixture;
    std::string previous;
    fixture.replica("ledger", "r1", [&](const http::RequestHead& head, const std::string&) {
        const auto own = GatewayFixture::signedResponse(head, "sig", "for " + std::string(head.target));
        const auto bytes = previous + own;
        previous = own;
        return FakeResponse { bytes };
    });
    fixture.configure(configurationOf({ singleRoute(true) }));
    for (const std::string path : { "/lookup/1", "/lookup/2", "/lookup/3" }) {
        const auto response = fixture.callWhenReady(GatewayFixture::request(path, "id" + path));
        BOOST_TEST(response.status == 200U);
        BOOST_TEST(response.body == "for " + path);
    }
}

// The duplicate lacks the request ID that identifies it. The next caller must not get it, and a refusal
// without ID must not make the request run again elsewhere.
BOOST_AUTO_TEST_CASE(duplicateResponseWithoutIdIsNotMatchedToNextRequest)
{
    for (const std::string duplicate : { "HTTP/1.1 200 OK\r\nSignature: old\r\nContent-Length: 3\r\n\r\nold",
             "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" }) {
        GatewayFixture fixture;
        int requests = 0;
        fixture.replica("ledger", "r1", [&](const http::RequestHead& head, const std::string&) {
            const auto own = GatewayFixture::signedResponse(head, "sig", "own");
            return FakeResponse { ++requests > 1 ? duplicate + own : own };
        });
        auto& other = fixture.replica("ledger", "r2", serves("other"));
        fixture.configure(configurationOf({ singleRoute(false) }));
        for (int i = 0; i < 12; ++i) {
            const auto response
                = fixture.callWhenReady(GatewayFixture::request("/credit/1", "id-" + std::to_string(i)));
            BOOST_TEST((response.status == 200U || response.status == 502U));
            BOOST_TEST(response.body != "old");
        }
        BOOST_TEST(requests + other.receivedRequests() == 12);
    }
}

// Guards against a caller that gets the response to an earlier request, because a copy of it has no length
// and ends with the connection.
BOOST_AUTO_TEST_CASE(duplicateResponseWithoutLengthIsNotMatchedToNextRequest)
{
    for (const bool closes : { true, false }) {
        GatewayFixture fixture;
        std::string copy;
        fixture.replica("ledger", "r1", [&](const http::RequestHead& head, const std::string&) {
            const auto own = GatewayFixture::signedResponse(head, "sig", "for " + std::string(head.target));
            const auto previous = std::exchange(copy, own);
            copy.erase(copy.find("Content-Length"), copy.find("\r\n\r\n") - copy.find("Content-Length") + 2);
            return previous.empty() ? FakeResponse { own } : FakeResponse { previous, closes };
        });
        fixture.configure(configurationOf({ singleRoute(false) }));
        for (const std::string path : { "/credit/1", "/credit/2" }) {
            const auto response = fixture.callWhenReady(GatewayFixture::request(path, "id" + path, 1000));
            BOOST_TEST(response.status == (path == "/credit/1" ? 200U : 502U));
            BOOST_TEST(response.body == (path == "/credit/1" ? "for /credit/1" : ""));
        }
    }
}

// An interim response is not the response to the request; the final one follows it.
BOOST_AUTO_TEST_CASE(interimResponsesAreSkipped)
{
    GatewayFixture fixture;
    bool cut = false;
    fixture.replica("ledger", "r1", [&](const http::RequestHead& head, const std::string&) {
        const std::string interim
            = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
        return FakeResponse { interim + (cut ? "" : GatewayFixture::signedResponse(head, "sig", "data")),
            cut };
    });
    fixture.configure(configurationOf({ singleRoute(false) }));
    BOOST_TEST(fixture.callWhenReady(GatewayFixture::request("/credit/1", "id-1")).body == "data");
    cut = true;
    BOOST_TEST(fixture.callWhenReady(GatewayFixture::request("/credit/1", "id-2")).status == 502U);
}

// Guards against a second run: a copy of a refusal is taken for the response to the same request, sent again.
BOOST_AUTO_TEST_CASE(copyOfRefusalIsNotMatchedToResentRequest)
{
    for (const bool refusedTwice : { false, true }) {
        GatewayFixture fixture;
        int arrivals = 0;
        int runs = 0;
        int mostConnections = 0;
        /** The refusal that is still to be sent again, by connection. */
        std::map<int, std::string> copies;
        FakeReplica* replica = nullptr;
        replica = &fixture.replica("ledger", "r1", [&](const http::RequestHead& head, const std::string&) {
            const std::string refusal = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRequest-Id: "
                + std::string(*head.fields.find("Request-Id")) + "\r\nContent-Length: 0\r\n\r\n";
            mostConnections = std::max(mostConnections, replica->openConnections());
            const auto copy = std::exchange(copies[replica->currentConnection()], refusal);
            const bool refuses = ++arrivals <= (refusedTwice ? 2 : 1);
            runs += refuses ? 0 : 1;
            return FakeResponse { copy
                + (refuses ? refusal : GatewayFixture::signedResponse(head, "sig", "data")) };
        });
        auto configuration = configurationOf({ singleRoute(false) });
        configuration.services.front().maxConnections = 1;
        fixture.configure(configuration);
        const auto response = fixture.callWhenReady(GatewayFixture::request("/credit/1", "id"));
        BOOST_TEST(response.status == 200U);
        BOOST_TEST(runs == 1);
        // The connection that is not used again makes room for the other one.
        BOOST_TEST(mostConnections == 1);
    }
}

BOOST_AUTO_TEST_CASE(truncatedResponseIsReportedAsBadGateway)
{
    GatewayFixture fixture;
    auto route = singleRoute(true);
    route.maxUpstreams = 1;
    fixture.replica("ledger", "r1", [](const http::RequestHead& head, const std::string&) {
        const auto whole = GatewayFixture::signedResponse(head, "sig", "0123456789");
        return FakeResponse { whole.substr(0, whole.size() - 4), true };
    });
    fixture.configure(configurationOf({ route }));
    const auto response = fixture.callWhenReady(GatewayFixture::request("/lookup/1", "id"));
    BOOST_TEST(response.status == 502U);
    BOOST_TEST(!response.fields.contains("Signature"));
}

BOOST_AUTO_TEST_CASE(gatherMergesResultsOfAllShards)
{
    GatewayFixture fixture;
    fixture.replica("shard-0", "r0", serves(std::string(16, 'a') + std::string(16, 'd')));
    fixture.replica("shard-1", "r1", serves(std::string(16, 'c')));
    fixture.replica("shard-2", "r2", serves(std::string(16, 'b')));
    fixture.configure(configurationOf({ gatherRoute(3, 0.6) }));
    const auto response = fixture.callWhenReady(GatewayFixture::request("/sweep/1", "id"));
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.fields.at("Lacking") == "0");
    BOOST_TEST(response.body == std::string(16, 'd') + std::string(16, 'c') + std::string(16, 'b'));
}

// A shard without a responsive replica must not delay the results of the other shards past the objective.
BOOST_AUTO_TEST_CASE(gatherReturnsPartialResultWhenShardIsUnresponsive)
{
    GatewayFixture fixture;
    fixture.replica("shard-0", "r0", serves(std::string(16, 'a')));
    fixture.replica("shard-1", "r1", serves(std::string(16, 'b')));
    fixture.replica("shard-2", "r2", neverAnswers());
    fixture.configure(configurationOf({ gatherRoute(3, 0.6) }));
    const auto response = fixture.callWhenReady(GatewayFixture::request("/sweep/1", "id"));
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.fields.at("Lacking") == "1");
    BOOST_TEST(response.body.size() == 32U);
}

BOOST_AUTO_TEST_CASE(gatherBelowMinCoverageIsRefusedWithoutSubRequests)
{
    GatewayFixture fixture;
    fixture.replica("shard-0", "r0", serves(std::string(16, 'a')));
    fixture.configure(configurationOf({ gatherRoute(3, 0.6) }));
    const auto response = fixture.callWhenReady(GatewayFixture::request("/sweep/1", "id"));
    BOOST_TEST(response.status == 503U);
    BOOST_TEST(totalRequests(fixture) == 0);
}

BOOST_AUTO_TEST_CASE(failureResponseIsNotMergedIntoGather)
{
    GatewayFixture fixture;
    fixture.replica("shard-0", "r0", serves(std::string(16, 'a')));
    fixture.replica("shard-1", "r1", [](const http::RequestHead& head, const std::string&) {
        return FakeResponse { "HTTP/1.1 500 Broken\r\nRequest-Id: "
            + std::string(*head.fields.find("Request-Id"))
            + "\r\nSignature: bad\r\nContent-Length: 16\r\n\r\n" + std::string(16, 'z') };
    });
    fixture.configure(configurationOf({ gatherRoute(2, 0.5) }));
    const auto response = fixture.callWhenReady(GatewayFixture::request("/sweep/1", "id"));
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.fields.at("Lacking") == "1");
    BOOST_TEST(response.fields.at("Parts").find("bad") == std::string::npos);
}

// Guards against replicas that keep processing a request after its caller has disconnected.
BOOST_AUTO_TEST_CASE(callerDisconnectCancelsRequestAtReplica)
{
    GatewayFixture fixture;
    auto& replica = fixture.replica("ledger", "r1", neverAnswers());
    fixture.configure(configurationOf({ singleRoute(true) }));
    fixture.runCaller<bool>([&] {
        fixture.waitUntilReady();
        Caller caller(fixture.settings.callers.port);
        caller.write(GatewayFixture::request("/lookup/1", "id"));
        while (replica.receivedRequests() == 0)
            std::this_thread::sleep_for(1ms);
        caller.close();
        while (replica.abandonedRequests() == 0)
            std::this_thread::sleep_for(1ms);
        return true;
    });
    BOOST_TEST(replica.abandonedRequests() == 1);
}

BOOST_AUTO_TEST_CASE(newerConfigurationAppliesWithoutRestartAndOlderOneIsIgnored)
{
    GatewayFixture fixture;
    fixture.replica("ledger", "r1", serves("data"));
    fixture.configure(configurationOf({ singleRoute(true) }, 5));
    BOOST_TEST(fixture.callWhenReady(GatewayFixture::request("/credit/1", "id")).status == 404U);
    fixture.configure(configurationOf({ singleRoute(true), singleRoute(false) }, 9));
    fixture.ioContext.run_for(100ms);
    BOOST_TEST(fixture.callWhenReady(GatewayFixture::request("/credit/1", "id")).status == 200U);
    fixture.configure(configurationOf({ singleRoute(true) }, 7));
    fixture.ioContext.run_for(100ms);
    BOOST_TEST(fixture.callWhenReady(GatewayFixture::request("/credit/1", "id")).status == 200U);
}

// During an outage of the store the gateway continues with the last known configuration and replicas.
BOOST_AUTO_TEST_CASE(requestsAreServedDuringStoreOutage)
{
    GatewayFixture fixture;
    fixture.replica("ledger", "r1", serves("data"));
    fixture.configure(configurationOf({ singleRoute(true) }));
    BOOST_TEST(fixture.callWhenReady(GatewayFixture::request("/lookup/1", "id")).status == 200U);
    fixture.store.isDown = true;
    fixture.ioContext.run_for(200ms);
    BOOST_TEST(fixture.callWhenReady(GatewayFixture::request("/lookup/1", "id")).status == 200U);
}

// Guards against requests lost in a graceful shutdown: each open connection serves one more request and is
// then closed.
BOOST_AUTO_TEST_CASE(stopSignalDoesNotInterruptRequests)
{
    GatewayFixture fixture;
    auto& replica = fixture.replica("ledger", "r1", serves("data"));
    fixture.configure(configurationOf({ singleRoute(true) }));
    const auto responses = fixture.runCaller<std::vector<CallerResponse>>([&] {
        fixture.waitUntilReady();
        Caller caller(fixture.settings.callers.port);
        std::vector<CallerResponse> result { caller.call(GatewayFixture::request("/lookup/1", "id-1")) };
        ::kill(::getpid(), SIGTERM);
        auto probe = [&] {
            return Caller(fixture.settings.readiness.port)
                .call("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                .status;
        };
        while (probe() == 200)
            std::this_thread::sleep_for(1ms);
        result.push_back(caller.call(GatewayFixture::request("/lookup/2", "id-2")));
        result.push_back(
            Caller(fixture.settings.callers.port).call(GatewayFixture::request("/lookup/3", "id-3")));
        return result;
    });
    BOOST_TEST(responses[0].status == 200U);
    BOOST_TEST(!responses[0].fields.contains("Connection"));
    BOOST_TEST(responses[1].status == 200U);
    BOOST_TEST(responses[1].fields.at("Connection") == "close");
    // The load balancer may not have detected the stop yet, so new connections are still served.
    BOOST_TEST(responses[2].status == 200U);
    BOOST_TEST(replica.receivedRequests() == 3);
}

// A VM that stops under load: from some moment on it takes no connections, and answers what it has taken. A
// request that becomes complete too late to be served is refused and does not reach a replica.
BOOST_AUTO_TEST_CASE(stoppingVmRefusesConnectionsBeforeItExits)
{
    GatewayFixture fixture;
    fixture.settings.stopGrace = 4s;
    std::vector<std::string> targets;
    fixture.replica("ledger", "r1", [&targets](const http::RequestHead& head, const std::string&) {
        targets.push_back(head.target);
        return FakeResponse {
            head.target == "/lookup/slow" ? "" : GatewayFixture::signedResponse(head, "sig", "data")
        };
    });
    fixture.configure(configurationOf({ singleRoute(true) }));
    const auto request = GatewayFixture::request("/lookup/1", "id-2");
    const auto lateRequest = GatewayFixture::request("/lookup/2", "id-3");
    const auto responses = fixture.runCaller<std::pair<CallerResponse, CallerResponse>>([&] {
        fixture.waitUntilReady();
        Caller kept(fixture.settings.callers.port);
        Caller late(fixture.settings.callers.port);
        Caller slow(fixture.settings.callers.port);
        kept.write(request.substr(0, 20));
        late.write(lateRequest.substr(0, 20));
        slow.write(GatewayFixture::request("/lookup/slow", "id-1", 20000));
        ::kill(::getpid(), SIGTERM);
        ::kill(::getpid(), SIGTERM);
        try {
            while (true) {
                Caller probe(fixture.settings.callers.port);
                std::this_thread::sleep_for(2ms);
            }
        } catch (const boost::system::system_error&) {
            // The listening socket is closed.
        }
        const auto first = kept.call(request.substr(20));
        std::this_thread::sleep_for(300ms);
        return std::pair { first, late.call(lateRequest.substr(20)) };
    });
    for (const auto& response : { responses.first, responses.second }) {
        BOOST_TEST((response.status == 200U || response.status == 503U));
        BOOST_TEST(response.fields.at("Connection") == "close");
        BOOST_TEST(response.fields.contains("Retry-After") == (response.status == 503U));
    }
    BOOST_TEST(responses.second.status == 503U);
    BOOST_TEST((std::find(targets.begin(), targets.end(), "/lookup/2") == targets.end()));
}

// Guards against requests that a stopping VM takes on a kept connection and cuts off when it exits: it closes
// idle connections early enough, and answers what is still in progress at the end.
BOOST_AUTO_TEST_CASE(stoppingVmClosesKeptConnectionsAndAnswersBeforeItExits)
{
    GatewayFixture fixture;
    fixture.settings.stopGrace = 2s;
    fixture.replica("ledger", "r1", [](const http::RequestHead& head, const std::string&) {
        return FakeResponse {
            head.target == "/credit/slow" ? "" : GatewayFixture::signedResponse(head, "sig", "data")
        };
    });
    fixture.configure(configurationOf({ singleRoute(false) }));
    const auto responses = fixture.runCaller<std::vector<CallerResponse>>([&] {
        fixture.waitUntilReady();
        Caller kept(fixture.settings.callers.port);
        std::vector<CallerResponse> result { kept.call(GatewayFixture::request("/credit/1", "id-1")) };
        Caller slow(fixture.settings.callers.port);
        slow.write(GatewayFixture::request("/credit/slow", "id-2", 20000));
        ::kill(::getpid(), SIGTERM);
        result.push_back(kept.read());
        result.push_back(slow.read());
        return result;
    });
    BOOST_TEST(responses[0].status == 200U);
    BOOST_TEST(responses[1].closed);
    BOOST_TEST(responses[2].status == 502U);
    BOOST_TEST(totalRequests(fixture) == 2);
}

// A caller that pipelines has had its next request read before it learns that the connection closes.
BOOST_AUTO_TEST_CASE(stoppingVmAnswersPipelinedRequests)
{
    GatewayFixture fixture;
    fixture.replica("ledger", "r1", serves("data"));
    fixture.configure(configurationOf({ singleRoute(true) }));
    const auto responses = fixture.runCaller<std::vector<CallerResponse>>([&] {
        fixture.waitUntilReady();
        Caller caller(fixture.settings.callers.port);
        ::kill(::getpid(), SIGTERM);
        while (Caller(fixture.settings.readiness.port).call("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").status
            == 200)
            std::this_thread::sleep_for(1ms);
        caller.write(GatewayFixture::request("/lookup/1", "id-1")
            + GatewayFixture::request("/lookup/2", "id-2") + GatewayFixture::request("/lookup/3", "id-3"));
        return std::vector { caller.read(), caller.read(), caller.read() };
    });
    for (const auto& response : responses)
        BOOST_TEST(response.status == 200U);
    BOOST_TEST(responses.back().fields.at("Connection") == "close");
}

// SIGHUP must apply changed limits and must not interrupt requests, also when the new settings are invalid.
BOOST_AUTO_TEST_CASE(requestsAreServedAcrossSettingsReloads)
{
    GatewayFixture fixture;
    fixture.replica("ledger", "r1", serves("data"));
    fixture.configure(configurationOf({ singleRoute(true) }));
    BOOST_TEST(fixture.callWhenReady(GatewayFixture::request("/lookup/1", "id")).status == 200U);
    int reloads = 0;
    fixture.gateway->onReload([&](Error& reason) -> std::optional<Settings> {
        ++reloads;
        if (reloads == 1) {
            reason = { ErrorKind::InvalidInput, "invalid settings", "correct the settings" };
            return std::nullopt;
        }
        return fixture.settings;
    });
    for (int i = 1; i <= 2; ++i) {
        ::kill(::getpid(), SIGHUP);
        while (reloads < i)
            fixture.ioContext.run_for(5ms);
        BOOST_TEST(fixture.callWhenReady(GatewayFixture::request("/lookup/1", "id")).status == 200U);
    }
}

BOOST_AUTO_TEST_CASE(metricsAreServedOnMetricsAddress)
{
    GatewayFixture fixture;
    fixture.replica("ledger", "r1", serves("data"));
    fixture.configure(configurationOf({ singleRoute(true) }));
    fixture.callWhenReady(GatewayFixture::request("/lookup/1", "id"));
    const auto page = fixture.runCaller<CallerResponse>([&] {
        return Caller(fixture.settings.metrics.port).call("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    });
    BOOST_TEST(page.status == 200U);
    BOOST_TEST(page.body.find("banyancroft_gateway_served_total 1") != std::string::npos);
    BOOST_TEST(page.body.find("banyancroft_gateway_answer_seconds_bucket") != std::string::npos);
}
