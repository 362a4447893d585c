#pragma once

#include "base/time.h"

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

    void sent(TimePoint now) { sendTimes_.push_back(now); }

private:
    /** Longer than the second for which the limit holds, to allow for jitter between VM and replica. */
    static constexpr Duration window = std::chrono::milliseconds(1100);

    TimePoint earliestSend_;
    std::deque<TimePoint> sendTimes_;
};

} // namespace banyancroft::upstreams
