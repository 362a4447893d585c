#pragma once

#include "base/time.h"

#include <array>
#include <cstdint>

namespace banyancroft::dispatch {

/**
 * Estimates latency quantiles of one kind of request over all replicas, from a logarithmic histogram.
 *
 * Recent observations have more weight: all weights are halved every few hundred observations. Does not
 * allocate memory.
 */
class LatencyQuantiles {
public:
    void observe(Duration latency);
    /**
     * @param rank 0 to 1
     * @param fallback returned while there are too few observations
     */
    Duration quantile(double rank, Duration fallback) const;

private:
    /** Logarithmic buckets, four per doubling, from 0.1 ms to about 100 s. */
    static constexpr unsigned bucketCount = 80;

    std::array<float, bucketCount> weights_ {};
    float total_ = 0;
    std::uint32_t observationsSinceHalving_ = 0;
};

/**
 * Time after which an unanswered sub-request is hedged, that is sent to a second replica.
 *
 * Limits the effect of one paused or slow replica among many: the hedge is sent while the latency objective
 * can still be met, and earlier when more retry budget is left.
 * @param budgetLeft unspent fraction of the retry budget, 0 to 1
 * @param objective latency objective of the request
 */
Duration hedgeDelay(const LatencyQuantiles& latencies, double budgetLeft, Duration objective);

} // namespace banyancroft::dispatch
