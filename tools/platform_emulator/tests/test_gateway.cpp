#include "platform_emulator/etcd_gateway.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

using namespace banyancroft::tools;
using banyancroft::TimePoint;
using Json = nlohmann::json;
using std::chrono::seconds;

namespace {

struct Fixture {
    Json call(std::string_view path, const std::string& body, unsigned status = 200)
    {
        const auto result = gateway.handle(path, body, now);
        BOOST_TEST(result.reply.status == status);
        return Json::parse(result.reply.body);
    }

    KeyValueState state;
    EtcdGateway gateway { state };
    TimePoint now {};
};

// Base64 strings from the examples in the etcd gateway documentation.
const std::string foo = "Zm9v"; // "foo"
const std::string bar = "YmFy"; // "bar"

const std::string createFoo = R"({"compare":[{"createRevision":"0","target":"CREATE","key":"Zm9v"}],
    "success":[{"requestPut":{"key":"Zm9v","value":"YmFy"}}],
    "failure":[{"requestRange":{"key":"Zm9v"}}]})";

} // namespace

// If a second create succeeded, two daemons could claim the same idempotency key.
BOOST_FIXTURE_TEST_CASE(createIfAbsentSucceedsOnlyOnce, Fixture)
{
    const auto first = call("/v3/kv/txn", createFoo);
    BOOST_TEST(first.at("succeeded").get<bool>());
    BOOST_TEST(first.at("header").at("revision") == "2");
    const auto second = call("/v3/kv/txn", createFoo);
    // The gateway omits fields with default values.
    BOOST_TEST(!second.contains("succeeded"));
    const auto found = second.at("responses").at(0).at("response_range").at("kvs").at(0);
    BOOST_TEST(found.at("value") == bar);
    BOOST_TEST(found.at("mod_revision") == "2");
    BOOST_TEST(second.at("header").at("revision") == "2");
}

// A prefix range that includes adjacent keys would mix the views of two availability zones.
BOOST_FIXTURE_TEST_CASE(prefixRangeExcludesTheNextPrefix, Fixture)
{
    state.beginWrite();
    for (const auto* key : { "fon", "foo", "foo1", "fop" })
        state.put(key, "x", 0);
    state.endWrite();
    const auto listed = call("/v3/kv/range", R"({"key":"Zm9v","range_end":"Zm9w"})"); // foo to fop
    BOOST_TEST(listed.at("count") == "2");
    BOOST_TEST(listed.at("kvs").at(0).at("key") == foo);
}

// If keys outlived their lease, a stopped daemon would still be listed.
BOOST_FIXTURE_TEST_CASE(expiredLeaseDeletesItsKeys, Fixture)
{
    const auto id = call("/v3/lease/grant", R"({"TTL":"5"})").at("ID").get<std::string>();
    const auto put = R"({"success":[{"request_put":{"key":"Zm9v","value":"YmFy","lease":")" + id + R"("}}]})";
    call("/v3/kv/txn", put);
    const auto keepAlive = R"({"ID":")" + id + R"("})";
    now += seconds(4);
    BOOST_TEST(call("/v3/lease/keepalive", keepAlive).at("result").at("TTL") == "5");
    now += seconds(4);
    BOOST_TEST(call("/v3/kv/range", R"({"key":"Zm9v"})").at("count") == "1");
    now += seconds(1);
    BOOST_TEST(!call("/v3/kv/range", R"({"key":"Zm9v"})").contains("kvs"));
    BOOST_TEST(!call("/v3/lease/keepalive", keepAlive).at("result").contains("TTL"));
    call("/v3/kv/txn", put, 404);
    call("/v3/lease/revoke", keepAlive, 404);
}

// Transactions are atomic: one that is rejected must not apply part of its writes.
BOOST_FIXTURE_TEST_CASE(rejectedTransactionWritesNothing, Fixture)
{
    call("/v3/kv/txn",
        R"({"success":[{"request_put":{"key":"Zm9v","value":"YmFy"}},
            {"request_put":{"key":"YmFy","value":"YmFy","lease":"9"}}]})",
        404);
    BOOST_TEST(!state.find("foo").has_value());
    call("/v3/kv/txn", "{", 400);
    call("/v3/kv/range", R"({"key":"%%%%"})", 400);
    call("/v3/unknown", "{}", 404);
}

// A watch that lost or repeated a change could leave a daemon on an old configuration.
BOOST_FIXTURE_TEST_CASE(watchEventsContainPutsAndDeletesOfTheRange, Fixture)
{
    call("/v3/kv/txn", createFoo);
    call("/v3/kv/txn", R"({"success":[{"request_delete_range":{"key":"Zm9v"}}]})");
    const auto watch = EtcdGateway::parseWatch(R"({"create_request":{"key":"Zm9v","start_revision":"2"}})");
    BOOST_REQUIRE(watch.has_value());
    const auto line
        = Json::parse(gateway.encodeEvents(state.eventsSince(watch->startRevision, watch->range)));
    const auto events = line.at("result").at("events");
    BOOST_REQUIRE(events.size() == 2U);
    BOOST_TEST(events.at(0).at("kv").at("value") == bar);
    BOOST_TEST(events.at(1).at("type") == "DELETE");
    BOOST_TEST(events.at(1).at("kv").at("mod_revision") == "3");
    BOOST_TEST(state.eventsSince(3, watch->range).size() == 1U);
    BOOST_TEST(!EtcdGateway::parseWatch("{}").has_value());
}
