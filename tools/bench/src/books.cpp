#include "books.h"

#include <nlohmann/json.hpp>

namespace banyancroft::tools {

BookTotals sumBooks(std::string_view json)
{
    const auto books = nlohmann::json::parse(json);
    BookTotals totals;
    for (const auto& entry : books.at("upstreams")) {
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
    for (const auto& [zone, nanoseconds] : books.at("zone_last_work_ns").items())
        totals.zoneLastWork[zone] = TimePoint(std::chrono::nanoseconds(nanoseconds.get<std::int64_t>()));
    return totals;
}

SubmitVerdict judgeSubmits(const std::map<std::string, KeyOutcomes>& keys, const BookTotals& books)
{
    SubmitVerdict verdict;
    for (const auto& [key, count] : books.runs)
        verdict.doubled += count > 1 ? count - 1 : 0;
    for (const auto& [key, outcomes] : keys) {
        const bool ran = books.runs.contains(key);
        if (ran && outcomes.notRun == outcomes.sent)
            ++verdict.ranThoughNotRun;
        if (!ran && outcomes.done > 0)
            ++verdict.doneWithoutRun;
    }
    return verdict;
}

} // namespace banyancroft::tools
