#include "query/parser.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::query;
using namespace std::chrono_literals;

namespace {

template <typename Kind> Kind parseAs(std::string_view text)
{
    Error reason;
    auto statement = parseStatement(text, reason);
    BOOST_REQUIRE_MESSAGE(statement.has_value(), text << ": " << reason);
    BOOST_REQUIRE_MESSAGE(
        std::holds_alternative<Kind>(*statement), text << " was parsed as another kind of statement");
    return std::get<Kind>(*statement);
}

std::string errorOf(std::string_view text)
{
    Error reason;
    BOOST_TEST(!parseStatement(text, reason).has_value(), text << " was accepted");
    BOOST_TEST((reason.kind == ErrorKind::InvalidInput));
    BOOST_TEST(!reason.remedy.empty());
    return reason.message;
}

std::string normalised(std::string_view where)
{
    Error reason;
    auto text = normaliseCondition(where, reason);
    return text ? *text : toString(reason);
}

} // namespace

// Guards against a clause that is ignored or stored in the wrong field.
BOOST_AUTO_TEST_CASE(searchClausesAreParsedInAnyOrder)
{
    const auto search
        = parseAs<Search>("search manifests where island = \"Cebu\" limit 50 deadline 150ms require all");
    BOOST_TEST((search == Search { "manifests", "island = \"Cebu\"", 50, 150ms, true }));
    // The clauses may come in any order.
    BOOST_TEST((parseAs<Search>("search manifests require all deadline 0.15s limit 50 where island=\"Cebu\"")
        == search));
    BOOST_TEST((parseAs<Search>("search manifests") == Search { "manifests", "", {}, {}, false }));
}

// Guards against a truncated or altered payload, with which an upstream would run another operation than
// requested.
BOOST_AUTO_TEST_CASE(submitKeepsKeyAndPayloadUnchanged)
{
    const auto submit
        = parseAs<Submit>(R"(submit return_credit key "c-17" { "a": "}{\"" , "b": [1] } deadline 2s)");
    BOOST_TEST(submit.operation == "return_credit");
    BOOST_TEST(submit.key.view() == "c-17");
    BOOST_TEST(submit.payload == R"({ "a": "}{\"" , "b": [1] })");
    BOOST_TEST((submit.deadline == 2s));
    BOOST_TEST(parseAs<Submit>("submit register_scan {}").key.empty());
}

// Guards against a command that is parsed with another target, setting or option than written.
BOOST_AUTO_TEST_CASE(operatorCommandsAreParsed)
{
    const config::EditOptions versionAndForce { ConfigVersion { 7 }, true };
    BOOST_TEST((parseAs<TakeOutZone>("take out zone az2 if version 7 force")
        == TakeOutZone { AvailabilityZone("az2"), versionAndForce }));
    BOOST_TEST((parseAs<ReturnZone>("return zone az2") == ReturnZone { AvailabilityZone("az2"), {} }));
    BOOST_TEST((parseAs<DrainUpstream>("drain upstream u-17") == DrainUpstream { UpstreamId("u-17"), {} }));
    BOOST_TEST(
        (parseAs<UndrainUpstream>("undrain upstream u-17") == UndrainUpstream { UpstreamId("u-17"), {} }));
    BOOST_TEST((parseAs<SetService>("set service dispatch-desk cold_limit 1 force if version 7")
        == SetService { ServiceId("dispatch-desk"), config::ServiceSetting::ColdLimit, std::uint64_t { 1 },
            versionAndForce }));
    BOOST_TEST((parseAs<SetService>("set service s connect_time 6ms")
        == SetService { ServiceId("s"), config::ServiceSetting::ConnectTime, Duration(6ms), {} }));
    BOOST_TEST((
        parseAs<SetPolicy>("set policy hedge off") == SetPolicy { config::PolicySetting::Hedge, false, {} }));
    BOOST_TEST((parseAs<SetPolicy>("set policy hedge_quantile 0.99")
        == SetPolicy { config::PolicySetting::HedgeQuantile, 0.99, {} }));
    BOOST_TEST((parseAs<LoadConfig>("load config {\"schema\":1} if version 7 force")
        == LoadConfig { "{\"schema\":1}", versionAndForce }));
    BOOST_TEST((parseAs<ReleaseZone>("release zone az1") == ReleaseZone { AvailabilityZone("az1") }));
    BOOST_TEST((parseAs<Show>("show config") == Show { ShowTopic::Config }));
    BOOST_TEST((parseAs<Status>(" status ") == Status {}));
    BOOST_TEST((parseAs<Explain>("explain 4bf92f35") == Explain { "4bf92f35" }));
}

// Guards against different texts for the same condition, since upstreams compare and cache the text.
BOOST_AUTO_TEST_CASE(conditionsAreNormalised)
{
    BOOST_TEST(normalised("a=1 and  b!=2 or c<3") == "a = 1 and b != 2 or c < 3");
    BOOST_TEST(normalised("(a=1) and ((b>=2) or c<=3)") == "a = 1 and (b >= 2 or c <= 3)");
    BOOST_TEST(normalised("((a=1 and b=2) and c=3)") == "a = 1 and b = 2 and c = 3");
    BOOST_TEST(normalised("not not a=1") == "a = 1");
    BOOST_TEST(normalised("not (not (a=1 or b=2))") == "a = 1 or b = 2");
    BOOST_TEST(normalised("not not not a = 1 and b = 2") == "not a = 1 and b = 2");
    BOOST_TEST(normalised("not (a=1 and b=2)") == "not (a = 1 and b = 2)");
    BOOST_TEST(normalised(R"(s = "\u0043ebu \"x\" \n Hunangsþak")") == R"(s = "Cebu \"x\" \n Hunangsþak")");
    BOOST_TEST(normalised("a = -1.50e2 or b = true or c.d = null") == "a = -150.0 or b = true or c.d = null");
}

// Guards against errors with which a caller cannot find and correct the mistake in a long statement.
BOOST_AUTO_TEST_CASE(errorsNameColumnExpectedAndFoundText)
{
    const auto expect = [](std::string_view text, std::string_view message) {
        const std::string error = errorOf(text);
        BOOST_TEST(error.find(message) != std::string::npos, error << " does not contain " << message);
    };
    expect("", "column 1: expected a statement (search, submit");
    expect("serch manifests", "column 1: expected a statement (search, submit");
    expect("search", "column 7: expected the name of a collection, found the end of the statement");
    expect(
        "search manifests where", "column 23: expected a condition (a field, 'not' or '('), found the end");
    expect("search manifests where island \"Cebu\"",
        "column 31: expected a comparison (=, !=, <, <=, > or >=), found '\"Cebu\"'");
    expect("search manifests where island = Cebu", "column 33: expected a value (string, number");
    expect("search manifests where (a = 1", "column 30: expected ')', found the end");
    expect(
        "search manifests where s = \"þ\" limmit 5", "column 32: expected 'and', 'or', or once each 'where'");
    expect("search manifests limit 5 limit 6", "column 26: expected 'and', 'or', or once each");
    expect("search manifests limit -1", "column 24: expected a whole number, found '-1'");
    expect("search manifests limit 99999999999999999999", "column 24: expected a whole number");
    expect("search manifests deadline 150", "column 27: expected a duration from 1us to 60m");
    expect("search manifests deadline 2h", "column 27: expected a duration from 1us to 60m");
    expect("search manifests deadline 0ms", "column 27: expected a duration from 1us to 60m");
    expect("search manifests require everything", "column 26: expected 'all', found 'everything'");
    expect("search manifests where a = 123456789012345678901234567890", "column 28: expected a value");
    expect("search manifests where a = \"\\x\"", "column 28: expected a value");
    expect("search manifests\nwhere a ~ 1", "line 2, column 9: expected a comparison");
    expect("submit return_credit", "column 21: expected a JSON object, found the end");
    expect("submit return_credit key \"\" {}", "column 26: expected a string of 1 to 200 printable");
    expect("submit return_credit {\"a\":tru}", "column 30: not JSON");
    expect("submit return_credit {\"a\":1", "column 28: the JSON object is not closed");
    expect("take zone az2", "column 6: expected 'out', found 'zone'");
    expect("set service s colour 1", "column 15: expected a setting of a service (slots, connections");
    expect("set policy hedge maybe", "column 18: expected 'on' or 'off', found 'maybe'");
    expect("set policy queue_limit 5ms", "column 24: expected a whole number, found '5ms'");
    expect("set zone az1", "column 5: expected 'service' or 'policy', found 'zone'");
    expect("return zone az2 if version", "column 27: expected a whole number");
    expect("release zone az1 now", "column 18: expected the end of the statement, found 'now'");
    expect("show me", "column 6: expected 'coverage', 'config' or 'views', found 'me'");
}

// Guards against hostile input that overflows the stack or passes on invalid UTF-8.
BOOST_AUTO_TEST_CASE(oversizedDeeplyNestedOrNonUtf8InputIsRejected)
{
    const auto contains = [](const std::string& text, std::string_view part) {
        BOOST_TEST(text.find(part) != std::string::npos, text << " does not contain " << part);
    };
    contains(
        errorOf("search m where s = \"" + std::string(maxStatementBytes, 'x') + "\""), "the limit is 8192");
    contains(
        errorOf("search m where " + std::string(8000, '(')), "column 48: the condition is nested deeper");
    contains(errorOf("submit o {\"a\":" + std::string(8000, '[')), "nested deeper than 32");
    contains(errorOf("search m where s = \"\xff\""), "UTF-8");
    contains(errorOf("search m where s = \"a\nb\""), "expected a value");
    contains(errorOf("load" + std::string(maxLoadConfigBytes, ' ')), "the limit is");
    const std::string deep = std::string(maxNesting, '(') + "a = 1" + std::string(maxNesting, ')');
    BOOST_TEST(normalised(deep) == "a = 1");
    std::string manyNots = "a = 1";
    for (int i = 0; i < 1001; ++i)
        manyNots.insert(0, "not ");
    BOOST_TEST(normalised(manyNots) == "not a = 1");
}

// Guards against a statement that changes the deployment but does not require the operators' credential.
BOOST_AUTO_TEST_CASE(onlyStatementsThatChangeTheDeploymentAreOperatorCommands)
{
    for (const char* text : { "take out zone a", "return zone a", "drain upstream u", "undrain upstream u",
             "set service s slots 1", "set policy hedge on", "load config {}", "release zone a" }) {
        Error reason;
        BOOST_TEST(isOperatorCommand(*parseStatement(text, reason)), text);
    }
    for (const char* text : { "search m", "submit o {}", "status", "show config", "explain t" }) {
        Error reason;
        BOOST_TEST(!isOperatorCommand(*parseStatement(text, reason)), text);
    }
}
