#pragma once

#include "base/time.h"
#include "config/document.h"

#include <cstdint>
#include <string>
#include <vector>

namespace banyancroft::tools {

/** One request of the load, fixed before the run. */
struct PlannedRequest {
    enum class Kind { Search, Submit };

    /** Since the start of the load. */
    Duration at {};
    Kind kind = Kind::Search;
    /** Index into Document::collections; only for Search. */
    std::size_t collection = 0;
    /** Only for Submit. */
    std::string key;
    std::string statement;
    /** Draws the daemon: two requests with one key have different values. */
    std::uint64_t daemonSelector = 0;
};

struct LoadSettings {
    std::uint64_t seed = 1;
    /** Requests per second, on average. */
    double rate = 100;
    Duration length = std::chrono::seconds(10);
    /** Share of submits among all requests, and of submits whose key is sent twice. */
    double submitPercent = 8;
    double duplicatePercent = 25;
};

/**
 * Open-loop load: the times do not depend on the answers, so that a slow daemon cannot lower the load
 * that measures it. The gaps are exponential; one seed gives one schedule.
 */
std::vector<PlannedRequest> makeSchedule(const config::Document& document, const LoadSettings& settings);

} // namespace banyancroft::tools
