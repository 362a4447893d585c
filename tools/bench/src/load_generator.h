#pragma once

#include "answer_checker.h"
#include "cluster.h"
#include "load_schedule.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace banyancroft::tools {

/** Answers to all requests with one idempotency key. */
struct KeyOutcomes {
    unsigned sent = 0;
    unsigned done = 0;
    unsigned notRun = 0;
};

/** One answered or cut request, for percentiles and the chart. */
struct Sample {
    /** Scheduled time since the start of the load. */
    Duration at {};
    /** From the scheduled time, so that waiting before the send counts. */
    Duration latency {};
    bool search = false;
    bool done = false;
    bool complete = false;
    /** Sub-requests that the search needs: one per group. */
    std::size_t subrequests = 0;
};

struct LoadResult {
    std::vector<Sample> samples;
    std::map<std::string, KeyOutcomes> keys;
    /** Reasons of answers that were not done, with their numbers. */
    std::map<std::string, std::uint64_t> reasons;
    /** Reasons of shards that searches lacked, with their numbers. */
    std::map<std::string, std::uint64_t> missingShards;
    /** First few contradictions and malformed answers. */
    std::vector<std::string> faults;
    std::uint64_t coverageErrors = 0;
    std::uint64_t malformed = 0;
    /** Requests that left and got no answer. */
    std::uint64_t unanswered = 0;
    /** Requests for which no ready daemon took the connection. */
    std::uint64_t unserved = 0;
};

/**
 * Sends a schedule to the daemons as the platform's load balancer does: to those that report
 * readiness, and to another one when a connection is refused. Runs on the caller's thread.
 */
LoadResult runLoad(const std::vector<PlannedRequest>& schedule, const AnswerChecker& checker,
    const Endpoints& endpoints, TimePoint start);

} // namespace banyancroft::tools
