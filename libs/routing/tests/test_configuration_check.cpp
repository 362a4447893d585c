#include "routing/configuration_check.h"
#include "routing/configuration_diff.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace banyancroft;
using namespace banyancroft::routing;
using namespace std::chrono_literals;

namespace {

Route routeTo(std::string name, std::string prefix, std::string service, double weight = 1)
{
    Route route;
    route.name = std::move(name);
    route.host = "h";
    route.pathPrefix = std::move(prefix);
    route.timeout = 200ms;
    route.latencyObjective = 100ms;
    route.split.push_back({ ServiceId(std::move(service)), weight });
    return route;
}

/** A configuration without findings. */
Configuration soundConfiguration()
{
    Configuration result;
    result.version = { 7 };
    result.routes = { routeTo("find", "/f/", "s"), routeTo("sweep", "/w/", "s") };
    result.routes[1].split.clear();
    result.routes[1].gather = { { ServiceId("s"), ServiceId("t"), ServiceId("u") }, 10, 0.66 };
    for (const std::string id : { "s", "t", "u" })
        result.services.push_back({ ServiceId(id), "/health", 4, {}, 0 });
    result.requiresKeys = true;
    result.customers
        = { { CustomerId("a"), { "secret-1" }, {}, 40, 10 }, { CustomerId("b"), { "secret-2" }, {}, 0, 0 } };
    return result;
}

std::string textOf(const std::vector<Finding>& findings)
{
    std::string text;
    for (const auto& finding : findings)
        text += std::string(toString(finding.severity)) + " " + finding.place + " " + finding.field + ": "
            + finding.message + "; " + finding.remedy + "\n";
    return text;
}

/** Expects exactly one finding, which contains all of the given texts and no key. */
void expectOne(const Configuration& configuration, std::initializer_list<std::string> parts,
    const ReplicaCounts* replicas = nullptr)
{
    const auto findings = checkConfiguration(configuration, replicas);
    const auto text = textOf(findings);
    BOOST_TEST(findings.size() == 1U, text);
    BOOST_TEST(text.find("secret") == std::string::npos, text);
    for (const auto& part : parts)
        BOOST_TEST(text.find(part) != std::string::npos, text);
}

template <typename Modify> Configuration changed(Modify modify)
{
    auto configuration = soundConfiguration();
    modify(configuration);
    return configuration;
}

} // namespace

// Guards against false alarms, which would hide real findings.
BOOST_AUTO_TEST_CASE(soundConfigurationHasNoFindings)
{
    const ReplicaCounts replicas { { ServiceId("s"), 3 }, { ServiceId("t"), 1 }, { ServiceId("u"), 1 } };
    BOOST_TEST(textOf(checkConfiguration(soundConfiguration(), &replicas)).empty());
}

// Guards against entries that silently never match.
BOOST_AUTO_TEST_CASE(entriesThatNeverMatchAreFound)
{
    expectOne(changed([](auto& c) {
        c.routes.push_back(routeTo("late", "/f/", "s"));
        c.routes.back().host = "H:80";
    }),
        { "warning route \"late\"", "hidden by route \"find\"" });
    for (const auto& prefix :
        std::vector<std::string> { "/x", "x/", "", "/x?/", std::string(1'000'000, '/') + "x" })
        expectOne(changed([&](auto& c) { c.routes.push_back(routeTo("odd", prefix, "s")); }),
            { "warning route \"odd\" path prefix", "can never match" });
    expectOne(changed([](auto& c) { c.routes.push_back(routeTo("none", "/n/", "s", 0)); }),
        { "route \"none\"", "are 0" });
    expectOne(changed([](auto& c) {
        c.services.push_back({ ServiceId("idle"), "", 1, {}, 0 });
    }),
        { "warning service \"idle\"", "no route" });
    expectOne(changed([](auto& c) { c.routes.push_back(routeTo("x", "/x/", "typo")); }),
        { "\"typo\" not declared" });
    expectOne(changed([](auto& c) { c.customers[1].keys.clear(); }),
        { "warning customer \"b\" keys", "without keys" });
    expectOne(changed([](auto& c) { c.customers[1].keys.push_back("secret-1"); }),
        { "customer \"b\"", "key 2 is also key 1 of customer \"a\"" });
    expectOne(changed([](auto& c) { c.customers[1].keys = { "secret\x1b" }; }), { "key 1 can never match" });
}

// Guards against limits with which callers are refused, or get incomplete answers, without anybody having
// meant it.
BOOST_AUTO_TEST_CASE(contradictoryLimitsAreFound)
{
    expectOne(changed([](auto& c) { c.routes[0].timeout = 50ms; }), { "timeout: 50 ms is below", "100 ms" });
    expectOne(changed([](auto& c) { c.routes[1].gather.minCoverage = 0.95; }),
        { "0.95 of 3 shards means all of them", "0.666" });
    expectOne(
        changed([](auto& c) { c.routes[1].gather.minCoverage = -1e300; }), { "error", "minimum coverage" });
    expectOne(
        changed([](auto& c) { c.routes[1].gather.minCoverage = 1e300; }), { "error", "minimum coverage" });
    expectOne(changed([](auto& c) {
        c.routes[0].split.push_back({ ServiceId("t"), -1 });
    }),
        { "error", "negative" });
    expectOne(changed([](auto& c) { c.routes[0].maxUpstreams = 4'000'000'000; }),
        { "error", "4000000000 is above" });
    expectOne(
        changed([](auto& c) { c.customers[0].burst = 0.5; }), { "customer \"a\" burst", "0.5 is below 1" });
    expectOne(changed([](auto& c) { c.customers[0].burst = 0; }), { "without a burst" });
    expectOne(
        changed([](auto& c) { c.customers[1].burst = 5; }), { "customer \"b\" rate", "without a rate" });
    expectOne(changed([](auto& c) { c.limits.bodyBytes = 0; }), { "body size" });
    const ReplicaCounts replicas { { ServiceId("s"), 2 }, { ServiceId("t"), 1 }, { ServiceId("u"), 1 } };
    expectOne(changed([](auto& c) { c.routes[0].maxUpstreams = 3; }), { "3 is above the number", "\"s\"" },
        &replicas);
    const ReplicaCounts without { { ServiceId("s"), 2 }, { ServiceId("t"), 1 } };
    expectOne(changed([](auto& c) {
        c.customers[0].requestsPerSecond = 0.0;
        c.customers[0].burst = 0;
    }),
        { "service \"u\"", "no replica" }, &without);
    // Two replicas of s for "find", and one of each shard for "sweep", with 4 connections and 10 requests/s
    // on each.
    expectOne(
        changed([](auto& c) { c.customers[0].requestsPerSecond = 121; }), { "121/s", "120/s" }, &replicas);
}

// Guards against a change that operators do not see before they publish it, and against keys in the list.
BOOST_AUTO_TEST_CASE(changesAreListedInWordsOfOperators)
{
    const auto next = changed([](auto& c) {
        c.version = { 8 };
        c.routes[0].timeout = 150ms;
        c.routes[0].split = { { ServiceId("t"), 3 }, { ServiceId("u"), 1 } };
        c.routes[1].name = "scan";
        c.customers[0].requestsPerSecond = 20;
        c.customers[0].keys = { "secret-3", "secret-4" };
        c.customers.pop_back();
    });
    std::string text;
    for (const auto& change : listChanges(soundConfiguration(), next))
        text += change.place + ": " + change.text + "\n";
    BOOST_TEST(text
        == "route \"find\": moved to other services: services \"s\" -> \"t\" weight 3, \"u\" weight 1\n"
           "route \"find\": timeout 200 ms -> 150 ms\n"
           "route \"sweep\": removed\n"
           "route \"scan\": added: host \"h\", path prefix \"/w/\", services \"s\", \"t\", \"u\"\n"
           "customer \"a\": limit lowered 40/s -> 20/s\n"
           "customer \"a\": 2 keys added\n"
           "customer \"a\": 1 key withdrawn\n"
           "customer \"b\": removed\n");
    BOOST_TEST(listChanges(next, next).empty());
    BOOST_TEST(!checkVersion(soundConfiguration(), next));
    BOOST_REQUIRE(checkVersion(next, next));
    BOOST_TEST((checkVersion(next, next)->severity == Severity::Error));
}
