#pragma once

#include "base/time.h"
#include "load_generator.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace banyancroft::tools {

/** Sums of the counters of all upstreams. */
struct CounterTotals {
    std::uint64_t searches = 0;
    std::uint64_t submits = 0;
    std::uint64_t overLimit = 0;
    std::uint64_t overColdLimit = 0;
    std::uint64_t overConnections = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t wrongShard = 0;
    /** Executed submits per idempotency key, over all upstreams. */
    std::map<std::string, std::uint64_t> runs;
    /** Arrival time of the last request at the upstreams of each zone. */
    std::map<std::string, TimePoint> zoneLastRequest;
};

/** Sums the counters in a response of GET /books; throws std::exception if it is malformed. */
CounterTotals sumCounters(std::string_view json);

/** Contradictions between the outcomes of submits and the runs that the upstreams counted. */
struct SubmitViolations {
    /** Number of runs after the first one of a key, over all keys. */
    std::uint64_t duplicateRuns = 0;
    /** Keys that ran although all answers were not_run. */
    std::uint64_t ranDespiteNotRun = 0;
    /** Keys that were reported as done but did not run. */
    std::uint64_t doneWithoutRun = 0;
};

SubmitViolations verifySubmits(const std::map<std::string, KeyOutcomes>& keys, const CounterTotals& counters);

} // namespace banyancroft::tools
