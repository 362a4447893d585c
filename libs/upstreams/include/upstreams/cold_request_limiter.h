#pragma once

#include "base/time.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <deque>

namespace banyancroft::upstreams {

/**
 * Limits the requests that this VM sends to one cold replica in any second. The limit also holds across a
 * restart of the process: the previous one may have used its share just before it ended, so a new process
 * sends nothing to cold replicas for one window. Owned by the traffic thread.
 */
class ColdRequestLimiter {
public:
    /** @param startedAt start time of this process */
    explicit ColdRequestLimiter(TimePoint startedAt)
        : earliestSend_(startedAt + window)
    {
    }

    /**
     * @param perSecond requests per second that this VM may send
     * @return true when one more request may be sent now
     */
    bool maySend(double perSecond, TimePoint now)
    {
        if (now < earliestSend_)
            return false;
        while (!sendTimes_.empty() && now - sendTimes_.front() >= window)
            sendTimes_.pop_front();
        return static_cast<double>(sendTimes_.size()) + 1 <= perSecond;
    }

    /** Earliest time at which maySend() can hold for `perSecond`; TimePoint::max() below one a second. */
    TimePoint earliestSend(double perSecond, TimePoint now) const
    {
        if (perSecond < 1)
            return TimePoint::max();
        const auto count = static_cast<double>(sendTimes_.size());
        if (count + 1 <= perSecond)
            return std::max(now, earliestSend_);
        const auto expiring = static_cast<std::size_t>(count - std::floor(perSecond));
        return std::max({ now, earliestSend_, sendTimes_[expiring] + window });
    }

    void sent(TimePoint now) { sendTimes_.push_back(now); }

private:
    /** Longer than the second for which the limit holds, to allow for jitter between VM and replica. */
    static constexpr Duration window = std::chrono::milliseconds(1100);

    TimePoint earliestSend_;
    std::deque<TimePoint> sendTimes_;
};

} // namespace banyancroft::upstreams
