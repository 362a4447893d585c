#include "routing/active_configuration.h"
#include "routing/route_table.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::routing;

namespace {

Route routeTo(std::string host, std::string prefix, std::string service)
{
    Route route;
    route.name = host + prefix;
    route.host = std::move(host);
    route.pathPrefix = std::move(prefix);
    route.split.push_back({ ServiceId(std::move(service)), 1 });
    return route;
}

Configuration configurationOfVersion(std::uint64_t number, std::vector<Route> routes)
{
    Configuration configuration;
    configuration.version = { number };
    configuration.routes = std::move(routes);
    return configuration;
}

std::string serviceFor(const RouteTable& table, std::string_view host, std::string_view target)
{
    const auto* route = table.match(host, target);
    return route ? route->split.front().service.str() : "none";
}

} // namespace

BOOST_AUTO_TEST_CASE(longestMatchingPrefixOfTheHostIsSelected)
{
    const RouteTable table(configurationOfVersion(1,
        { routeTo("a.example", "/", "root"), routeTo("a.example", "/x/", "x"),
            routeTo("a.example", "/x/y/", "xy"), routeTo("b.example", "/x/", "other") }));
    BOOST_TEST(serviceFor(table, "a.example", "/x/y/2f") == "xy");
    BOOST_TEST(serviceFor(table, "a.example", "/x/z") == "x");
    BOOST_TEST(serviceFor(table, "a.example", "/xy/") == "root");
    BOOST_TEST(serviceFor(table, "b.example", "/x/1") == "other");
    BOOST_TEST(serviceFor(table, "b.example", "/y/") == "none");
    BOOST_TEST(serviceFor(table, "c.example", "/x/") == "none");
}

// Guards against requests that match no route, or a wrong one, because of their query, port or case.
BOOST_AUTO_TEST_CASE(queryAndPortAndHostCaseAreIgnored)
{
    const RouteTable table(configurationOfVersion(1, { routeTo("a.example", "/x/", "x") }));
    BOOST_TEST(serviceFor(table, "A.Example:8080", "/x/?path=/other/") == "x");
    BOOST_TEST(serviceFor(table, "a.example", "/?/x/") == "none");
    BOOST_TEST(serviceFor(table, "a.example", "") == "none");
    BOOST_TEST(serviceFor(table, "", "/x/") == "none");
}

BOOST_AUTO_TEST_CASE(requestsAreSplitByWeight)
{
    Route route;
    route.split = { { ServiceId("a"), 1 }, { ServiceId("none"), 0 }, { ServiceId("b"), 3 } };
    int hits = 0;
    for (int i = 0; i < 1000; ++i)
        hits += pickService(route, i / 1000.0)->str() == "a";
    BOOST_TEST(hits == 250);
    BOOST_TEST(pickService(route, 0.999999)->str() == "b");
    route.split = { { ServiceId("a"), 0 } };
    BOOST_TEST(pickService(route, 0.5) == nullptr);
}

// Guards against a late answer of the store that reverts the configuration.
BOOST_AUTO_TEST_CASE(olderVersionDoesNotReplaceNewerOne)
{
    const TimePoint start { std::chrono::seconds(100) };
    ActiveConfiguration active;
    BOOST_TEST(!active.version());
    BOOST_TEST(active.update(configurationOfVersion(7, { routeTo("a", "/", "seven") }), start));
    const auto earlierTable = active.current();
    BOOST_TEST(!active.update(
        configurationOfVersion(5, { routeTo("a", "/", "five") }), start + std::chrono::seconds(1)));
    BOOST_TEST(!active.update(
        configurationOfVersion(7, { routeTo("a", "/", "again") }), start + std::chrono::seconds(1)));
    BOOST_TEST(serviceFor(*active.current(), "a", "/") == "seven");
    BOOST_TEST((active.acceptedAt() == start));
    BOOST_TEST(active.update(
        configurationOfVersion(12, { routeTo("a", "/", "twelve") }), start + std::chrono::seconds(2)));
    BOOST_TEST(serviceFor(*active.current(), "a", "/") == "twelve");
    // A request in progress keeps using the table that it started with.
    BOOST_TEST(serviceFor(*earlierTable, "a", "/") == "seven");
}

// Guards against a request that is served for a customer that does not hold its key.
BOOST_AUTO_TEST_CASE(customerIsFoundByAnyOfItsKeys)
{
    auto configuration = configurationOfVersion(1, {});
    configuration.customers.push_back({ CustomerId("a"), { "k1", "k2", "k2" }, {}, 0, 0 });
    configuration.customers.push_back({ CustomerId("b"), { "k3", "k1" }, {}, 0, 0 });
    const RouteTable table(std::move(configuration));
    BOOST_REQUIRE(table.customerOfKey("k2"));
    BOOST_TEST(table.customerOfKey("k2")->id.str() == "a");
    BOOST_TEST(table.customerOfKey("k3")->id.str() == "b");
    // A key that two customers hold belongs to the first one.
    BOOST_TEST(table.customerOfKey("k1")->id.str() == "a");
    BOOST_TEST(table.sharedKeys() == 1U);
    BOOST_TEST(!table.customerOfKey("K1"));
    BOOST_TEST(!table.customerOfKey(""));
}
