#pragma once

#include "base/time.h"
#include "load_generator.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace banyancroft::tools {

/** Sums over the books of all upstreams. */
struct CounterTotals {
    std::uint64_t searches = 0;
    std::uint64_t submits = 0;
    std::uint64_t overLimit = 0;
    std::uint64_t overColdLimit = 0;
    std::uint64_t overConnections = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t wrongShard = 0;
    /** Runs per idempotency key, over all upstreams. */
    std::map<std::string, std::uint64_t> runs;
    std::map<std::string, TimePoint> zoneLastRequest;
};

/** Reads the answer of GET /books; throws std::exception when it is none. */
CounterTotals sumCounters(std::string_view json);

/** What the books say about the answers to submits. */
struct SubmitViolations {
    /** Runs beyond the first, over all keys. */
    std::uint64_t duplicateRuns = 0;
    /** Keys that ran although every answer said that they did not. */
    std::uint64_t ranDespiteNotRun = 0;
    /** Keys that were reported as done and never ran. */
    std::uint64_t doneWithoutRun = 0;
};

SubmitViolations verifySubmits(const std::map<std::string, KeyOutcomes>& keys, const CounterTotals& counters);

} // namespace banyancroft::tools
