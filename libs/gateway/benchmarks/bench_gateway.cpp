#include "../tests/gateway_fixture.h"

#include <benchmark/benchmark.h>

#include <time.h>

using namespace banyancroft;
using namespace banyancroft::gateway;

namespace {

double threadCpuSeconds()
{
    timespec now {};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

/**
 * Measures the CPU time per sub-request of scatter-gather requests over the loopback interface. The gateway
 * and the fake replicas share a thread, so the result includes the work of the fakes and is an upper bound.
 */
void gather(benchmark::State& state)
{
    const auto shards = static_cast<std::size_t>(state.range(0));
    GatewayFixture fixture;
    routing::Route route;
    route.name = "sweep";
    route.host = "h";
    route.pathPrefix = "/sweep/";
    route.idempotent = true;
    route.timeout = std::chrono::seconds(5);
    route.latencyObjective = std::chrono::seconds(1);
    route.maxUpstreams = 2;
    route.gather.topRecords = 20;
    route.gather.minCoverage = 0.89;
    routing::Configuration configuration;
    configuration.version = { 1 };
    for (std::size_t i = 0; i < shards; ++i) {
        const auto name = "shard-" + std::to_string(i);
        fixture.replica(
            name, "r-" + std::to_string(i), [i](const http::RequestHead& head, const std::string&) {
                return FakeResponse { GatewayFixture::signedResponse(
                    head, "s" + std::to_string(i), std::string(400, 'r')) };
            });
        route.gather.shards.emplace_back(name);
        routing::Service service;
        service.id = ServiceId(name);
        service.maxConnections = 30;
        configuration.services.push_back(service);
    }
    configuration.routes = { route };
    fixture.configure(configuration);
    fixture.callWhenReady(GatewayFixture::request("/sweep/0", "warm"));
    constexpr int calls = 200;
    double cpuSeconds = 0;
    for (auto _ : state) {
        const auto before = threadCpuSeconds();
        fixture.runCaller<bool>([&fixture] {
            Caller caller(fixture.settings.callers.port);
            for (int i = 0; i < calls; ++i)
                caller.call(GatewayFixture::request("/sweep/1", "id-" + std::to_string(i)));
            return true;
        });
        cpuSeconds += threadCpuSeconds() - before;
    }
    const auto subRequests = static_cast<double>(state.iterations()) * calls * static_cast<double>(shards);
    state.counters["us_per_sub_request"] = cpuSeconds * 1e6 / subRequests;
}

} // namespace

BENCHMARK(gather)->Arg(10)->Arg(54)->Unit(benchmark::kMillisecond);
