#include "gateway_fleet.h"
#include "test_routes.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::gateway;
using namespace std::chrono_literals;

namespace {

struct LimitFixture : GatewayFleet {
    LimitFixture()
    {
        // The owner of a customer's credit is known only some time after a VM has registered.
        settings.maxPropagationDelay = 200ms;
        settings.minDispatchersPerZone = 2;
        settings.customerLimits = { 5s, 0.1, 10 };
        replica("ledger", "l-1", serves("answer"));
    }

    void limitTo(double perSecond, double burst, std::uint64_t version)
    {
        auto next = configurationOf({ singleRoute(true) }, version);
        next.requiresKeys = true;
        routing::Customer customer;
        customer.id = CustomerId("archive");
        customer.keys = { "key" };
        customer.requestsPerSecond = perSecond;
        customer.burst = burst;
        next.customers = { customer };
        configure(std::move(next));
    }

    CallerResponse callAsCustomer(const Vm& vm)
    {
        auto text = request("/lookup/1", "id-" + std::to_string(++calls));
        return call(vm, text.insert(text.size() - 2, "Authorization: Token key\r\n"));
    }

    int calls = 0;
};

} // namespace

// Guards against a limit that each VM applies on its own, and against refusals of requests that have run.
BOOST_FIXTURE_TEST_CASE(limitHoldsOverAllVms, LimitFixture)
{
    limitTo(0.2, 6, 1);
    auto& first = addVm("vm-1", 1, true);
    auto& second = addVm("vm-2", 1, true);
    runFor(1500ms);
    const auto before = replicas[0]->receivedRequests();
    int served = 0;
    for (int i = 0; i < 40; ++i) {
        const auto response = callAsCustomer(i % 2 == 0 ? first : second);
        served += response.status == 200;
        if (response.status == 200)
            continue;
        BOOST_TEST(response.status == 429U);
        BOOST_TEST(std::stod(response.fields.at("Retry-After")) > 0);
    }
    BOOST_TEST(replicas[0]->receivedRequests() - before == served);
    BOOST_TEST(served >= 1);
    BOOST_TEST(served <= (0.2 * 5 + 6) * 1.1 + 10);
    BOOST_TEST(metric(first, "banyancroft_quota_over_limit_total")
            + metric(second, "banyancroft_quota_over_limit_total")
        == 40 - served);
}

// Guards against customers without a limit that are refused, and against an old limit that stays in force.
BOOST_FIXTURE_TEST_CASE(customerWithoutLimitIsServed, LimitFixture)
{
    limitTo(0.2, 1, 1);
    auto& vm = addVm("vm-1", 1, true);
    runFor(1500ms);
    for (int i = 0; i < 30; ++i)
        callAsCustomer(vm);
    BOOST_TEST(callAsCustomer(vm).status == 429U);
    limitTo(0, 0, 2);
    runUntil([&] { return metric(vm, "banyancroft_gateway_config_version") == 2; });
    for (int i = 0; i < 30; ++i)
        BOOST_TEST(callAsCustomer(vm).status == 200U);
}

// Guards against a VM that stops while it holds a customer's credit: the others have to go on serving the
// customer.
BOOST_FIXTURE_TEST_CASE(customerIsServedWhileTheOwnerIsFrozen, LimitFixture)
{
    limitTo(50, 50, 1);
    auto& first = addVm("vm-1", 1, true);
    auto& second = addVm("vm-2", 1, true);
    runFor(1500ms);
    for (auto* frozen : { &first, &second }) {
        auto& other = frozen == &first ? second : first;
        frozen->isFrozen = true;
        int served = 0;
        for (int i = 0; i < 10; ++i) {
            served += callAsCustomer(other).status == 200;
            runFor(50ms);
        }
        BOOST_TEST(served >= 5);
        frozen->isFrozen = false;
        runFor(500ms);
    }
}
