// Measures the CPU time per sub-request spent in the search coordinator, for a collection of 350 groups of
// three upstreams. Excludes the construction of the replies, which in the daemon is the work of the decoder.

#include "search/cluster_state.h"
#include "search/policy_state.h"
#include "search/search_coordinator.h"

#include <benchmark/benchmark.h>

#include <chrono>
#include <ctime>
#include <string>
#include <vector>

namespace {

using namespace banyancroft;
using namespace banyancroft::search;
using namespace std::chrono_literals;

constexpr unsigned groupCount = 350;
constexpr std::uint64_t seed = 20261204;

config::Document document()
{
    config::Document document;
    document.version = { 1 };
    document.layout = { 1 };
    for (const char* zone : { "az1", "az2", "az3" })
        document.zones.push_back({ AvailabilityZone(zone), RegionId("r"), true });
    config::Service service { ServiceId("desk"), 3, 30, 1, 6ms, {} };
    for (unsigned group = 0; group < groupCount; ++group) {
        const auto name = "dispatch-desk-" + std::to_string(group);
        config::ShardGroup entry { GroupId(name), { ShardId(name) }, {} };
        for (const char* zone : { "az1", "az2", "az3" }) {
            entry.upstreams.push_back(
                { UpstreamId(name + "-" + zone), "127.0.0.1", 1, AvailabilityZone(zone), false });
        }
        service.groups.push_back(std::move(entry));
    }
    document.services.push_back(std::move(service));
    document.collections.push_back({ "all", { ServiceId("desk") } });
    return document;
}

std::int64_t processorNanos()
{
    timespec value {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &value);
    return std::int64_t { value.tv_sec } * 1'000'000'000 + value.tv_nsec;
}

/** Runs queries to completion and accumulates the CPU time spent in the coordinator. */
class CoordinatorBenchmark {
public:
    CoordinatorBenchmark() { cluster_.apply(document(), now_); }

    /**
     * @param slowPercent share of sub-requests that are never answered, so that a hedge is sent
     * @param refusedPercent share of sub-requests that are refused
     * @param served lower of the two index versions that all upstreams serve
     */
    void query(unsigned slowPercent, unsigned refusedPercent, std::uint64_t served)
    {
        Actions actions;
        auto mark = processorNanos();
        const auto lap = [&] {
            const auto end = processorNanos();
            nanos_ += end - mark;
        };
        SearchCoordinator search({ "all", "", 0, now_ + 150ms, false, AvailabilityZone("az1"), "" }, cluster_,
            policy_, sequences_, random_);
        search.start(now_, actions);
        lap();
        while (!search.finished()) {
            std::vector<wire::SubreplyItem> replies;
            for (const auto& item : actions.sends) {
                if (random_() % 100 >= slowPercent || item.hedge)
                    replies.push_back(replyTo(item, refusedPercent, served));
            }
            subrequests_ += actions.sends.size();
            actions.clear();
            if (replies.empty()) {
                now_ = std::max(now_, search.nextTimer());
            } else {
                now_ += 1ms;
            }
            mark = processorNanos();
            for (auto& reply : replies)
                search.onReply(std::move(reply), now_, actions);
            if (replies.empty())
                search.onTimer(now_, actions);
            lap();
        }
        mark = processorNanos();
        const auto answer = search.answer();
        lap();
        benchmark::DoNotOptimize(answer.coveredShards);
        covered_ += answer.coveredShards;
    }

    void report(benchmark::State& state) const
    {
        state.counters["us_per_subrequest"]
            = static_cast<double>(nanos_) / 1000 / static_cast<double>(subrequests_);
        state.counters["covered_percent"]
            = 100.0 * static_cast<double>(covered_) / static_cast<double>(state.iterations() * groupCount);
    }

    std::int64_t nanos() const { return nanos_; }

private:
    wire::SubreplyItem replyTo(const SendItem& item, unsigned refusedPercent, std::uint64_t served)
    {
        wire::SubreplyItem reply;
        reply.sequence = item.sequence;
        reply.upstream = *item.upstream;
        reply.load = static_cast<std::uint32_t>(random_() % 6);
        reply.servedIndexes = { { served }, { served + 1 } };
        reply.servedLayouts = { { 1 } };
        if (random_() % 100 < refusedPercent) {
            reply.reason = Reason::QueueFull;
        } else if (item.snapshot.index && item.snapshot.index.value < served) {
            reply.reason = Reason::IndexVersionMismatch;
        } else {
            reply.outcome = Outcome::Done;
            reply.layout = { 1 };
            reply.index = item.snapshot.index ? item.snapshot.index : IndexVersion { served + 1 };
            reply.rows = R"({"manifest":"M-1","island":"Cebu","weight":12})"
                         "\n";
        }
        return reply;
    }

    TimePoint now_ { 1h };
    ClusterState cluster_;
    PolicyState policy_;
    SequenceGenerator sequences_;
    Random random_ { seed };
    std::int64_t nanos_ = 0;
    std::uint64_t subrequests_ = 0;
    std::uint64_t covered_ = 0;
};

/** Arguments: slow percent, refused percent, queries per index version (0: the version never changes). */
void searchQuery(benchmark::State& state)
{
    CoordinatorBenchmark bench;
    std::uint64_t queries = 0;
    for (auto _ : state) {
        const auto before = bench.nanos();
        const auto period = static_cast<std::uint64_t>(state.range(2));
        bench.query(static_cast<unsigned>(state.range(0)), static_cast<unsigned>(state.range(1)),
            period == 0 ? 1 : 1 + queries / period);
        ++queries;
        state.SetIterationTime(static_cast<double>(bench.nanos() - before) / 1e9);
    }
    bench.report(state);
}

} // namespace

BENCHMARK(searchQuery)
    ->ArgNames({ "slow", "refused", "queriesPerIndex" })
    ->Args({ 0, 0, 0 })
    ->Args({ 5, 2, 0 })
    ->Args({ 5, 2, 10 })
    ->Args({ 20, 20, 2 })
    ->UseManualTime()
    ->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
