#pragma once

#include <algorithm>
#include <cstdint>

namespace banyancroft::search {

/**
 * Limits additional sub-requests (hedges, retries) to a share of the regular ones: the units spent never
 * exceed share × regular sub-requests + burst.
 *
 *     budget.earn(350);
 *     if (budget.trySpend())
 *         sendHedge();
 *
 * Owned by one traffic thread; not thread-safe.
 */
class ShareBudget {
public:
    /** @param burst units that may be spent beyond those earned; available from the start */
    ShareBudget(double percent, double burst)
        : share_(percent / 100)
        , burst_(burst)
        , available_(burst)
    {
    }

    void setPercent(double percent)
    {
        share_ = percent / 100;
        // A share of zero disables the mechanism immediately, regardless of the remaining burst.
        available_ = share_ > 0 ? available_ : 0;
    }

    /** Adds the units for the given number of regular sub-requests. */
    void earn(std::uint64_t subrequests)
    {
        const double earned = share_ * static_cast<double>(subrequests);
        // Allows one large query to spend everything it earned itself.
        available_ = std::min(burst_ + earned, available_ + earned);
    }

    /** Spends `count` units; false, without spending any, when fewer are available. */
    bool trySpend(std::uint64_t count = 1)
    {
        if (available_ < static_cast<double>(count)) {
            ++denied_;
            return false;
        }
        available_ -= static_cast<double>(count);
        spent_ += count;
        return true;
    }

    std::uint64_t spent() const { return spent_; }
    std::uint64_t denied() const { return denied_; }

private:
    double share_;
    double burst_;
    double available_;
    std::uint64_t spent_ = 0;
    std::uint64_t denied_ = 0;
};

} // namespace banyancroft::search
