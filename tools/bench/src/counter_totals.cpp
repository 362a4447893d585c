#include "counter_totals.h"

#include <nlohmann/json.hpp>

namespace banyancroft::tools {

CounterTotals sumCounters(std::string_view json)
{
    const auto counters = nlohmann::json::parse(json);
    CounterTotals totals;
    for (const auto& entry : counters.at("upstreams")) {
        const auto add
            = [&entry](const char* name, std::uint64_t& sum) { sum += entry.at(name).get<std::uint64_t>(); };
        add("searches", totals.searches);
        add("submits", totals.submits);
        add("over_limit", totals.overLimit);
        add("over_cold_limit", totals.overColdLimit);
        add("over_connections", totals.overConnections);
        add("cancelled", totals.cancelled);
        add("abandoned", totals.abandoned);
        add("wrong_shard", totals.wrongShard);
        for (const auto& [key, count] : entry.at("runs").items())
            totals.runs[key] += count.get<std::uint64_t>();
    }
    for (const auto& [zone, nanoseconds] : counters.at("zone_last_work_ns").items())
        totals.zoneLastRequest[zone] = TimePoint(std::chrono::nanoseconds(nanoseconds.get<std::int64_t>()));
    return totals;
}

SubmitViolations verifySubmits(const std::map<std::string, KeyOutcomes>& keys, const CounterTotals& counters)
{
    SubmitViolations violations;
    for (const auto& [key, count] : counters.runs)
        violations.duplicateRuns += count > 1 ? count - 1 : 0;
    for (const auto& [key, outcomes] : keys) {
        const bool ran = counters.runs.contains(key);
        if (ran && outcomes.notRun == outcomes.sent)
            ++violations.ranDespiteNotRun;
        if (!ran && outcomes.done > 0)
            ++violations.doneWithoutRun;
    }
    return violations;
}

} // namespace banyancroft::tools
