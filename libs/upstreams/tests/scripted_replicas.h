#pragma once

#include "upstreams/placement.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace banyancroft::upstreams::test {

const TimePoint start { std::chrono::seconds(1000) };
constexpr Duration typicalLatency = std::chrono::milliseconds(10);

/** A replica that processes the oldest `slots` requests at once and refuses what does not fit into its queue.
 */
struct ScriptedReplica {
    unsigned slots = 8;
    /** With more requests in progress, all of them slow down in proportion. */
    double fullSpeedUpTo = 8;
    /** Duration of work as a multiple of the usual one. */
    std::function<double(TimePoint)> slowness = [](TimePoint) { return 1.0; };
    bool reportsSlowness = false;
    /** Changes or withholds a report. */
    std::function<std::optional<ReportedLoad>(ReportedLoad, TimePoint)> falsify;
};

struct Script {
    double requestsPerSecond = 0;
    std::vector<ScriptedReplica> replicas = std::vector<ScriptedReplica>(3);
    std::size_t vms = 2;
    Duration duration = std::chrono::seconds(12);
    unsigned seed = 7;
};

/** What callers got, in ms, and what the estimates were. */
struct Result {
    double mean = 0;
    double p99 = 0;
    std::vector<std::size_t> choices;
    double leastUseful = 1000;
    double lastUseful = 1000;
};

/** Runs a script with random arrivals and durations of work, the same for all policies. */
inline Result run(const Script& script, bool estimatesCapacity)
{
    constexpr Duration step = std::chrono::microseconds(500);
    struct Work {
        Duration left;
        TimePoint arrivedAt;
        TimePoint sentAt;
        std::size_t vm;
    };
    const ServiceId service("shard");
    std::vector<std::unique_ptr<Registry>> vms;
    for (std::size_t vm = 0; vm < script.vms; ++vm) {
        auto& registry = *vms.emplace_back(
            std::make_unique<Registry>(std::chrono::seconds(2), [](RegistryEvent, const Upstream&) {}));
        for (std::size_t i = 0; i < script.replicas.size(); ++i) {
            UpstreamRecord record;
            record.id = UpstreamId("r" + std::to_string(i));
            record.service = service;
            record.slots = script.replicas[i].slots;
            registry.apply({ record.id, record }, start);
        }
        for (const auto& upstream : registry.upstreams(service))
            upstream->health = UpstreamHealth(estimatesCapacity);
    }
    std::vector<std::vector<Work>> queues(script.replicas.size());
    std::mt19937_64 arrivals(script.seed);
    std::mt19937_64 choice(11);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::lognormal_distribution<double> work(0, 0.3);
    std::vector<double> latencies;
    Result result;
    for (auto now = start; now < start + script.duration; now += step) {
        for (std::size_t i = 0; i < queues.size(); ++i) {
            const auto& replica = script.replicas[i];
            auto& queue = queues[i];
            const auto running = std::min<std::size_t>(queue.size(), replica.slots);
            const double share = std::max(1.0, static_cast<double>(running) / replica.fullSpeedUpTo);
            for (std::size_t k = 0; k < running; ++k)
                queue[k].left -= scaled(step, 1 / (share * replica.slowness(now)));
            std::vector<Work> done;
            std::erase_if(queue, [&done](const Work& item) {
                if (item.left <= Duration::zero())
                    done.push_back(item);
                return item.left <= Duration::zero();
            });
            for (const auto& item : done) {
                auto& health = vms[item.vm]->upstreams(service)[i]->health;
                const auto nowRunning = std::min<std::size_t>(queue.size(), replica.slots);
                std::optional<ReportedLoad> report = ReportedLoad { static_cast<unsigned>(nowRunning),
                    static_cast<unsigned>(queue.size() - nowRunning), replica.slots,
                    replica.reportsSlowness ? replica.slowness(now) : 1 };
                if (replica.falsify)
                    report = replica.falsify(*report, now);
                if (report)
                    health.loadReported(*report, now);
                health.answered(item.sentAt, now, typicalLatency, replica.slots);
                result.lastUseful = health.usefulConcurrency(replica.slots, now);
                result.leastUseful = std::min(result.leastUseful, result.lastUseful);
                if (item.arrivedAt > start + std::chrono::seconds(2))
                    latencies.push_back(toMillis(now - item.arrivedAt));
            }
        }
        std::poisson_distribution<int> count(script.requestsPerSecond * toMillis(step) / 1000);
        for (int left = count(arrivals); left > 0; --left) {
            const auto vm = static_cast<std::size_t>(left) % vms.size();
            Work item { scaled(typicalLatency, work(arrivals)), now, now, vm };
            PlacementHooks hooks;
            hooks.connectDelay = [](const UpstreamPointer&) { return Duration::zero(); };
            hooks.maySend = [](const Upstream&) { return true; };
            hooks.random = [&] { return uniform(choice); };
            PlacementRequest request;
            request.typicalLatency = typicalLatency;
            std::vector<std::uint64_t> refusedBy;
            for (bool sent = false; !sent && refusedBy.size() < queues.size();) {
                request.excluded = refusedBy;
                const auto candidates = vms[vm]->upstreams(service);
                const auto chosen = place(candidates, *vms[vm], request, hooks, now).upstream;
                const auto i = static_cast<std::size_t>(
                    std::find(candidates.begin(), candidates.end(), chosen) - candidates.begin());
                result.choices.push_back(i);
                chosen->health.sent(now);
                sent = queues[i].size() < 3 * std::size_t(script.replicas[i].slots);
                if (sent)
                    queues[i].push_back(item);
                else
                    chosen->health.refused(now, now);
                refusedBy.push_back(chosen->number);
            }
            if (refusedBy.size() == queues.size())
                latencies.push_back(1000);
        }
    }
    std::sort(latencies.begin(), latencies.end());
    for (const double latency : latencies)
        result.mean += latency / static_cast<double>(latencies.size());
    result.p99 = latencies[latencies.size() * 99 / 100];
    return result;
}

} // namespace banyancroft::upstreams::test
