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

/** What an upstream saw, for the checks after a run. */
struct ReplicaCounters {
    std::uint64_t searches = 0;
    std::uint64_t submits = 0;
    /** Most requests that ran at one time. */
    unsigned maxRunning = 0;
    /** Requests that arrived while the upstream already ran its limit. */
    std::uint64_t overLimit = 0;
    /** The part of overLimit that arrived during a cold start. */
    std::uint64_t overColdLimit = 0;
    std::uint64_t overConnections = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t deadlineExceeded = 0;
    /** Requests whose connection closed before the answer and that nobody cancelled. */
    std::uint64_t abandoned = 0;
    std::uint64_t shed = 0;
    /** Requests for a layout or index version that is not served. */
    std::uint64_t wrongVersion = 0;
    /** Requests for a shard that the upstream does not hold. */
    std::uint64_t wrongShard = 0;
    std::uint64_t malformed = 0;
    /** Runs of submits per idempotency key. */
    std::map<std::string, std::uint64_t> runs;
    /** Arrival of the last search or submit. */
    TimePoint lastRequest {};
};

/**
 * Limits, versions and books of one emulated upstream; does no I/O.
 *
 * A request over the limit is booked and then run, slowly: an upstream that is loaded beyond what it
 * bears gets slow, it does not protect itself. Owned by one thread; time is an argument.
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

    /** Books the start of a request. @return time that it runs */
    Duration begin(RequestKind kind, TimePoint now);
    /** Ends a request; an answered one counts towards the end of a cold start. */
    void end(bool answered);
    void recordRun(const std::string& key) { ++counters_.runs[key]; }

    /** New process: nothing runs, new boot id, cold until the answers are given and the time has passed. */
    void restart(std::uint64_t coldAnswers, Duration coldTime, TimePoint now);
    bool cold(TimePoint now) const { return coldAnswers_ > 0 || now < coldUntil_; }
    unsigned limit(TimePoint now) const { return cold(now) ? settings_.coldLimit : settings_.slots; }
    unsigned running() const { return running_; }
    /** Changes with each restart. */
    std::string bootId() const;

    bool servesShard(const std::string& shard) const { return settings_.shards.contains(shard); }
    /** Version of an answer to a request for `wanted` (zero: the newest); zero when it is not served. */
    static std::uint64_t selectVersion(const std::vector<std::uint64_t>& served, std::uint64_t wanted);

    /** Draws from the upstream's own seeded numbers: true in the given share of calls. */
    bool drawPercent(double percent);

    const Settings& settings() const { return settings_; }
    ReplicaCounters& counters() { return counters_; }
    void resetCounters() { counters_ = {}; }

    /** Set by admin calls. */
    std::vector<std::uint64_t> servedIndexes { 1 };
    std::vector<std::uint64_t> servedLayouts { 1 };
    /** Factor on the service time. */
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
