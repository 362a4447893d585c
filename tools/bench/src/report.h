#pragma once

#include "counter_totals.h"
#include "load_generator.h"
#include "scenario.h"

#include <optional>
#include <string>
#include <vector>

namespace banyancroft::tools {

/** Latency percentiles of a run in milliseconds, measured from the scheduled send times. */
struct Percentiles {
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
};

/** Sorts the values and returns the quantile `rank` (0 to 1) by nearest rank; zero if there are none. */
double quantile(std::vector<double>& values, double rank);

/** Settings and results of one run. */
struct RunReport {
    std::string deployment;
    std::string scenario;
    std::string variant;
    std::uint64_t seed = 0;
    double seconds = 0;
    double rate = 0;
    Percentiles searchMillis;
    double fullCoveragePercent = 0;
    double extraLoadPercent = 0;
    std::size_t searches = 0;
    std::size_t submits = 0;
    /** Sub-requests that the upstreams received during the warm-up. */
    std::uint64_t warmupSubrequests = 0;
    LoadResult load;
    CounterTotals counters;
    /** Response of GET /books of the platform emulator, in JSON: calls per kind. */
    std::string platformCounters;
    SubmitViolations submitViolations;
    ScenarioResult scenarioResult;
    /** Names and values of the counts that must be zero and are not. */
    std::vector<std::string> violations;
};

/**
 * Computes percentiles, shares and violations from the results of load, upstreams and scenario.
 * @param warmup start of the measured part; earlier requests are left out of latencies and shares
 */
void evaluate(RunReport& report, Duration warmup);

std::string tableHeader();
std::string tableRow(const RunReport& report);
std::string toJson(const RunReport& report);
/** Returns a chart of median, p99 and share of complete answers per second. */
std::string toSvg(const RunReport& report);

} // namespace banyancroft::tools
