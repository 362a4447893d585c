#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>

namespace banyancroft::rollout {

/** End of one request to a replica. */
struct Sample {
    std::string_view route;
    /** Availability zone of the replica. */
    std::string_view zone;
    /** Identifies the run of the replica. */
    std::uint64_t replica = 0;
    bool isTarget = false;
    bool failed = false;
    /** False if the latency says nothing about the version, e.g. because the replica is cold. */
    bool hasLatency = true;
    TimePoint sentAt {};
};

/** Numbers of samples of both versions; `bad` counts failures or slow answers. */
struct SampleCounts {
    std::uint64_t target = 0;
    std::uint64_t targetBad = 0;
    std::uint64_t other = 0;
    std::uint64_t otherBad = 0;
};

enum class Symptom { Failures, Latency };

/** What is compared with each other: replicas of one zone on one route. */
struct SampleGroup {
    std::string route;
    std::string zone;
    Symptom symptom = Symptom::Failures;

    auto operator<=>(const SampleGroup&) const = default; // NOLINT(modernize-use-nullptr)
};

/**
 * Compares the target version of a service with the other versions, by a sequential test.
 *
 * Each answer of the target version multiplies the evidence by the ratio of its probability under a faulty
 * version and under a version like the others (a cumulative sum that does not fall below zero, so that a
 * version that turns bad late is found as fast as one that is bad at once). The probability of bad answers of
 * the other versions is that of the last seconds on the same route and in the same zone, so that a fault of a
 * zone, which affects both, is no evidence.
 *
 * At the full share there are no such samples. Then the evidence has to be greater and, if the target version
 * runs in several zones, has to come from two of them; latencies then decide only over several VMs.
 * Simultaneous bad answers of one replica, which pause together, count once. Owned by one thread; no I/O.
 */
class VersionComparison {
public:
    enum class Scope {
        OneVm,
        /** Samples of several VMs. A replica that pauses gives each of them bad answers at the same time, so
         * the evidence grows by a limited amount each half second. That of one VM does so for latencies only.
         */
        AllVms,
    };

    explicit VersionComparison(Scope scope = Scope::OneVm)
        : scope_(scope)
    {
    }

    void record(const Sample& sample, TimePoint now);
    /** Adds samples of another VM. @param counts samples since the previous call for that VM and group */
    void merge(const SampleGroup& group, const SampleCounts& counts, TimePoint now);
    /** Number of availability zones with replicas of the target version; 1 initially. */
    void setTargetZones(std::size_t zones) { targetZones_ = zones; }
    /** True once the evidence that the target version is worse suffices; stays true. */
    bool isTargetBad() const { return !reason_.empty(); }
    /** Route, zone and symptom that decided; empty while undecided. */
    const std::string& reason() const { return reason_; }
    /** All samples so far, for merge() on another VM. */
    const std::map<SampleGroup, SampleCounts>& totals() const { return totals_; }

private:
    /** Samples of the other versions, of which older ones lose weight. */
    struct Baseline {
        double samples = 0;
        double bad = 0;
        /** Rate of bad answers among the last few, which follows a sudden fault of a zone at once. */
        double latestRate = 0;
        TimePoint observedAt {};

        void observe(const SampleCounts& counts, TimePoint now);
    };
    struct Evidence {
        /** Logarithm of the likelihood ratio for each assumed rate of bad answers. */
        std::array<double, 3> logRatios {};
        /** The same at the start of the current half second. */
        std::array<double, 3> earlierLogRatios {};
        TimePoint periodStartedAt {};
        double strongest() const;
        Baseline baseline;
    };
    /** Latest latencies of the other versions on a route. */
    struct Latencies {
        std::deque<Duration> recent;
        Duration slowFrom {};
        unsigned sinceUpdate = 0;
    };

    /** Decides if the evidence of the group, with that of other zones where needed, suffices. */
    void decide(const SampleGroup& group, TimePoint now);
    /** Latency from which an answer counts as slow; zero while unknown. */
    Duration slowFrom(const Sample& sample) const;
    void observeLatency(const Sample& sample, Duration latency);
    /** True if the replica has had a bad answer while this request was in progress. */
    bool isRepeated(const Sample& sample, Symptom symptom, bool bad, TimePoint now);

    Scope scope_;
    std::map<SampleGroup, Evidence> evidence_;
    std::map<SampleGroup, SampleCounts> totals_;
    std::map<std::pair<std::string, std::string>, Latencies> latencies_;
    std::map<std::pair<std::uint64_t, Symptom>, TimePoint> lastBadAt_;
    std::size_t targetZones_ = 1;
    std::string reason_;
};

} // namespace banyancroft::rollout
