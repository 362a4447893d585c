#include "search/policy_state.h"

#include <boost/histogram.hpp>

#include <algorithm>

namespace banyancroft::search {

namespace {

namespace bh = boost::histogram;

// Buckets from 10 µs to 10 s, each about 11 % wide: finer than the hedge delay needs to be.
constexpr unsigned bucketCount = 128;
constexpr double minMicros = 10;
constexpr double maxMicros = 1e7;

// All weights are halved after this many samples, so the quantiles reflect roughly the last 4,000 samples.
constexpr std::uint64_t samplesPerHalving = 2048;
// The quantiles are recomputed once per this many samples and cached, so that reading them is cheap.
constexpr std::uint64_t samplesPerRefresh = 64;
// With fewer samples the 95th percentile depends on one or two values.
constexpr std::uint64_t minSamples = 32;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Weights = bh::dense_storage<double>;

} // namespace

struct HedgePolicy::Histogram {
    decltype(bh::make_histogram_with(Weights(), std::declval<Axis>())) value
        = bh::make_histogram_with(Weights(), Axis(bucketCount, minMicros, maxMicros));
};

HedgePolicy::HedgePolicy()
    : histogram_(std::make_unique<Histogram>())
{
}

HedgePolicy::~HedgePolicy() = default;
HedgePolicy::HedgePolicy(HedgePolicy&&) noexcept = default;
HedgePolicy& HedgePolicy::operator=(HedgePolicy&&) noexcept = default;

void HedgePolicy::observe(Duration latency)
{
    const auto micros = std::chrono::duration<double, std::micro>(latency).count();
    histogram_->value(std::clamp(micros, minMicros, maxMicros * 0.999));
    ++samples_;
    if (samples_ % samplesPerHalving == 0)
        histogram_->value *= 0.5;
    if (samples_ == minSamples || samples_ % samplesPerRefresh == 0)
        refresh();
}

void HedgePolicy::setQuantile(double quantile)
{
    if (quantile == quantile_)
        return;
    quantile_ = quantile;
    refresh();
}

Duration HedgePolicy::delay(Duration fallback) const { return samples_ < minSamples ? fallback : delay_; }

Duration HedgePolicy::median(Duration fallback) const { return samples_ < minSamples ? fallback : median_; }

void HedgePolicy::refresh()
{
    double total = 0;
    for (unsigned i = 0; i < bucketCount; ++i)
        total += histogram_->value.at(static_cast<int>(i));
    delay_ = quantile(quantile_, total);
    median_ = quantile(0.5, total);
}

Duration HedgePolicy::quantile(double share, double total) const
{
    double below = 0;
    double micros = maxMicros;
    for (unsigned i = 0; i < bucketCount; ++i) {
        below += histogram_->value.at(static_cast<int>(i));
        if (below >= share * total) {
            // Upper edge: a slightly late hedge costs less than an unnecessary one.
            micros = histogram_->value.axis().bin(static_cast<int>(i)).upper();
            break;
        }
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(micros));
}

} // namespace banyancroft::search
