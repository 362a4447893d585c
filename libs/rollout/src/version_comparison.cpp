#include "rollout/version_comparison.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

namespace banyancroft::rollout {

namespace {

/** Logarithm of the likelihood ratio that decides: about one wrong decision in a million samples. */
constexpr double decisiveLogRatio = 14;
/** The same while there are no current samples of the other versions to compare with. */
constexpr double decisiveLogRatioUnpaired = 28;
/** Growth of the evidence in half a second, with and without current samples of the other versions: a pause
 * of one replica or of this VM, which lasts some 300 ms, must not decide. Failures that one VM sees are not
 * limited, since pauses cause none. */
constexpr double maxGrowth = 5;
constexpr double maxGrowthUnpaired = 14;
constexpr Duration growthPeriod = std::chrono::milliseconds(450);
/** Bad answers of a faulty version that are tested for, as fractions. */
constexpr std::array<double, 3> faultyRates { 0.1, 0.3, 0.7 };
/** The assumed rate exceeds that of the other versions by this factor at least. */
constexpr double minRateFactor = 3;
constexpr double maxFaultyRate = 0.95;
/** Half-life of the samples of the other versions. */
constexpr Duration baselineHalfLife = std::chrono::seconds(3);
/** Without a sample of the other versions for this time, they are not current. */
constexpr Duration baselineCurrent = std::chrono::seconds(1);
/** Weight that each sample leaves to the earlier ones in the rate of the last few. */
constexpr double latestRateKept = 0.8;
/** Decayed samples below which the other versions are not known well enough. */
constexpr double minBaselineSamples = 3;
/** Samples of a good version that are assumed in addition, so that few samples do not give a rate of zero. */
constexpr double priorSamples = 25;
constexpr double priorBad = 0.5;
/** Smallest rate assumed for slow answers: the threshold is a high quantile of the latency. */
constexpr double minSlowRate = 0.1;

/** Latencies of the other versions kept for each route and zone. */
constexpr std::size_t keptLatencies = 64;
constexpr std::size_t minLatencies = 10;
constexpr unsigned latencyUpdateInterval = 8;
/** An answer is slow above this factor of the median, above the quantile, and by this time above the median,
 * which the scheduling of a busy machine adds at any time. */
constexpr double slowMedianFactor = 2;
constexpr double slowQuantile = 0.9;
constexpr Duration minSlowExcess = std::chrono::milliseconds(2);

double badRate(double bad, double samples, Symptom symptom)
{
    const auto rate = (bad + priorBad) / (samples + priorSamples);
    return std::min(symptom == Symptom::Latency ? std::max(rate, minSlowRate) : rate, maxFaultyRate);
}

} // namespace

void VersionComparison::Baseline::observe(const SampleCounts& counts, TimePoint now)
{
    if (now > observedAt) {
        const auto factor = std::exp2(-toMillis(now - observedAt) / toMillis(baselineHalfLife));
        samples *= factor;
        bad *= factor;
        observedAt = now;
    }
    const auto added = static_cast<double>(counts.other);
    const auto addedBad = static_cast<double>(std::min(counts.otherBad, counts.other));
    samples += added;
    bad += addedBad;
    const auto kept = std::pow(latestRateKept, added);
    latestRate = latestRate * kept + addedBad / added * (1 - kept);
}

Duration VersionComparison::slowFrom(const Sample& sample) const
{
    const auto found = latencies_.find({ std::string(sample.route), std::string(sample.zone) });
    return found == latencies_.end() ? Duration::zero() : found->second.slowFrom;
}

void VersionComparison::observeLatency(const Sample& sample, Duration latency)
{
    auto& latencies = latencies_[{ std::string(sample.route), std::string(sample.zone) }];
    latencies.recent.push_back(latency);
    if (latencies.recent.size() > keptLatencies)
        latencies.recent.pop_front();
    if (latencies.recent.size() < minLatencies
        || (latencies.slowFrom > Duration::zero() && ++latencies.sinceUpdate < latencyUpdateInterval))
        return;
    latencies.sinceUpdate = 0;
    std::vector<Duration> sorted(latencies.recent.begin(), latencies.recent.end());
    std::sort(sorted.begin(), sorted.end());
    const auto quantile = sorted[static_cast<std::size_t>(slowQuantile * static_cast<double>(sorted.size()))];
    const auto median = sorted[sorted.size() / 2];
    latencies.slowFrom = std::max({ quantile, scaled(median, slowMedianFactor), median + minSlowExcess });
}

bool VersionComparison::isRepeated(const Sample& sample, Symptom symptom, bool bad, TimePoint now)
{
    if (!bad)
        return false;
    auto& lastBadAt = lastBadAt_[{ sample.replica, symptom }];
    if (sample.sentAt < lastBadAt)
        return true;
    lastBadAt = now;
    return false;
}

void VersionComparison::record(const Sample& sample, TimePoint now)
{
    const auto add = [&](Symptom symptom, bool bad) {
        if (isRepeated(sample, symptom, bad, now))
            return;
        SampleCounts counts;
        (sample.isTarget ? counts.target : counts.other) = 1;
        (sample.isTarget ? counts.targetBad : counts.otherBad) = bad ? 1 : 0;
        merge({ std::string(sample.route), std::string(sample.zone), symptom }, counts, now);
    };
    add(Symptom::Failures, sample.failed);
    if (sample.failed || !sample.hasLatency)
        return;
    const auto latency = now - sample.sentAt;
    if (const auto threshold = slowFrom(sample); threshold > Duration::zero())
        add(Symptom::Latency, latency > threshold);
    if (!sample.isTarget)
        observeLatency(sample, latency);
}

void VersionComparison::merge(const SampleGroup& group, const SampleCounts& counts, TimePoint now)
{
    auto& totals = totals_[group];
    totals.target += counts.target;
    totals.targetBad += counts.targetBad;
    totals.other += counts.other;
    totals.otherBad += counts.otherBad;

    auto& evidence = evidence_[group];
    auto& baseline = evidence.baseline;
    if (counts.other > 0)
        baseline.observe(counts, now);
    if (counts.target == 0 || baseline.samples < minBaselineSamples || isTargetBad())
        return;
    const auto usual = std::max(
        badRate(baseline.bad, baseline.samples, group.symptom), std::min(baseline.latestRate, maxFaultyRate));
    const auto bad = static_cast<double>(std::min(counts.targetBad, counts.target));
    const auto good = static_cast<double>(counts.target) - bad;
    const auto growth = now - baseline.observedAt < baselineCurrent ? maxGrowth : maxGrowthUnpaired;
    if (now - evidence.periodStartedAt >= growthPeriod) {
        evidence.periodStartedAt = now;
        evidence.earlierLogRatios = evidence.logRatios;
    }
    for (std::size_t i = 0; i < faultyRates.size(); ++i) {
        const auto faulty = std::min(std::max(faultyRates[i], minRateFactor * usual), maxFaultyRate);
        auto& logRatio = evidence.logRatios[i];
        logRatio += bad * std::log(faulty / usual) + good * std::log((1 - faulty) / (1 - usual));
        logRatio = std::max(logRatio, 0.0);
        if (scope_ == Scope::AllVms || group.symptom == Symptom::Latency)
            logRatio = std::min(logRatio, evidence.earlierLogRatios[i] + growth);
    }
    decide(group, now);
}

double VersionComparison::Evidence::strongest() const
{
    return *std::max_element(logRatios.begin(), logRatios.end());
}

void VersionComparison::decide(const SampleGroup& group, TimePoint now)
{
    const auto& evidence = evidence_[group];
    const bool isCurrent = now - evidence.baseline.observedAt < baselineCurrent;
    if (evidence.strongest() < (isCurrent ? decisiveLogRatio : decisiveLogRatioUnpaired))
        return;
    if (!isCurrent) {
        // Without others to compare with, latencies that one VM sees may be due to its own lack of processor
        // time.
        if (scope_ == Scope::OneVm && group.symptom == Symptom::Latency)
            return;
        // A fault of one zone is no fault of the version.
        std::set<std::string> zones;
        for (const auto& [other, otherEvidence] : evidence_) {
            if (other.symptom == group.symptom && otherEvidence.strongest() >= decisiveLogRatio)
                zones.insert(other.zone);
        }
        if (zones.size() < std::min<std::size_t>(targetZones_, 2))
            return;
    }
    reason_ = std::string(group.symptom == Symptom::Failures ? "failures" : "latency") + " on route "
        + group.route + " in zone " + group.zone;
}

} // namespace banyancroft::rollout
