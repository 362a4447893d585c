#include "../tests/gateway_fleet.h"
#include "../tests/test_routes.h"

#include "base/string_map.h"
#include "routing/active_configuration.h"

#include <benchmark/benchmark.h>

#include <time.h>

#include <algorithm>
#include <array>
#include <random>

using namespace banyancroft;
using namespace banyancroft::gateway;

namespace {

constexpr std::size_t keyCount = 100'000;
constexpr std::size_t customerCount = 10'000;
constexpr const char* usedKey = "key-0-0123456789abcdef";

std::string keyName(std::size_t index) { return "key-" + std::to_string(index) + "-0123456789abcdef"; }

/** The first customer holds usedKey. */
std::vector<routing::Customer> makeCustomers(
    std::size_t customers, std::size_t keys, double requestsPerSecond)
{
    std::vector<routing::Customer> result(customers);
    for (std::size_t i = 0; i < keys; ++i)
        result[i % customers].keys.push_back(keyName(i));
    for (std::size_t i = 0; i < customers; ++i) {
        result[i].id = CustomerId("customer-" + std::to_string(i));
        result[i].requestsPerSecond = requestsPerSecond;
        result[i].burst = requestsPerSecond;
    }
    return result;
}

std::vector<std::string> shuffledKeys()
{
    std::vector<std::string> keys;
    for (std::size_t i = 0; i < keyCount; ++i)
        keys.push_back(keyName(i));
    std::shuffle(keys.begin(), keys.end(), std::mt19937_64(1));
    return keys;
}

void lookUpKey(benchmark::State& state)
{
    routing::Configuration configuration;
    configuration.customers = makeCustomers(customerCount, keyCount, 10);
    const routing::RouteTable routes(std::move(configuration));
    const auto keys = shuffledKeys();
    std::size_t next = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(routes.customerOfKey(keys[next]));
        next = next + 1 == keys.size() ? 0 : next + 1;
    }
}

/** The reference for lookUpKey: a lookup in a hash map with the same keys. */
void lookUpInHashMap(benchmark::State& state)
{
    StringMap<std::size_t> map;
    for (std::size_t i = 0; i < keyCount; ++i)
        map.emplace(keyName(i), i);
    const auto keys = shuffledKeys();
    std::size_t next = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(map.find(std::string_view(keys[next])));
        next = next + 1 == keys.size() ? 0 : next + 1;
    }
}

/** Includes the destruction of the configuration that is replaced. */
void putConfigurationInForce(benchmark::State& state)
{
    routing::ActiveConfiguration active;
    routing::Configuration configuration;
    configuration.customers = makeCustomers(customerCount, static_cast<std::size_t>(state.range(0)), 10);
    for (auto _ : state) {
        state.PauseTiming();
        ++configuration.version.value;
        auto next = configuration;
        state.ResumeTiming();
        active.update(std::move(next), TimePoint {});
    }
}

double threadCpuSeconds()
{
    timespec now {};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

/** A gateway that dispatches, and so owns the credit of its customers, with one replica on the same thread.
 */
struct RequestFixture : GatewayFleet {
    explicit RequestFixture(std::vector<routing::Customer> customers)
    {
        settings.maxPropagationDelay = std::chrono::milliseconds(200);
        settings.relay = { "127.0.0.1", freePort() };
        settings.handover = { "127.0.0.1", freePort() };
        replica("ledger", "l-1", serves(std::string(400, 'r')));
        auto next = configurationOf({ singleRoute(true) });
        next.requiresKeys = !customers.empty();
        next.customers = std::move(customers);
        configure(std::move(next));
        runCaller<bool>([this] {
            waitUntilReady();
            // Longer than the time after which a new dispatcher grants at the full rate.
            std::this_thread::sleep_for(std::chrono::seconds(2));
            return true;
        });
    }

    /** CPU time per request of the gateway and the replica, in microseconds. */
    double run(int calls, const std::string& fields)
    {
        const auto before = threadCpuSeconds();
        const bool allServed = runCaller<bool>([&] {
            Caller caller(settings.callers.port);
            bool served = true;
            for (int i = 0; i < calls; ++i) {
                auto text = request("/lookup/1", "id-" + std::to_string(++sent));
                served = caller.call(text.insert(text.size() - 2, fields)).status == 200 && served;
            }
            return served;
        });
        if (!allServed)
            throw std::runtime_error("a request was not served");
        return (threadCpuSeconds() - before) * 1e6 / calls;
    }

    int sent = 0;
};

/** The lower decile, which other load on the machine affects least. */
double lowerDecile(std::vector<double> values)
{
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 10);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

/**
 * Compares requests of a deployment without customers with those of a customer without and with a rate limit.
 * The deployments take turns in an order that rotates, since the position in a round affects the result by
 * several percent. The deployment without customers takes part twice; its difference to itself is the error
 * of the others.
 */
void requestWithKey(benchmark::State& state)
{
    constexpr int calls = 500;
    RequestFixture withoutCustomers({});
    RequestFixture withoutCustomersAgain({});
    RequestFixture withKey(makeCustomers(customerCount, customerCount, 0));
    RequestFixture withLimit(makeCustomers(customerCount, customerCount, 100'000));
    const std::array<RequestFixture*, 4> fixtures { &withoutCustomers, &withoutCustomersAgain, &withKey,
        &withLimit };
    const auto authorization = std::string("Authorization: Token ") + usedKey + "\r\n";
    std::array<std::vector<double>, 4> times;
    std::size_t round = 0;
    for (auto _ : state) {
        for (std::size_t step = 0; step < fixtures.size(); ++step) {
            const auto i = (round + step) % fixtures.size();
            times[i].push_back(fixtures[i]->run(calls, i < 2 ? std::string() : authorization));
        }
        ++round;
    }
    const auto reference = lowerDecile(times[0]);
    const auto percentAbove = [&](std::size_t i) { return (lowerDecile(times[i]) / reference - 1) * 100; };
    state.counters["us_without_key"] = reference;
    state.counters["percent_same_again"] = percentAbove(1);
    state.counters["percent_key"] = percentAbove(2);
    state.counters["percent_key_and_limit"] = percentAbove(3);
}

} // namespace

BENCHMARK(lookUpKey);
BENCHMARK(lookUpInHashMap);
BENCHMARK(putConfigurationInForce)->Arg(customerCount)->Arg(keyCount)->Unit(benchmark::kMillisecond);
BENCHMARK(requestWithKey)->Iterations(120)->Unit(benchmark::kMillisecond);
