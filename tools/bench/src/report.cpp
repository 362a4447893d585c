#include "report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>

namespace banyancroft::tools {

using Json = nlohmann::json;

namespace {

/** Time limit for the last request to a zone after it was taken out (invariant 4). */
constexpr double takeOutTargetSeconds = 3.0;

std::string fixed(double value, int digits)
{
    constexpr std::size_t longest = 64;
    std::string text(longest, '\0');
    const int length = std::snprintf(text.data(), text.size(), "%.*f", digits, value);
    text.resize(static_cast<std::size_t>(std::max(0, length)));
    return text;
}

double percent(double part, double whole) { return whole > 0 ? 100.0 * part / whole : 0.0; }

void addViolation(RunReport& report, const char* name, std::uint64_t count)
{
    if (count > 0)
        report.violations.push_back(std::string(name) + "=" + std::to_string(count));
}

void findViolations(RunReport& report)
{
    report.violations.clear();
    addViolation(report, "false_coverage", report.load.coverageErrors);
    addViolation(report, "malformed_answers", report.load.malformed);
    addViolation(report, "over_limit_sends", report.counters.overLimit);
    addViolation(report, "over_connections", report.counters.overConnections);
    addViolation(report, "doubled_runs", report.submitViolations.duplicateRuns);
    addViolation(report, "ran_though_not_run", report.submitViolations.ranDespiteNotRun);
    addViolation(report, "done_without_run", report.submitViolations.doneWithoutRun);
    addViolation(report, "failed_stops", report.scenarioResult.failedStops);
    addViolation(report, "lost_changes", report.scenarioResult.lostChanges);
    if (!allowsUnansweredRequests(report.scenario))
        addViolation(report, "requests_cut", report.load.unanswered);
    addViolation(report, "late_take_out",
        report.scenarioResult.takeOutSeconds.value_or(0) > takeOutTargetSeconds ? 1 : 0);
    addViolation(report, "scenario_problems", report.scenarioResult.problems.size());
    // A run without answers checks nothing.
    addViolation(report, "no_answers", report.searches == 0 ? 1 : 0);
}

/** Latencies and complete answers of one second of the run. */
struct SecondStatistics {
    std::vector<double> latencies;
    std::size_t complete = 0;
};

std::string polyline(const std::vector<std::pair<double, double>>& points, const char* color)
{
    std::string text = "<polyline fill=\"none\" stroke=\"" + std::string(color) + "\" points=\"";
    for (const auto& [x, y] : points)
        text += fixed(x, 1) + "," + fixed(y, 1) + " ";
    return text + "\"/>\n";
}

std::string label(double x, double y, const std::string& text, const char* color)
{
    return "<text x=\"" + fixed(x, 0) + "\" y=\"" + fixed(y, 0) + "\" font-size=\"12\" fill=\"" + color
        + "\">" + text + "</text>\n";
}

} // namespace

double quantile(std::vector<double>& values, double rank)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    const auto position = std::ceil(rank * static_cast<double>(values.size()));
    return values[static_cast<std::size_t>(std::clamp(position, 1.0, static_cast<double>(values.size())))
        - 1];
}

void evaluate(RunReport& report, Duration warmup)
{
    std::vector<double> latencies;
    std::size_t complete = 0;
    std::size_t needed = 0;
    report.searches = 0;
    report.submits = 0;
    for (const auto& sample : report.load.samples) {
        if (sample.at < warmup)
            continue;
        if (!sample.search) {
            ++report.submits;
            continue;
        }
        ++report.searches;
        needed += sample.subrequests;
        complete += sample.complete ? 1 : 0;
        latencies.push_back(toMillis(sample.latency));
    }
    report.searchMillis = { quantile(latencies, 0.5), quantile(latencies, 0.99), quantile(latencies, 0.999) };
    report.fullCoveragePercent = percent(static_cast<double>(complete), static_cast<double>(report.searches));
    const auto sent = static_cast<double>(report.counters.searches - report.warmupSubrequests);
    report.extraLoadPercent = percent(sent - static_cast<double>(needed), static_cast<double>(needed));
    report.submitViolations = verifySubmits(report.load.keys, report.counters);
    findViolations(report);
}

std::string tableHeader()
{
    return "| deployment | scenario | variant | seed | p50 ms | p99 ms | p99.9 ms | full coverage % | false "
           "coverage "
           "| extra load % | over-limit sends | doubled runs | cut | take-out s | result |\n"
           "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
}

std::string tableRow(const RunReport& report)
{
    const auto& takeOut = report.scenarioResult.takeOutSeconds;
    std::string verdict = report.violations.empty() ? "pass" : "fail:";
    for (const auto& violation : report.violations)
        verdict.append(" ").append(violation);
    std::string row;
    for (const auto& cell : { report.deployment, report.scenario, report.variant, std::to_string(report.seed),
             fixed(report.searchMillis.p50, 1), fixed(report.searchMillis.p99, 1),
             fixed(report.searchMillis.p999, 1), fixed(report.fullCoveragePercent, 2),
             std::to_string(report.load.coverageErrors), fixed(report.extraLoadPercent, 1),
             std::to_string(report.counters.overLimit), std::to_string(report.submitViolations.duplicateRuns),
             std::to_string(report.load.unanswered), takeOut ? fixed(*takeOut, 2) : std::string("-"),
             verdict })
        row += "| " + cell + " ";
    return row + "|\n";
}

std::string toJson(const RunReport& report)
{
    const auto& takeOut = report.scenarioResult.takeOutSeconds;
    const Json json { { "deployment", report.deployment }, { "scenario", report.scenario },
        { "variant", report.variant }, { "seed", report.seed }, { "seconds", report.seconds },
        { "rate", report.rate }, { "searches", report.searches }, { "submits", report.submits },
        { "p50_ms", report.searchMillis.p50 }, { "p99_ms", report.searchMillis.p99 },
        { "p999_ms", report.searchMillis.p999 }, { "full_coverage_percent", report.fullCoveragePercent },
        { "extra_load_percent", report.extraLoadPercent }, { "false_coverage", report.load.coverageErrors },
        { "malformed_answers", report.load.malformed }, { "requests_cut", report.load.unanswered },
        { "requests_unserved", report.load.unserved }, { "over_limit_sends", report.counters.overLimit },
        { "over_cold_limit_sends", report.counters.overColdLimit },
        { "over_connections", report.counters.overConnections }, { "cancelled", report.counters.cancelled },
        { "abandoned", report.counters.abandoned }, { "doubled_runs", report.submitViolations.duplicateRuns },
        { "ran_though_not_run", report.submitViolations.ranDespiteNotRun },
        { "done_without_run", report.submitViolations.doneWithoutRun },
        { "failed_stops", report.scenarioResult.failedStops },
        { "lost_changes", report.scenarioResult.lostChanges },
        { "take_out_seconds", takeOut ? Json(*takeOut) : Json() }, { "reasons", report.load.reasons },
        { "missing_shards", report.load.missingShards },
        { "platform", report.platformCounters.empty() ? Json() : Json::parse(report.platformCounters) },
        { "faults", report.load.faults }, { "problems", report.scenarioResult.problems },
        { "violations", report.violations } };
    return json.dump(2) + "\n";
}

std::string toSvg(const RunReport& report)
{
    constexpr double width = 800;
    constexpr double height = 300;
    constexpr double margin = 40;
    std::map<std::int64_t, SecondStatistics> seconds;
    for (const auto& sample : report.load.samples) {
        if (!sample.search)
            continue;
        auto& second = seconds[std::chrono::floor<std::chrono::seconds>(sample.at).count()];
        second.latencies.push_back(toMillis(sample.latency));
        second.complete += sample.complete ? 1 : 0;
    }
    double highest = 1;
    double last = 1;
    for (auto& [at, second] : seconds) {
        highest = std::max(highest, quantile(second.latencies, 0.99));
        last = std::max(last, static_cast<double>(at));
    }
    const auto x
        = [&](std::int64_t at) { return margin + (width - 2 * margin) * static_cast<double>(at) / last; };
    const auto y = [&](double share) { return height - margin - (height - 2 * margin) * share; };
    std::vector<std::pair<double, double>> median;
    std::vector<std::pair<double, double>> tail;
    std::vector<std::pair<double, double>> coverage;
    for (auto& [at, second] : seconds) {
        median.emplace_back(x(at), y(quantile(second.latencies, 0.5) / highest));
        tail.emplace_back(x(at), y(quantile(second.latencies, 0.99) / highest));
        coverage.emplace_back(
            x(at), y(static_cast<double>(second.complete) / static_cast<double>(second.latencies.size())));
    }
    std::string svg = R"(<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 800 300">)"
                      "\n<rect width=\"800\" height=\"300\" fill=\"white\"/>\n";
    svg += label(margin, margin / 2,
        report.deployment + ", " + report.scenario + ", " + report.variant + ", seed "
            + std::to_string(report.seed),
        "black");
    svg += polyline(median, "steelblue") + polyline(tail, "firebrick") + polyline(coverage, "seagreen");
    const double legend = height - margin / 3;
    svg += label(margin, legend, "p50", "steelblue") + label(2 * margin, legend, "p99", "firebrick");
    svg += label(3 * margin, legend, "share with full coverage", "seagreen");
    svg += label(width / 2, legend, "top of the scale: " + fixed(highest, 0) + " ms and 100 %", "black");
    svg += label(width - 2 * margin, legend, fixed(last, 0) + " s", "black");
    return svg + "</svg>\n";
}

} // namespace banyancroft::tools
