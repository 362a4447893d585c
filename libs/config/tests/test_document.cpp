#include "config/document_json.h"
#include "config/validation.h"
#include "example.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::config;

namespace {

const std::string& minimalDocument()
{
    static const std::string text = R"({"schema":1,"version":3,"layout_version":2,"deployment":"d",
"zones":[{"id":"z1","region":"r","serving":true}],
"services":[{"id":"s","slots":3,"connections":30,"cold_limit":1,"groups":[{"id":"g","shards":["h"],
"upstreams":[{"id":"u","address":"127.0.0.1","port":1000,"zone":"z1"}]}]}],
"collections":[{"name":"c","services":["s"]}],
"operations":[{"name":"o","service":"s","non_idempotent":true}]})";
    return text;
}

// Error message for the minimal document with one part replaced.
std::string errorAfter(const std::string& from, const std::string& to)
{
    std::string text = minimalDocument();
    const auto position = text.find(from);
    BOOST_REQUIRE(position != std::string::npos);
    text.replace(position, from.size(), to);
    Error reason;
    BOOST_TEST(!parseDocument(text, reason).has_value());
    BOOST_TEST((reason.kind == ErrorKind::InvalidInput));
    BOOST_TEST(!reason.remedy.empty());
    return reason.message;
}

std::size_t upstreamCount(const Document& document, std::string_view service)
{
    std::size_t count = 0;
    for (const Service& candidate : document.services) {
        for (const ShardGroup& group : candidate.groups)
            count += candidate.id.view() == service ? group.upstreams.size() : 0;
    }
    return count;
}

} // namespace

// Guards against a field that is lost when a document is written back, which would silently change the
// deployment.
BOOST_AUTO_TEST_CASE(serialisedDocumentParsesToEqualDocument)
{
    for (const std::string& text :
        { minimalDocument(), readExample("pilak-balik.json"), readExample("hunangsthak.json") }) {
        Error reason;
        auto document = parseDocument(text, reason);
        BOOST_REQUIRE_MESSAGE(document.has_value(), reason);
        auto reparsed = parseDocument(toJson(*document), reason);
        BOOST_REQUIRE_MESSAGE(reparsed.has_value(), reason);
        BOOST_TEST((*reparsed == *document));
    }
}

// Measurements with the examples are valid for the two deployments only at the same number of upstreams.
BOOST_AUTO_TEST_CASE(examplesHaveUpstreamCountsOfTheDeployments)
{
    Error reason;
    auto pilakBalik = parseDocument(readExample("pilak-balik.json"), reason);
    auto hunangsthak = parseDocument(readExample("hunangsthak.json"), reason);
    BOOST_REQUIRE(pilakBalik && hunangsthak);
    BOOST_TEST(upstreamCount(*pilakBalik, "dispatch-desk") == 30U);
    BOOST_TEST(upstreamCount(*pilakBalik, "credit-ledger") == 45U);
    BOOST_TEST(upstreamCount(*pilakBalik, "yard-scan") == 25U);
    BOOST_TEST(upstreamCount(*pilakBalik, "client-portal") == 13U);
    BOOST_TEST(upstreamCount(*hunangsthak, "bykupa-skra") == 30U);
    BOOST_TEST(upstreamCount(*hunangsthak, "leigjandi-gatt") == 45U);
    BOOST_TEST(upstreamCount(*hunangsthak, "leigusamningar") == 4U);
    BOOST_TEST(upstreamCount(*hunangsthak, "reikningar") == 4U);
}

// Guards against errors without a position, which an operator could not find in a document of 100 KB.
BOOST_AUTO_TEST_CASE(errorStartsWithJsonPointerOfInvalidValue)
{
    const auto startsWith = [](const std::string& text, std::string_view prefix) {
        BOOST_TEST(text.starts_with(prefix), text << " does not start with " << prefix);
    };
    startsWith(errorAfter("\"slots\":3", "\"slots\":0"), "/services/0/slots: ");
    startsWith(errorAfter("\"slots\":3", "\"slots\":3.5"), "/services/0/slots: ");
    startsWith(errorAfter("\"slots\":3", "\"slots\":-3"), "/services/0/slots: ");
    startsWith(errorAfter("\"slots\":3", "\"slots\":99999999999"), "/services/0/slots: ");
    startsWith(errorAfter("\"slots\":3,", ""), "/services/0/slots: the field is missing");
    startsWith(errorAfter("\"slots\":3", "\"slots\":3,\"slot~/s\":3"), "/services/0/slot~0~1s: unknown");
    startsWith(errorAfter("\"slots\":3", "\"slots\":3,\"slots\":4"), "/services/0/slots: the key appears");
    startsWith(errorAfter("\"connections\":30", "\"connections\":2"), "/services/0/connections: ");
    startsWith(errorAfter("\"cold_limit\":1", "\"cold_limit\":4"), "/services/0/cold_limit: ");
    startsWith(errorAfter("\"port\":1000", "\"port\":70000"), "/services/0/groups/0/upstreams/0/port: ");
    startsWith(errorAfter("127.0.0.1", "localhost"), "/services/0/groups/0/upstreams/0/address: ");
    startsWith(errorAfter("\"zone\":\"z1\"", "\"zone\":\"z2\""), "/services/0/groups/0/upstreams/0/zone: ");
    startsWith(errorAfter("[\"h\"]", "[\"h\",\"h\"]"), "/services/0/groups/0/shards/1: ");
    startsWith(errorAfter("[\"h\"]", "[]"), "/services/0/groups/0/shards: ");
    startsWith(errorAfter("[\"h\"]", "[7]"), "/services/0/groups/0/shards/0: ");
    startsWith(errorAfter("\"services\":[\"s\"]", "\"services\":[\"t\"]"), "/collections/0/services/0: ");
    startsWith(errorAfter("\"service\":\"s\"", "\"service\":\"t\""), "/operations/0/service: ");
    startsWith(errorAfter(",\"non_idempotent\":true", ""), "/operations/0/non_idempotent: ");
    startsWith(errorAfter("\"id\":\"u\"", "\"id\":\"u/1\""), "/services/0/groups/0/upstreams/0/id: ");
    startsWith(errorAfter("\"schema\":1", "\"schema\":2"), "/schema: ");
    startsWith(errorAfter("\"version\":3", "\"version\":0"), "/version: ");
    startsWith(
        errorAfter("\"zones\"", "\"policy\":{\"hedge_quantile\":1.5},\"zones\""), "/policy/hedge_quantile: ");
    startsWith(errorAfter("\"zones\"", "\"policy\":{\"default_deadline_ms\":3000},\"zones\""),
        "/policy/default_deadline_ms: ");
    startsWith(errorAfter("\"version\":3", "\"version\":3,,"), "not JSON: ");
}

// Guards against two ids for one process, which would together admit twice its limit.
BOOST_AUTO_TEST_CASE(duplicateEndpointIsRejected)
{
    const std::string message = errorAfter(
        "\"zone\":\"z1\"}", R"("zone":"z1"},{"id":"v","address":"127.0.0.1","port":1000,"zone":"z1"})");
    BOOST_TEST(message.starts_with("/services/0/groups/0/upstreams/1/port: "));
}

// Guards against hostile input that exhausts memory or overflows the stack.
BOOST_AUTO_TEST_CASE(oversizedOrDeeplyNestedInputIsRejected)
{
    Error reason;
    BOOST_TEST(!parseDocument(std::string(maxDocumentBytes + 1, ' '), reason).has_value());
    BOOST_TEST(reason.message.find("1000001 bytes") != std::string::npos);
    BOOST_TEST(!parseDocument(std::string(900'000, '['), reason).has_value());
    BOOST_TEST(reason.message.find("nested deeper") != std::string::npos);
    for (const char* text : { "", "[]", "7", "null", "{}" })
        BOOST_TEST(!parseDocument(text, reason).has_value());
}
