#pragma once

#include "base/time.h"
#include "config/document.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyancroft::tools {

/** Request that is scheduled before the run. */
struct PlannedRequest {
    enum class Kind { Search, Submit };

    /** Send time since the start of the load. */
    Duration at {};
    Kind kind = Kind::Search;
    /** Index into Document::collections; only for Search. */
    std::size_t collection = 0;
    /** Idempotency key; only for Submit. */
    std::string key;
    std::string statement;
    /** Modulo the number of daemons, the index of the daemon. Differs between the requests with one key. */
    std::uint64_t daemonSelector = 0;
};

struct LoadSettings {
    std::uint64_t seed = 1;
    /** Requests per second, on average. */
    double rate = 100;
    Duration length = std::chrono::seconds(10);
    /** Share of submits among all requests. */
    double submitPercent = 8;
    /** Share of submits whose key is sent twice, to two daemons. */
    double duplicatePercent = 25;
};

/**
 * Creates an open-loop schedule: send times do not depend on answers, so that a slow daemon does not reduce
 * the load. Gaps are exponentially distributed; equal seeds give equal schedules.
 */
std::vector<PlannedRequest> makeSchedule(const config::Document& document, const LoadSettings& settings);

} // namespace banyancroft::tools
