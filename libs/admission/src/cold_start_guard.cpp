#include "admission/cold_start_guard.h"

#include <algorithm>

namespace banyancroft::admission {

namespace {

/** Weights of one answer in the moving averages of the recent and of the usual latency. */
constexpr double recentWeight = 1.0 / 8;
constexpr double usualWeight = 1.0 / 128;
/**
 * Recent latency that counts as high, as a multiple of the usual latency. 2 is above the variation of the
 * recent average of a warm upstream and below the slowdown of a cold one.
 */
constexpr double highLatencyFactor = 2.0;

} // namespace

ColdStartGuard::ColdStartGuard(const DeclaredLimits& declared) { setDeclaredLimits(declared); }

void ColdStartGuard::setDeclaredLimits(const DeclaredLimits& declared)
{
    declared_ = declared;
    declared_.slots = std::max(1U, declared.slots);
    declared_.coldLimit = std::clamp(declared.coldLimit, 1U, declared_.slots);
    declared_.answersPerStep = std::max(1U, declared.answersPerStep);
    limit_ = std::min(limit_, declared_.slots);
    if (cold_)
        enterColdStart();
}

void ColdStartGuard::enterColdStart()
{
    if (!cold_)
        ++coldStarts_;
    cold_ = true;
    limit_ = declared_.coldLimit;
    answersInStep_ = 0;
}

void ColdStartGuard::observeColdEvidence(ColdEvidence /*evidence*/) { enterColdStart(); }

bool ColdStartGuard::isSuperseded(std::string_view boot) const
{
    return std::find(superseded_.begin(), superseded_.end(), boot) != superseded_.end();
}

void ColdStartGuard::setCurrentBoot(std::string_view boot)
{
    const bool first = boot_.empty();
    if (!first) {
        superseded_.at(nextSuperseded_) = boot_;
        nextSuperseded_ = (nextSuperseded_ + 1) % supersededBootCount;
    }
    boot_ = boot;
    ++bootGeneration_;
    if (first)
        return;
    if (cold_)
        ++coldStarts_;
    enterColdStart();
    recentLatency_ = 0;
    usualLatency_ = 0;
}

void ColdStartGuard::observeLatency(Duration latency)
{
    const auto sample = static_cast<double>(latency.count());
    recentLatency_ = recentLatency_ == 0 ? sample : recentLatency_ + recentWeight * (sample - recentLatency_);
    if (!cold_)
        usualLatency_ = usualLatency_ == 0 ? sample : usualLatency_ + usualWeight * (sample - usualLatency_);
}

bool ColdStartGuard::latencyIsHigh() const
{
    return usualLatency_ > 0 && recentLatency_ > highLatencyFactor * usualLatency_;
}

void ColdStartGuard::observeAnswer(const UpstreamAnswer& answer)
{
    if (!answer.boot.empty() && answer.boot != boot_) {
        // A late reply of an ended process carries no information about the current one.
        if (isSuperseded(answer.boot))
            return;
        setCurrentBoot(answer.boot);
    }
    if (answer.cold || (answer.shed && latencyIsHigh())) {
        enterColdStart();
        return;
    }
    if (!answer.completed)
        return;
    observeLatency(answer.latency);
    // Without a boot id the answer may come from another process than the one the limit applies to.
    if (answer.boot.empty() || ++answersInStep_ < declared_.answersPerStep)
        return;
    answersInStep_ = 0;
    limit_ = std::min(limit_ + 1, declared_.slots);
    if (limit_ == declared_.slots)
        cold_ = false;
}

void ColdStartGuard::observeHealthReport(const HealthReport& report)
{
    const bool otherBoot = !report.boot.empty() && !boot_.empty() && report.boot != boot_;
    // A report from before the last restart describes an ended process.
    if (otherBoot && isSuperseded(report.boot))
        return;
    if (report.cold || otherBoot)
        enterColdStart();
    if (report.slots > 0 && report.slots < limit_) {
        limit_ = report.slots;
        answersInStep_ = 0;
    }
}

} // namespace banyancroft::admission
