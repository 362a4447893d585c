#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "upstream_emulator/service_time.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace banyancroft::tools {

/** Counters of one upstream, checked after a run. */
struct ReplicaCounters {
    std::uint64_t searches = 0;
    std::uint64_t submits = 0;
    /** Maximum number of concurrently running requests. */
    unsigned maxRunning = 0;
    /** Requests that arrived while the upstream was at its concurrency limit. */
    std::uint64_t overLimit = 0;
    /** Those of overLimit that arrived during a cold start. */
    std::uint64_t overColdLimit = 0;
    /** Connections that were reset because the connection limit was reached. */
    std::uint64_t overConnections = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t deadlineExceeded = 0;
    /** Requests that ran to the end although their connection had closed, since no /cancel arrived. */
    std::uint64_t abandoned = 0;
    std::uint64_t shed = 0;
    /** Requests for a layout or index version that the upstream does not serve. */
    std::uint64_t wrongVersion = 0;
    /** Requests for a shard that the upstream does not serve. */
    std::uint64_t wrongShard = 0;
    std::uint64_t malformed = 0;
    /** Executed submits per idempotency key. */
    std::map<std::string, std::uint64_t> runs;
    /** Arrival time of the last search or submit. */
    TimePoint lastRequest {};
};

/**
 * Models the limits, served versions and counters of one emulated upstream, without I/O.
 *
 * A request over the limit is counted and runs with a longer service time: an overloaded upstream slows down
 * rather than rejecting requests. Not thread-safe; the current time is passed in.
 */
class Replica {
public:
    struct Settings {
        std::string id;
        std::string service;
        std::string group;
        std::string zone;
        std::set<std::string> shards;
        unsigned slots = 1;
        unsigned coldLimit = 1;
        unsigned connections = 1;
        ServiceTime serviceTime;
        std::uint64_t seed = 0;
    };
    enum class RequestKind { Search, Submit };

    explicit Replica(Settings settings);

    /** Records the start of a request. @return its service time */
    Duration begin(RequestKind kind, TimePoint now);
    /** Records the end of a request; answered requests count towards the end of a cold start. */
    void end(bool answered);
    void recordRun(const std::string& key) { ++counters_.runs[key]; }

    /**
     * Emulates a process restart: no running requests and a new boot ID. The upstream is cold until it has
     * given `coldAnswers` answers and `coldTime` has passed.
     */
    void restart(std::uint64_t coldAnswers, Duration coldTime, TimePoint now);
    bool cold(TimePoint now) const { return coldAnswers_ > 0 || now < coldUntil_; }
    unsigned limit(TimePoint now) const { return cold(now) ? settings_.coldLimit : settings_.slots; }
    unsigned running() const { return running_; }
    /** Changes with each restart. */
    std::string bootId() const;

    bool servesShard(const std::string& shard) const { return settings_.shards.contains(shard); }
    /** Returns the version to answer with, `wanted` or the newest if it is zero; zero if it is not served. */
    static std::uint64_t selectVersion(const std::vector<std::uint64_t>& served, std::uint64_t wanted);

    /** Returns true with the given probability, from the seeded generator of the upstream. */
    bool drawPercent(double percent);

    const Settings& settings() const { return settings_; }
    ReplicaCounters& counters() { return counters_; }
    void resetCounters() { counters_ = {}; }

    // Set by admin calls.
    std::vector<std::uint64_t> servedIndexes { 1 };
    std::vector<std::uint64_t> servedLayouts { 1 };
    /** Multiplies the service time. */
    double slowdownFactor = 1.0;
    bool draining = false;

private:
    Settings settings_;
    ReplicaCounters counters_;
    std::mt19937_64 random_;
    unsigned running_ = 0;
    std::uint64_t boots_ = 1;
    std::uint64_t coldAnswers_ = 0;
    TimePoint coldUntil_ {};
};

} // namespace banyancroft::tools
