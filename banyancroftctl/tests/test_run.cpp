#include "ctl/run.h"

#include "table.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include <sstream>
#include <thread>

using namespace banyancroft;
using namespace banyancroft::ctl;

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;

// Responds to one request with a fixed status and body; with status 0 it closes the connection instead.
class SingleResponseServer {
public:
    SingleResponseServer(unsigned status, std::string body)
        : acceptor_(ioContext_, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , thread_([this, status, body = std::move(body)] { serve(status, body); })
    {
    }
    ~SingleResponseServer() { thread_.join(); }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    http::request<http::string_body> request;

private:
    void serve(unsigned status, const std::string& body)
    {
        tcp::socket socket = acceptor_.accept();
        beast::flat_buffer buffer;
        http::read(socket, buffer, request);
        if (status == 0)
            return;
        http::response<http::string_body> response(static_cast<http::status>(status), 11, body);
        response.prepare_payload();
        http::write(socket, response);
    }

    boost::asio::io_context ioContext_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

struct Result {
    ExitCode code = ExitDone;
    std::string out;
    std::string err;
};

Result runAt(std::uint16_t port, const std::vector<std::string>& arguments)
{
    const Settings settings { "127.0.0.1", port, "secret", std::chrono::seconds(30), Format::Json };
    std::ostringstream out;
    std::ostringstream err;
    const ExitCode code = run(settings, arguments, out, err);
    return { code, out.str(), err.str() };
}

ExitCode exitCodeFor(unsigned status, const std::string& body, const std::string& statement)
{
    SingleResponseServer server(status, body);
    return runAt(server.port(), { statement }).code;
}

std::string example() { return std::string(BANYANCROFT_EXAMPLES) + "/pilak-balik.json"; }

} // namespace

// Guards against an exit code by which a script repeats a command that took effect or gives up one that did
// not.
BOOST_AUTO_TEST_CASE(exitCodeReflectsOutcomeOfStatement)
{
    BOOST_TEST(exitCodeFor(200, "{}", "status") == ExitDone);
    BOOST_TEST(exitCodeFor(404, R"({"outcome":"not_run"})", "take out zone x") == ExitFailed);
    BOOST_TEST(exitCodeFor(503, R"({"outcome":"not_run"})", "take out zone x") == ExitFailed);
    BOOST_TEST(exitCodeFor(409, R"({"outcome":"not_run"})", "take out zone x if version 3") == ExitConflict);
    BOOST_TEST(exitCodeFor(504, R"({"outcome":"unknown"})", "take out zone x") == ExitUnknown);
    BOOST_TEST(exitCodeFor(504, "", "submit return_credit key \"k\" {}") == ExitUnknown);
    BOOST_TEST(exitCodeFor(0, "", "take out zone x") == ExitUnknown);
    BOOST_TEST(exitCodeFor(0, "", "status") == ExitFailed);
}

// Guards against reporting an unknown outcome when the daemon cannot be reached and nothing was sent.
BOOST_AUTO_TEST_CASE(refusedConnectionIsDefiniteFailure)
{
    boost::asio::io_context ioContext;
    tcp::acceptor acceptor(ioContext, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    const std::uint16_t port = acceptor.local_endpoint().port();
    acceptor.close();
    const Result result = runAt(port, { "take out zone x" });
    BOOST_TEST(result.code == ExitFailed);
    BOOST_TEST(result.err.find("127.0.0.1") != std::string::npos);
}

// Guards against sending anything for an invalid invocation. No server listens on port 1, so that sending
// would end with another exit code.
BOOST_AUTO_TEST_CASE(invalidUsageIsRejectedBeforeSending)
{
    BOOST_TEST(runAt(1, {}).code == ExitUsage);
    BOOST_TEST(runAt(1, { "take out zone" }).code == ExitUsage);
    BOOST_TEST(runAt(1, { "config", "chek", "x" }).code == ExitUsage);
    BOOST_TEST(runAt(1, { "config", "check", "/no/such/file" }).code == ExitUsage);
    for (const RawSettings& raw :
        { RawSettings { "localhost", "", "10s", "table" }, RawSettings { "127.0.0.1:0", "", "10s", "table" },
            RawSettings { "127.0.0.1:1", "", "10", "table" }, RawSettings { "127.0.0.1:1", "", "10s", "xml" },
            RawSettings { "127.0.0.1:1", "a b", "10s", "json" } }) {
        Error reason;
        BOOST_TEST(!checkSettings(raw, reason).has_value());
        BOOST_TEST(reason.message.starts_with("--"));
        BOOST_TEST(!reason.remedy.empty());
    }
}

// Guards against `config put` sending a request without the whole document, the credential or the version.
BOOST_AUTO_TEST_CASE(configPutSendsDocumentCredentialAndVersion)
{
    SingleResponseServer server(200, "{}");
    BOOST_TEST(runAt(server.port(), { "config", "put", example(), "if", "version", "0" }).code == ExitDone);
    BOOST_TEST(server.request.target() == "/v1/query");
    BOOST_TEST(server.request[http::field::authorization] == "Bearer secret");
    BOOST_TEST(server.request.body().starts_with("load config {\"schema\":1,"));
    BOOST_TEST(server.request.body().ends_with("} if version 0"));
    const Result checkResult = runAt(1, { "config", "check", example() });
    BOOST_TEST(checkResult.code == ExitDone);
    BOOST_TEST(checkResult.out.find("113 upstreams") != std::string::npos);
}

// Guards against misaligned columns, which would show a value under the wrong heading.
BOOST_AUTO_TEST_CASE(tableColumnsAlign)
{
    BOOST_TEST(renderTable(R"({"version":7,"a":{"b":true},"rows":[{"id":"þ","n":1},{"id":"long","m":[2]}]})")
        == "version  7\na.b      true\n\nrows\nid    n  m\nþ     1\nlong     [2]\n");
    BOOST_TEST(renderTable("not json") == "not json");
}
