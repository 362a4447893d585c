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

/** Number of requests with one idempotency key, and of their outcomes. */
struct KeyOutcomes {
    unsigned sent = 0;
    unsigned done = 0;
    unsigned notRun = 0;
};

/** Request that was answered or whose connection broke, for percentiles and the chart. */
struct Sample {
    /** Scheduled send time since the start of the load. */
    Duration at {};
    /** Measured from the scheduled time, so that delays before sending count. */
    Duration latency {};
    bool search = false;
    bool done = false;
    bool complete = false;
    /** Number of sub-requests that the search needs: one per group. */
    std::size_t subrequests = 0;
};

struct LoadResult {
    std::vector<Sample> samples;
    std::map<std::string, KeyOutcomes> keys;
    /** Number of answers per reason, for outcomes other than done. */
    std::map<std::string, std::uint64_t> reasons;
    /** Number of shards missing from searches, per reason. */
    std::map<std::string, std::uint64_t> missingShards;
    /** Descriptions of the first false, malformed and missing answers. */
    std::vector<std::string> faults;
    std::uint64_t coverageErrors = 0;
    std::uint64_t malformed = 0;
    /** Requests that were sent but got no answer. */
    std::uint64_t unanswered = 0;
    /** Requests that no daemon accepted a connection for. */
    std::uint64_t unserved = 0;
};

/**
 * Sends the scheduled requests as the platform's load balancer does: to daemons that are ready, and to
 * another daemon if the request could not be sent. Blocks until all requests have ended.
 */
LoadResult runLoad(const std::vector<PlannedRequest>& schedule, const AnswerChecker& checker,
    const Endpoints& endpoints, TimePoint start);

} // namespace banyancroft::tools
