#include "gateway_fixture.h"
#include "test_routes.h"
#include "upstream_response.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::gateway;

namespace {

/** Status lines that are no final answer. */
const std::vector<std::string> invalidStatusLines { "HTTP/1.1 000 Zero", "HTTP/1.1 001 One",
    "HTTP/1.1 099 Low", "HTTP/1.1 600 High", "HTTP/1.1 999 Top", "HTTP/1.1 20 Short", "HTTP/1.1 2000 Long",
    "HTTP/1.1 0200 Long", "HTTP/1.1 -20 Sign", "HTTP/1.1 2x0 Letter", "HTTP/1.1  Missing", "HTTP/2.5 200 OK",
    "HTTP/1.1 101 Switching Protocols" };

/** An answer with a valid signature and request ID, so that only its status line is wrong. */
FakeReplica::Script respondsWithLine(const std::string& statusLine, const std::string& field)
{
    return [=](const http::RequestHead& head, const std::string&) {
        return FakeResponse { statusLine + "\r\nRequest-Id: " + std::string(*head.fields.find("Request-Id"))
            + "\r\nSignature: s\r\n" + field + "Content-Length: 4\r\n\r\ndata" };
    };
}

} // namespace

// Guards against an answer with an invalid status that reaches the caller, and against one that is believed
// when it says that the request has not run.
BOOST_AUTO_TEST_CASE(invalidStatusIsAFailureOfTheReplica)
{
    for (const auto& line : invalidStatusLines) {
        for (const std::string field : { "", "Not-Run: 1\r\n" }) {
            GatewayFixture fixture;
            auto& replica = fixture.replica("ledger", "r1", respondsWithLine(line, field));
            fixture.configure(configurationOf({ singleRoute(false) }));
            const auto response = fixture.callWhenReady(GatewayFixture::request("/credit/1", "id", 1500));
            BOOST_TEST(response.status == 502U, line << " " << field);
            BOOST_TEST(response.body.empty(), line);
            BOOST_TEST(replica.receivedRequests() == 1, line << " " << field);
        }
    }
}

// Guards against an idempotent request that fails although another replica would serve it.
BOOST_AUTO_TEST_CASE(requestIsRetriedAfterInvalidStatus)
{
    for (const auto& line : invalidStatusLines) {
        GatewayFixture fixture;
        fixture.replica("ledger", "r1", respondsWithLine(line, ""));
        fixture.replica("ledger", "r2", serves("data"));
        fixture.configure(configurationOf({ singleRoute(true) }));
        for (int i = 0; i < 4; ++i) {
            const auto response
                = fixture.callWhenReady(GatewayFixture::request("/lookup/1", "id-" + std::to_string(i)));
            BOOST_TEST(response.status == 200U, line);
        }
    }
}

// Guards against an interim answer that is passed on or taken for the end of the request.
BOOST_AUTO_TEST_CASE(interimAnswerWithoutFinalOneIsAFailure)
{
    GatewayFixture fixture;
    fixture.replica("ledger", "r1", respondsWith("HTTP/1.1 100 Continue\r\n\r\n", true));
    fixture.configure(configurationOf({ singleRoute(false) }));
    BOOST_TEST(fixture.callWhenReady(GatewayFixture::request("/credit/1", "id")).status == 502U);
}

// Guards the conversion itself, whichever way an answer has come here.
BOOST_AUTO_TEST_CASE(invalidStatusIsNeverForwarded)
{
    const GatewayFixture fixture;
    for (const unsigned status : { 0U, 99U, 100U, 101U, 199U, 600U, 999U }) {
        http::ResponseHead head;
        head.status = status;
        BOOST_TEST(forwardedResponse(head, "data", fixture.dialect).status == 502U);
        head.fields.add("Not-Run", "1");
        BOOST_TEST((classifyResponse(head, fixture.dialect) == ResponseKind::Failure));
    }
}
