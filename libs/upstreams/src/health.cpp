#include "upstreams/health.h"

#include <algorithm>
#include <cmath>

namespace banyancroft::upstreams {

namespace {

/** Weight of the newest observation. */
constexpr double newestWeight = 0.25;
/** Time after which an observation has lost 63 % of its weight: trials of avoided replicas stay rare. */
constexpr double memorySeconds = 4;
/** Load of other VMs changes within a few service times; a report older than this says little. */
constexpr double loadMemorySeconds = 0.1;
/** A slower answer is no better news than this multiple of the usual time. */
constexpr double largestExcess = 30;
/** Cost of one round of waiting for a slot in answer times: queues of all VMs grow before any report. */
constexpr double queueCost = 3;
/** Cost of a refusal in usual answer times: a second send, the budget it takes and the wait before it. */
constexpr double refusalCost = 20;
/** Cost of a failure in usual answer times: it is noticed later than a refusal. */
constexpr double failureCost = 30;
/** A request without an answer for this multiple of the usual time shows that the replica stands still. */
constexpr double stallFactor = 4;
/** Shortest time without an answer that counts as standing still; below it lies scheduling noise. */
constexpr Duration leastStall = std::chrono::milliseconds(10);
/** Silence after which a connection is tried: longer than the pauses that replicas make. */
constexpr Duration silenceBeforeTrial = std::chrono::milliseconds(200);
/** Signs of silence in a row before a replica is suspect. */
constexpr unsigned suspectStreak = 2;
constexpr Duration firstTrialDelay = std::chrono::milliseconds(200);
constexpr Duration longestTrialDelay = std::chrono::milliseconds(400);

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

void UpstreamHealth::DecayingMean::observe(double value, TimePoint now)
{
    const double before = this->value(now);
    value_ = before + newestWeight * (value - before);
    at_ = now;
}

double UpstreamHealth::DecayingMean::value(TimePoint now) const
{
    if (value_ == 0 || now <= at_)
        return value_;
    return value_ * std::exp(-seconds(now - at_) / memorySeconds);
}

void UpstreamHealth::sent(TimePoint now) { sendTimes_.push_back(now); }

void UpstreamHealth::removeSendTime(TimePoint sentAt)
{
    const auto found = std::find(sendTimes_.begin(), sendTimes_.end(), sentAt);
    if (found != sendTimes_.end())
        sendTimes_.erase(found);
}

void UpstreamHealth::answered(TimePoint sentAt, TimePoint now, Duration typicalLatency)
{
    removeSendTime(sentAt);
    silentStreak_ = 0;
    lastSign_ = now;
    const double ratio = seconds(now - sentAt) / std::max(seconds(typicalLatency), 1e-6);
    excess_.observe(std::clamp(ratio - 1, -0.9, largestExcess), now);
    refusals_.observe(0, now);
    failures_.observe(0, now);
}

void UpstreamHealth::refused(TimePoint sentAt, TimePoint now)
{
    removeSendTime(sentAt);
    silentStreak_ = 0;
    lastSign_ = now;
    refusals_.observe(1, now);
}

void UpstreamHealth::failed(TimePoint sentAt, TimePoint now)
{
    removeSendTime(sentAt);
    failures_.observe(1, now);
}

void UpstreamHealth::abandoned(TimePoint sentAt) { removeSendTime(sentAt); }

void UpstreamHealth::timedOut(TimePoint sentAt, TimePoint now)
{
    removeSendTime(sentAt);
    // Answers that came after the send show that only this request was slow or lost.
    if (lastSign_ > sentAt) {
        failures_.observe(1, now);
        return;
    }
    ++silentStreak_;
    failures_.observe(1, now);
    nextProbe_ = std::max(nextProbe_, now + firstTrialDelay);
}

void UpstreamHealth::loadReported(const ReportedLoad& load, TimePoint now)
{
    const double total = load.running + load.waiting;
    othersLoad_ = std::max(0.0, total - static_cast<double>(outstanding()) - 1);
    loadAt_ = now;
}

void UpstreamHealth::connectFailed(bool refused, TimePoint now)
{
    // Unanswered requests and a failed connection together leave little doubt.
    const bool certain = refused || oldestAge(now) > silenceBeforeTrial;
    silentStreak_ += certain ? suspectStreak : 1;
    nextProbe_ = std::max(nextProbe_, now + firstTrialDelay);
}

void UpstreamHealth::connected(TimePoint now)
{
    // Old requests may hang all the same, so this is no answer to them.
    silentStreak_ = 0;
    nextProbe_ = now + longestTrialDelay;
}

bool UpstreamHealth::isSuspect(TimePoint) const { return silentStreak_ >= suspectStreak; }

bool UpstreamHealth::needsProbe(TimePoint now) const
{
    return silentStreak_ > 0 || oldestAge(now) > silenceBeforeTrial;
}

void UpstreamHealth::probeStarted(TimePoint now)
{
    const auto doubled = firstTrialDelay * (1U << std::min(silentStreak_, 4U));
    nextProbe_ = now + std::min<Duration>(doubled, longestTrialDelay);
}

Duration UpstreamHealth::oldestAge(TimePoint now) const
{
    if (sendTimes_.empty())
        return {};
    // An answer that came after the oldest send shows that the replica works on.
    const auto oldest = *std::min_element(sendTimes_.begin(), sendTimes_.end());
    return now - std::max(oldest, lastSign_);
}

double UpstreamHealth::othersLoad(TimePoint now) const
{
    if (othersLoad_ <= 0)
        return 0;
    return othersLoad_ * std::exp(-seconds(now - loadAt_) / loadMemorySeconds);
}

double UpstreamHealth::relativeLatency(TimePoint now) const { return 1 + excess_.value(now); }

Duration UpstreamHealth::expectedDelay(unsigned slots, Duration typicalLatency, TimePoint now) const
{
    const double ahead = othersLoad(now) + outstanding();
    const double slotCount = std::max(1U, slots);
    const double waiting = std::max(0.0, ahead + 1 - slotCount) / slotCount;
    const double usual = std::max(0.1, relativeLatency(now));
    const double extra = refusalCost * refusals_.value(now) + failureCost * failures_.value(now);
    auto delay = scaled(typicalLatency, usual * (1 + queueCost * waiting) + extra);
    const auto stalledFor = oldestAge(now);
    // A replica that has been still for some time is expected to stay so for about as long again.
    if (stalledFor > std::max(leastStall, scaled(typicalLatency, stallFactor * usual)))
        delay += stalledFor;
    return delay;
}

} // namespace banyancroft::upstreams
