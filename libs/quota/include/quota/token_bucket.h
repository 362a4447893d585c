#pragma once

#include "base/time.h"

#include <algorithm>

namespace banyancroft::quota {

/** Token bucket whose rate and capacity may change with each use. */
class TokenBucket {
public:
    TokenBucket(double tokens, TimePoint now)
        : tokens_(tokens)
        , refilledAt_(now)
    {
    }

    void refill(double perSecond, double capacity, TimePoint now)
    {
        const double seconds
            = std::chrono::duration<double>(std::max(now - refilledAt_, Duration::zero())).count();
        tokens_ = std::min(capacity, tokens_ + perSecond * seconds);
        refilledAt_ = std::max(refilledAt_, now);
    }

    /** @param reserve tokens that have to remain */
    bool tryTake(double reserve = 0)
    {
        if (tokens_ < 1 + reserve)
            return false;
        tokens_ -= 1;
        return true;
    }

    /** Returns a token; the next refill() limits the tokens to the capacity. */
    void giveBack() { tokens_ += 1; }
    double tokens() const { return tokens_; }

private:
    double tokens_;
    TimePoint refilledAt_;
};

} // namespace banyancroft::quota
