#include "endless_server.h"
#include "gateway/event_loop.h"
#include "memory_account.h"
#include "test_routes.h"

#include <boost/test/unit_test.hpp>

#include <sys/resource.h>

using namespace banyancroft;
using namespace banyancroft::gateway;
using namespace std::chrono_literals;

namespace {

struct EndlessCase {
    std::string name;
    std::string beginning;
    std::string block;
};

const std::string okHead = "HTTP/1.1 200 OK\r\nSignature: s\r\n";

std::vector<EndlessCase> endlessCases()
{
    return {
        { "header fields", okHead, "X-More: " + std::string(1000, 'x') + "\r\n" },
        { "one header line", okHead + "X: ", std::string(1000, 'x') },
        { "status line", "HTTP/1.1 200 ", std::string(1000, 'x') },
        { "no HTTP", "", std::string(1000, '\x01') },
        { "body with a length", okHead + "Content-Length: 99999999999\r\n\r\n", std::string(16000, 'x') },
        { "body without a length", okHead + "\r\n", std::string(16000, 'x') },
        { "chunks", okHead + "Transfer-Encoding: chunked\r\n\r\n",
            "400\r\n" + std::string(1024, 'x') + "\r\n" },
        { "chunk extension", okHead + "Transfer-Encoding: chunked\r\n\r\n1;x=", std::string(1000, 'x') },
        { "chunk size", okHead + "Transfer-Encoding: chunked\r\n\r\n", "0000000000" },
        { "trailer", okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
            "X-T: " + std::string(1000, 'x') + "\r\n" },
        { "many chunk extensions", okHead + "Transfer-Encoding: chunked\r\n\r\n",
            "1;x=" + std::string(60'000, 'x') + "\r\nx\r\n" },
        { "interim answers", "", "HTTP/1.1 100 Continue\r\nX: " + std::string(60'000, 'x') + "\r\n\r\n" },
        { "body larger than announced", okHead + "Content-Length: 4\r\n\r\ndata", std::string(16000, 'x') },
        { "other answers", "", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 5\r\n\r\nother" },
    };
}

/** Registers a server that is not a FakeReplica as a replica. */
void registerReplica(
    GatewayFixture& fixture, const std::string& service, const std::string& name, std::uint16_t port)
{
    upstreams::UpstreamRecord record;
    record.id = UpstreamId(name);
    record.service = ServiceId(service);
    record.address = "127.0.0.1";
    record.port = port;
    record.zone = fixture.settings.zone;
    record.slots = 3;
    fixture.records["replica/" + name] = record;
    fixture.store.set("replica/" + name, "");
}

} // namespace

// A replica in trouble sends bytes that are no answer, without end. Its request must be served by another
// replica in time, its connection be closed at a limit, and nothing of it be kept.
BOOST_AUTO_TEST_CASE(endlessAnswersEndAtALimitAndRequestIsServedElsewhere)
{
    /** Limit on a response, and what the sockets' buffers hold beyond it. */
    constexpr std::size_t maxBytes = std::size_t { 24 } * 1024 * 1024;
    for (const auto& endless : endlessCases()) {
        BOOST_TEST_CONTEXT(endless.name)
        {
            GatewayFixture fixture;
            EndlessServer server(fixture.ioContext, endless.beginning, endless.block, 0ms);
            registerReplica(fixture, "ledger", "r1", server.port());
            fixture.replica("ledger", "r2", serves("data"));
            fixture.configure(configurationOf({ singleRoute(true) }));
            const auto served = fixture.runCaller<int>([&] {
                fixture.waitUntilReady();
                int count = 0;
                for (int i = 0; i < 6; ++i) {
                    const auto response
                        = Caller(fixture.settings.callers.port)
                              .call(GatewayFixture::request("/lookup/1", "id-" + std::to_string(i), 3000));
                    count += response.status == 200 && response.body == "data";
                }
                return count;
            });
            BOOST_TEST(served == 6);
            // Replicas are chosen with some randomness, so the endless one may not have been asked.
            if (server.requests() == 0)
                continue;
            fixture.runCaller<int>([&] {
                // Longer than the deadline of the requests, at which the last connections are closed.
                std::this_thread::sleep_for(3500ms);
                return 0;
            });
            BOOST_TEST(server.closedByPeer() == server.requests());
            BOOST_TEST(server.bytesWritten() < maxBytes * static_cast<std::size_t>(server.requests()));
        }
    }
}

// The same, a byte at a time: the connection lives until the deadline of its request, and the request is
// served elsewhere.
BOOST_AUTO_TEST_CASE(slowEndlessAnswerDoesNotDelayRequest)
{
    GatewayFixture fixture;
    EndlessServer server(fixture.ioContext, okHead + "X: ", "x", 5ms);
    registerReplica(fixture, "ledger", "r1", server.port());
    fixture.replica("ledger", "r2", serves("data"));
    fixture.configure(configurationOf({ singleRoute(true) }));
    for (int i = 0; i < 4; ++i) {
        const auto response
            = fixture.callWhenReady(GatewayFixture::request("/lookup/1", "id-" + std::to_string(i), 800));
        BOOST_TEST(response.status == 200U);
    }
    fixture.runCaller<int>([&] {
        std::this_thread::sleep_for(1200ms);
        return 0;
    });
    BOOST_TEST(server.closedByPeer() == server.requests());
}

BOOST_AUTO_TEST_CASE(endlessAnswerOfOnlyReplicaFailsWithoutClaim)
{
    GatewayFixture fixture;
    EndlessServer server(fixture.ioContext, okHead + "\r\n", std::string(16000, 'x'), 0ms);
    registerReplica(fixture, "ledger", "r1", server.port());
    fixture.configure(configurationOf({ singleRoute(false) }));
    const auto response = fixture.callWhenReady(GatewayFixture::request("/credit/1", "id", 2000));
    BOOST_TEST((response.status == 502U || response.status == 504U));
    BOOST_TEST(server.requests() == 1);
}

BOOST_AUTO_TEST_CASE(responsesTogetherStayWithinTheMemory)
{
    MemoryAccount memory({ 1024 * 1024, 128 * 1024 });
    const TimePoint now { 100s };
    const auto ignoreEnd = [] {};
    MemoryHolder response(&memory, MemoryUse::UpstreamResponse, ignoreEnd);
    while (response.tryHold(response.held() + 4096, now)) { }
    BOOST_TEST(response.held() <= 1024U * 1024);
    // Small responses are still received.
    MemoryHolder small(&memory, MemoryUse::UpstreamResponse, ignoreEnd);
    BOOST_TEST(small.tryHold(4096, now));
    MemoryHolder large(&memory, MemoryUse::UpstreamResponse, ignoreEnd);
    BOOST_TEST(!large.tryHold(260 * 1024, now));
    response.hold(0);
    BOOST_TEST(large.tryHold(260 * 1024, now));
}

// Guards against an answer that ends early, in its head or its body, and is passed on as a whole one.
BOOST_AUTO_TEST_CASE(answerThatIsCutAtAnyByteIsNoSuccess)
{
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nSignature: s\r\n";
    const std::string record(16, 'r');
    // Without a length, the end of the connection ends the body, so only the head can be seen to be cut.
    const std::vector<std::pair<std::string, std::size_t>> answers {
        { head + "Content-Length: 16\r\n\r\n" + record, 0 },
        { head + "Transfer-Encoding: chunked\r\n\r\n10\r\n" + record + "\r\n0\r\n\r\n", 0 },
        { head + "\r\n" + record, record.size() },
    };
    for (const auto& [answer, uncertain] : answers) {
        for (std::size_t size = 1; size < answer.size() - uncertain; ++size) {
            GatewayFixture fixture;
            fixture.replica("ledger", "r1", respondsWith(answer.substr(0, size), true));
            fixture.replica("shard-0", "r2", respondsWith(answer.substr(0, size), true));
            auto route = gatherRoute(1, 1);
            route.maxUpstreams = 1;
            fixture.configure(configurationOf({ singleRoute(false), route }));
            for (const std::string path : { "/credit/1", "/sweep/1" }) {
                const auto response = fixture.callWhenReady(GatewayFixture::request(path, "id"));
                BOOST_TEST(response.status == 502U, answer.substr(0, size));
                BOOST_TEST(response.body.empty());
                BOOST_TEST(!response.fields.contains("Signature"));
            }
            BOOST_TEST(totalRequests(fixture) == 2);
        }
    }
}

// Callers that send without end: the connection is closed at a limit, with an answer where one can be given.
BOOST_AUTO_TEST_CASE(endlessRequestsEndAtALimit)
{
    const std::string head = "POST /lookup/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: id\r\n";
    const std::vector<EndlessCase> cases {
        { "header fields", head, "X-More: " + std::string(1000, 'x') + "\r\n" },
        { "request line", "GET /", std::string(1000, 'x') },
        { "no HTTP", "", std::string(1000, '\x01') },
        { "body with a length", head + "Content-Length: 99999999999\r\n\r\n", std::string(16000, 'x') },
        { "chunks", head + "Transfer-Encoding: chunked\r\n\r\n",
            "400\r\n" + std::string(1024, 'x') + "\r\n" },
        { "chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;x=", std::string(1000, 'x') },
        { "many chunk extensions", head + "Transfer-Encoding: chunked\r\n\r\n",
            "1;x=" + std::string(12'000, 'x') + "\r\nx\r\n" },
        { "chunk size", head + "Transfer-Encoding: chunked\r\n\r\n", "0000000000" },
        { "trailer", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
            "X-T: " + std::string(1000, 'x') + "\r\n" },
    };
    GatewayFixture fixture;
    auto& replica = fixture.replica("ledger", "r1", serves("data"));
    fixture.configure(configurationOf({ singleRoute(true) }));
    fixture.runCaller<int>([&] {
        fixture.waitUntilReady();
        return 0;
    });
    for (const auto& endless : cases) {
        BOOST_TEST_CONTEXT(endless.name)
        {
            constexpr std::size_t maxBytes = std::size_t { 16 } * 1024 * 1024;
            const auto sent = fixture.runCaller<std::size_t>([&] {
                Caller caller(fixture.settings.callers.port);
                std::size_t bytes = 0;
                try {
                    caller.write(endless.beginning);
                    while (bytes < maxBytes) {
                        caller.write(endless.block);
                        bytes += endless.block.size();
                    }
                } catch (const boost::system::system_error&) {
                    // The gateway has closed the connection.
                }
                return bytes;
            });
            BOOST_TEST(sent < maxBytes);
        }
    }
    BOOST_TEST(replica.receivedRequests() == 0);
    BOOST_TEST(fixture.callWhenReady(GatewayFixture::request("/lookup/1", "id")).status == 200U);
}

// Another VM answers the question for changes without end: the view stays as it is, and the store is asked.
BOOST_AUTO_TEST_CASE(endlessAnswerOfPeerDoesNotKeepVmFromItsView)
{
    for (const auto& endless : endlessCases()) {
        GatewayFixture fixture;
        EndlessServer peer(fixture.ioContext, endless.beginning, endless.block, 0ms);
        fixture.settings.relay = { "127.0.0.1", fixture.freePort() };
        fixture.settings.seeds = { { "127.0.0.2", peer.port() } };
        fixture.replica("ledger", "r1", serves("data"));
        fixture.configure(configurationOf({ singleRoute(true) }));
        BOOST_TEST(fixture.callWhenReady(GatewayFixture::request("/lookup/1", "id")).status == 200U);
    }
}

// Guards against a request that waits for memory beyond its deadline and ends without a time to return: it
// has not run, so it is refused with 503.
BOOST_AUTO_TEST_CASE(requestThatWaitsForMemoryIsRefusedAtItsDeadline)
{
    constexpr std::size_t bodyBytes = std::size_t { 200 } * 1024;
    const auto upload = [](const std::string& id, int deadlineMillis) {
        return "POST /credit/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id
            + "\r\nDeadline: " + std::to_string(deadlineMillis)
            + "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    };
    GatewayFixture fixture;
    // Room for one of the bodies, but not for two.
    fixture.settings.memoryBytes = std::size_t { 1024 } * 1024;
    auto& replica = fixture.replica(
        "ledger", "r1", [](const http::RequestHead&, const std::string&) { return FakeResponse { "" }; });
    fixture.configure(configurationOf({ singleRoute(false) }));
    const auto response = fixture.runCaller<CallerResponse>([&] {
        fixture.waitUntilReady();
        Caller first(fixture.settings.callers.port);
        first.write(upload("id-1", 5000) + std::string(bodyBytes, 'x'));
        while (replica.receivedRequests() == 0)
            std::this_thread::sleep_for(10ms);
        Caller second(fixture.settings.callers.port);
        second.write(upload("id-2", 500));
        return second.read();
    });
    BOOST_TEST(response.status == 503U);
    BOOST_TEST(response.fields.contains("Retry-After"));
    BOOST_TEST(replica.receivedRequests() == 1);
}

// An unexpected error of a handler ends that handler, not the process.
BOOST_AUTO_TEST_CASE(unexpectedErrorsDoNotEndTheProcess)
{
    GatewayFixture fixture;
    fixture.dialect.parseLoad = [](std::string_view text) -> std::optional<upstreams::ReportedLoad> {
        if (text == "bad")
            throw std::runtime_error("unexpected");
        return std::nullopt;
    };
    const auto decode = fixture.layout.decode;
    fixture.layout.decode = [decode](const store::KeyValue& entry, Error& reason) {
        if (entry.key == "bad")
            throw std::runtime_error("unexpected");
        return decode(entry, reason);
    };
    // Sorted before the other keys, which still have to be applied.
    fixture.store.set("bad", "");
    bool bad = true;
    fixture.replica("ledger", "r1", [&](const http::RequestHead& head, const std::string&) {
        const std::string load = bad ? "Load: bad\r\n" : "";
        return FakeResponse { "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(*head.fields.find("Request-Id"))
            + "\r\nSignature: s\r\n" + load + "Content-Length: 4\r\n\r\ndata" };
    });
    fixture.configure(configurationOf({ singleRoute(true) }));
    const auto status = fixture.callWhenReady(GatewayFixture::request("/lookup/1", "id-1", 300)).status;
    BOOST_TEST((status == 502U || status == 504U));
    BOOST_TEST(fixture.handlerErrors >= 1);
    bad = false;
    BOOST_TEST(fixture.callWhenReady(GatewayFixture::request("/lookup/1", "id-2")).status == 200U);
}

// Counts in headers that overflow a duration must not turn a deadline or a time-out into one that has passed.
BOOST_AUTO_TEST_CASE(hugeDurationsInHeadersAreTakenForLongOnes)
{
    // As nanoseconds in 64 bits these would be negative.
    const std::string hugeMillis = "9300000000000";
    const std::string hugeSeconds = "9300000000";
    GatewayFixture fixture;
    auto& replica = fixture.replica("ledger", "r1", [&](const http::RequestHead& head, const std::string&) {
        auto response = GatewayFixture::signedResponse(head, "sig", "data");
        return FakeResponse { response.insert(
            response.find("\r\n") + 2, "Keep-Alive: timeout=" + hugeSeconds + "\r\n") };
    });
    fixture.configure(configurationOf({ singleRoute(true) }));
    for (int i = 0; i < 3; ++i) {
        const auto response = fixture.callWhenReady("GET /lookup/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: id-"
            + std::to_string(i) + "\r\nDeadline: " + hugeMillis + "\r\n\r\n");
        BOOST_TEST(response.status == 200U);
    }
    BOOST_TEST(replica.openConnections() == 1);
    for (const auto& deadline : replica.deadlines())
        BOOST_TEST(std::stoll(deadline) <= 5000);
    BOOST_TEST((statedDuration(1500, 1ms) == 1500ms));
    BOOST_TEST((statedDuration(~std::uint64_t { 0 }, 1s) == maxStatedDuration));
}

// The process runs out of descriptors: it must neither spin nor stop accepting for good.
BOOST_AUTO_TEST_CASE(lackOfDescriptorsEndsNeitherProcessNorService)
{
    GatewayFixture fixture;
    fixture.replica("ledger", "r1", serves("data"));
    fixture.configure(configurationOf({ singleRoute(true) }));
    BOOST_TEST(fixture.callWhenReady(GatewayFixture::request("/lookup/1", "id-0")).status == 200U);

    Caller waiting(fixture.settings.callers.port);
    waiting.write(GatewayFixture::request("/lookup/1", "id-1"));
    rlimit before {};
    ::getrlimit(RLIMIT_NOFILE, &before);
    // All descriptors below the limit are in use already, or are the standard streams.
    const rlimit none { 3, before.rlim_max };
    ::setrlimit(RLIMIT_NOFILE, &none);
    fixture.ioContext.restart();
    const auto handlers = fixture.ioContext.run_for(500ms);
    ::setrlimit(RLIMIT_NOFILE, &before);
    BOOST_TEST(handlers < 1000U);
    BOOST_TEST(fixture.runCaller<CallerResponse>([&] { return waiting.read(); }).status == 200U);
}
