#pragma once

#include "base/time.h"

#include <array>
#include <cstdint>

namespace banyancroft::dispatch {

/**
 * Running quantiles of the answer times of one kind of request, over all its replicas.
 * Recent answers weigh more: all weights are halved every few hundred answers. Allocates nothing.
 */
class LatencyQuantiles {
public:
    void observe(Duration time);
    /** @param share 0 to 1  @param fallback given while there are too few answers */
    Duration quantile(double share, Duration fallback) const;

private:
    /** Logarithmic buckets, four to a doubling, from 0.1 ms to about 100 s. */
    static constexpr unsigned bucketCount = 80;

    std::array<float, bucketCount> weights_ {};
    float total_ = 0;
    std::uint32_t sinceHalving_ = 0;
};

/**
 * How long a sub-request stays alone before a second copy is worth its budget.
 *
 * Answers the load of one paused or slow replica among many: the copy goes out while the objective can
 * still be met, earlier the more budget there is.
 * @param budgetLeft share of the retry budget that is unspent, 0 to 1
 * @param objectiveLeft time until the answer is worth less
 */
Duration hedgeDelay(const LatencyQuantiles& times, double budgetLeft, Duration objective);

} // namespace banyancroft::dispatch
