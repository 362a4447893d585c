#pragma once

#include "counter_totals.h"
#include "load_generator.h"
#include "scenario.h"

#include <optional>
#include <string>
#include <vector>

namespace banyancroft::tools {

/** Latencies of a run in milliseconds, from the scheduled times. */
struct Percentiles {
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
};

/** Value at a quantile by nearest rank; zero for no values. Sorts the values. */
double quantile(std::vector<double>& values, double rank);

/** All results of one run. */
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
    /** Sub-requests that upstreams got before the measured part. */
    std::uint64_t warmupSubrequests = 0;
    LoadResult load;
    CounterTotals counters;
    /** Answer of GET /books of the platform emulator: calls per kind. */
    std::string platformCounters;
    SubmitViolations submitViolations;
    ScenarioResult scenarioResult;
    /** Empty when all counts that must be zero are; otherwise their names and values. */
    std::vector<std::string> violations;
};

/** Fills percentiles, shares and violations from load, books and scenario. @param warmup left out of
 * latencies */
void evaluate(RunReport& report, Duration warmup);

std::string tableHeader();
std::string tableRow(const RunReport& report);
std::string toJson(const RunReport& report);
/** Chart of median, p99 and full coverage per second. */
std::string toSvg(const RunReport& report);

} // namespace banyancroft::tools
