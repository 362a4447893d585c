#include "authentication.h"
#include "test_routes.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::gateway;

namespace {

routing::Customer customer(const std::string& name, std::vector<std::string> keys)
{
    routing::Customer result;
    result.id = CustomerId(name);
    result.keys = std::move(keys);
    return result;
}

routing::Configuration configurationWithCustomers(
    std::uint64_t version, std::vector<routing::Customer> customers)
{
    auto openRoute = singleRoute(true);
    openRoute.name = "open";
    openRoute.pathPrefix = "/open/";
    openRoute.isPublic = true;
    auto configuration = configurationOf({ singleRoute(true), openRoute }, version);
    configuration.requiresKeys = true;
    configuration.customers = std::move(customers);
    return configuration;
}

/** Gateway with one replica that returns the customer and the number of authorization fields that it
 * received. */
struct KeyFixture : GatewayFixture {
    KeyFixture()
    {
        configure(configurationWithCustomers(1, { customer("archive", { "key-a", "key-b" }) }));
        replica("ledger", "l-1", [](const http::RequestHead& head, const std::string&) {
            std::string seen;
            for (std::size_t i = 0; i < head.fields.size(); ++i) {
                const auto field = head.fields.at(i);
                if (http::equalsIgnoringCase(field.name, "Customer"))
                    seen.append("customer=").append(field.value).append(";");
                if (http::equalsIgnoringCase(field.name, "Authorization"))
                    seen.append("key;");
            }
            return FakeResponse { signedResponse(head, "s", seen) };
        });
    }

    static std::string requestWith(const std::string& path, const std::string& fields)
    {
        auto text = request(path, "id-1");
        return text.insert(text.size() - 2, fields);
    }
};

} // namespace

// Guards against requests that run for the wrong customer, and against keys that reach a replica.
BOOST_FIXTURE_TEST_CASE(replicaReceivesTheCustomerAndNeverTheKey, KeyFixture)
{
    const std::vector<std::string> fieldsOfCaller {
        "Authorization: Token key-a\r\n",
        "authorization: token   key-b\r\n",
        "Authorization: Token key-a\r\nCustomer: other\r\ncUSTOMER: third\r\n",
        "Connection: Authorization, Customer\r\nAuthorization: Token key-a\r\nCustomer: other\r\n",
    };
    for (const auto& fields : fieldsOfCaller) {
        const auto response = callWhenReady(requestWith("/lookup/1", fields));
        BOOST_TEST(response.status == 200U, fields);
        BOOST_TEST(response.body == "customer=archive;", fields);
    }
}

// Guards against requests that run without a key that a customer holds.
BOOST_FIXTURE_TEST_CASE(requestWithoutValidKeyIsRejected, KeyFixture)
{
    for (const std::string fields : { "", "Authorization: Token\r\n", "Authorization: Token \r\n",
             "Authorization: Token key-c\r\n", "Authorization: Bearer key-a\r\n", "Authorization: key-a\r\n",
             "Authorization: Token key-a\r\nAuthorization: Token key-a\r\n",
             "Authorization: Token key-a,key-b\r\n", "Customer: archive\r\n" })
        BOOST_TEST(callWhenReady(requestWith("/lookup/1", fields)).status == 401U, fields);
    BOOST_TEST(
        callWhenReady(requestWith("/lookup/1", "Authorization: Token " + std::string(8000, 'k') + "\r\n"))
            .status
        == 401U);
    BOOST_TEST(totalRequests(*this) == 0);
}

// Guards against a public route that passes on an unknown key, or a customer that the caller has made up.
BOOST_FIXTURE_TEST_CASE(publicRouteNeedsNoKey, KeyFixture)
{
    BOOST_TEST(callWhenReady(requestWith("/open/1", "Customer: other\r\n")).body.empty());
    BOOST_TEST(callWhenReady(requestWith("/open/1", "Authorization: Token key-c\r\n")).body.empty());
    BOOST_TEST(
        callWhenReady(requestWith("/open/1", "Authorization: Token key-b\r\n")).body == "customer=archive;");
}

// A deployment without customers is served as before: the fields of its callers mean nothing to the gateway.
BOOST_FIXTURE_TEST_CASE(fieldsAreForwardedWithoutCustomers, KeyFixture)
{
    configure(configurationOf({ singleRoute(true) }, 2));
    const auto response
        = callWhenReady(requestWith("/lookup/1", "Authorization: Token key-a\r\nCustomer: other\r\n"));
    BOOST_TEST(response.body == "key;customer=other;");
}

// Guards against a key that stays valid on a kept connection after a version has withdrawn or moved it.
BOOST_FIXTURE_TEST_CASE(keyIsJudgedAnewWithEachRequest, KeyFixture)
{
    const auto text = requestWith("/lookup/1", "Authorization: Token key-a\r\n");
    const auto bodies = runCaller<std::vector<std::string>>([&] {
        waitUntilReady();
        Caller caller(settings.callers.port);
        std::vector<std::string> seen { caller.call(text).body };
        const auto publishAndCall = [&](std::vector<routing::Customer> customers, std::uint64_t version) {
            boost::asio::post(ioContext, [this, customers = std::move(customers), version] {
                configure(configurationWithCustomers(version, customers));
            });
            std::string body = seen.back();
            for (int i = 0; i < 500 && body == seen.back(); ++i) {
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
                const auto response = caller.call(text);
                body = response.status == 200 ? response.body : std::to_string(response.status);
            }
            seen.push_back(body);
        };
        publishAndCall({ customer("survey", { "key-a" }) }, 2);
        publishAndCall({ customer("survey", { "key-b" }) }, 3);
        return seen;
    });
    const std::vector<std::string> expected { "customer=archive;", "customer=survey;", "401" };
    BOOST_TEST(bodies == expected, boost::test_tools::per_element());
}
