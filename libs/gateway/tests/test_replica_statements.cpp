#include "gateway_fixture.h"
#include "test_routes.h"
#include "upstream_response.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::gateway;
using namespace std::chrono_literals;

namespace {

/** A success with a further header field. */
FakeReplica::Script servesWith(const std::string& field)
{
    return [field](const http::RequestHead& head, const std::string&) {
        auto response = GatewayFixture::signedResponse(head, "sig", "data");
        return FakeResponse { response.insert(response.find("\r\n") + 2, field + "\r\n") };
    };
}

FakeReplica::Script refusesFor(const std::string& retryAfter)
{
    return respondsWith(
        "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRetry-After: " + retryAfter + "\r\nContent-Length: 0\r\n\r\n");
}

http::ResponseHead headOf(unsigned status, std::initializer_list<http::Field> fields)
{
    http::ResponseHead head;
    head.status = status;
    for (const auto& field : fields)
        head.fields.add(field.name, field.value);
    return head;
}

} // namespace

BOOST_AUTO_TEST_CASE(statementsAreReadFromAnyResponse)
{
    const GatewayFixture fixture;
    const UpstreamId id("r1");
    const auto read = [&](unsigned status, std::initializer_list<http::Field> fields) {
        return readStatement(headOf(status, fields), id, fixture.dialect);
    };
    for (const unsigned status : { 200U, 421U, 429U, 500U, 503U })
        BOOST_TEST(read(status, { { "Leaving", "1" }, { "Upstream", "r1" } }).statement.leaving);
    BOOST_TEST((read(503, { { "Retry-After", "1.5" } }).statement.restFor == 1500ms));
    BOOST_TEST((read(503, { { "Retry-After", "99999999" } }).statement.restFor == maxStatedDuration));
    BOOST_TEST((read(200, { { "Cold", "800" } }).statement.coldFor == 800ms));
    BOOST_TEST(!read(500, { { "Retry-After", "1.5" } }).statement.restFor);
    // Another replica at the address of the one that was meant.
    BOOST_TEST(!read(421, { { "Leaving", "1" }, { "Upstream", "r2" } }).statement.leaving);
    BOOST_TEST(!read(421, { { "Leaving", "1" } }).statement.leaving);
    for (const std::string_view odd : { "", "0", "true", "11", "-1" }) {
        const auto result = read(200, { { "Leaving", odd } });
        BOOST_TEST(!result.statement.leaving);
        BOOST_TEST(result.isMalformed);
    }
    for (const std::string_view odd : { "", "-1", "1e3", "inf", "1.", ".5", "1.5.5", "0x1", "soon",
             "Wed, 21 Oct 2026 07:28:00 GMT", "1.0000000000" }) {
        const auto result = read(503, { { "Retry-After", odd } });
        BOOST_TEST(!result.statement.restFor, odd);
        BOOST_TEST(result.isMalformed, odd);
    }
    BOOST_TEST(!read(200, {}).isMalformed);
}

// Guards against requests to a replica that leaves before its registration says so, or never does.
BOOST_AUTO_TEST_CASE(replicaThatSaysItLeavesReceivesNoFurtherRequests)
{
    GatewayFixture fixture;
    auto& leaving = fixture.replica("ledger", "r1", servesWith("Leaving: 1"));
    auto& other = fixture.replica("ledger", "r2", serves("data"));
    fixture.configure(configurationOf({ singleRoute(false) }));
    for (int i = 0; i < 20; ++i) {
        const auto response
            = fixture.callWhenReady(GatewayFixture::request("/credit/1", "id-" + std::to_string(i)));
        BOOST_TEST(response.status == 200U);
        BOOST_TEST(!response.fields.contains("Leaving"));
    }
    BOOST_TEST(leaving.receivedRequests() <= 1);
    BOOST_TEST(leaving.receivedRequests() + other.receivedRequests() == 20);
}

BOOST_AUTO_TEST_CASE(requestIsRefusedAtOnceWhenAllReplicasLeave)
{
    GatewayFixture fixture;
    auto& leaving = fixture.replica("ledger", "r1", servesWith("Leaving: 1"));
    fixture.configure(configurationOf({ singleRoute(false) }));
    BOOST_TEST(fixture.callWhenReady(GatewayFixture::request("/credit/1", "id-1")).status == 200U);
    const auto before = BootClock::now();
    const auto response = fixture.callWhenReady(GatewayFixture::request("/credit/1", "id-2", 20000));
    BOOST_TEST(response.status == 503U);
    BOOST_TEST(response.fields.contains("Retry-After"));
    BOOST_TEST((BootClock::now() - before < 5s));
    BOOST_TEST(leaving.receivedRequests() == 1);
}

// Guards against requests to a replica that has asked for none for a time; the others serve meanwhile.
BOOST_AUTO_TEST_CASE(replicaThatAsksForRestReceivesNoRequestsMeanwhile)
{
    GatewayFixture fixture;
    auto& full = fixture.replica("ledger", "r1", refusesFor("600"));
    fixture.replica("ledger", "r2", serves("data"));
    fixture.configure(configurationOf({ singleRoute(false) }));
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(
            fixture.callWhenReady(GatewayFixture::request("/credit/1", "id-" + std::to_string(i))).status
            == 200U);
    BOOST_TEST(full.receivedRequests() <= 1);
}

// The caller learns when the only replica wants requests again, and is not kept waiting until its deadline.
BOOST_AUTO_TEST_CASE(requestIsRefusedWithTheEndOfTheRest)
{
    GatewayFixture fixture;
    auto& full = fixture.replica("ledger", "r1", refusesFor("600"));
    fixture.replica("shard-0", "r2", refusesFor("600"));
    fixture.configure(configurationOf({ singleRoute(true), gatherRoute(1, 1) }));
    for (const std::string path : { "/lookup/1", "/lookup/2", "/sweep/1", "/sweep/2" }) {
        const auto response = fixture.callWhenReady(GatewayFixture::request(path, "id" + path, 20000));
        BOOST_TEST(response.status == 503U);
        BOOST_TEST(std::stod(response.fields.at("Retry-After")) > 500);
    }
    BOOST_TEST(full.receivedRequests() == 1);
}

// A rest that ends within the latency objective is waited for.
BOOST_AUTO_TEST_CASE(requestWaitsForShortRestOfTheOnlyReplica)
{
    GatewayFixture fixture;
    int requests = 0;
    fixture.replica("ledger", "r1", [&](const http::RequestHead& head, const std::string&) {
        return ++requests == 1 ? refusesFor("0.1")(head, "")
                               : FakeResponse { GatewayFixture::signedResponse(head, "sig", "data") };
    });
    auto route = singleRoute(false);
    route.latencyObjective = 10s;
    fixture.configure(configurationOf({ route }));
    BOOST_TEST(fixture.callWhenReady(GatewayFixture::request("/credit/1", "id")).status == 200U);
    BOOST_TEST(requests == 2);
}

BOOST_AUTO_TEST_CASE(oddStatementsHaveNoEffect)
{
    for (const std::string field : { "Leaving: 0", "Leaving: yes", "Retry-After: 600", "Cold: x" }) {
        GatewayFixture fixture;
        auto& replica = fixture.replica("ledger", "r1", servesWith(field));
        fixture.configure(configurationOf({ singleRoute(false) }));
        for (int i = 0; i < 3; ++i)
            BOOST_TEST(
                fixture.callWhenReady(GatewayFixture::request("/credit/1", "id-" + std::to_string(i))).status
                == 200U);
        BOOST_TEST(replica.receivedRequests() == 3);
    }
}
