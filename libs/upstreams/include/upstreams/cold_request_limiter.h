#pragma once

#include "base/time.h"

#include <deque>

namespace banyancroft::upstreams {

/**
 * Limits the requests that this VM sends to one cold replica in any second, also across a restart: the
 * earlier process may have used its share just before it ended, so the next one waits for a window.
 * Owned by the traffic thread.
 */
class ColdRequestLimiter {
public:
    /** @param startedAt start of this VM's process */
    explicit ColdRequestLimiter(TimePoint startedAt)
        : earliest_(startedAt + window)
    {
    }

    /** @param perSecond this VM's share of what the replica bears  @return true when one more may go now */
    bool maySend(double perSecond, TimePoint now)
    {
        if (now < earliest_)
            return false;
        while (!starts_.empty() && now - starts_.front() >= window)
            starts_.pop_front();
        return static_cast<double>(starts_.size()) + 1 <= perSecond;
    }

    void sent(TimePoint now) { starts_.push_back(now); }

private:
    /** The limit holds in any second; the rest is for the spread of delays on the way. */
    static constexpr Duration window = std::chrono::milliseconds(1100);

    TimePoint earliest_;
    std::deque<TimePoint> starts_;
};

} // namespace banyancroft::upstreams
