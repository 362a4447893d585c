#include "upstreams/health.h"

#include <algorithm>
#include <cmath>

namespace banyancroft::upstreams {

namespace {

constexpr double newestObservationWeight = 0.25;
/** Time constant of the decay: an observation loses 63 % of its weight in this time. Long enough that avoided
 * replicas are rarely retried. */
constexpr double observationDecaySeconds = 4;
/** Time constant of the decay of load reports: the load of other VMs changes within a few service times. */
constexpr double loadReportDecaySeconds = 0.1;
/** Time constant of the decay of reported slowness, which changes many times a second: an older figure says
 * little about the next request. */
constexpr double slownessDecaySeconds = 0.1;
/** Range of reported slowness that is used; more is a false report or has the same effect. */
constexpr double minSlowness = 0.1;
constexpr double maxSlowness = 30;
/** Bounds the effect of one very slow answer, as a multiple of the typical latency. */
constexpr double maxLatencyExcess = 30;
/** Cost of one full queue of waiting requests, in multiples of the replica's latency. Above 1 because the
 * requests of all VMs queue up before a load report shows it. */
constexpr double queueingCost = 3;
/** Cost of a refusal in typical latencies: the second send, its retry budget and the delay before it. */
constexpr double refusalCost = 20;
/** Cost of a failure in typical latencies; higher than a refusal because it is detected later. */
constexpr double failureCost = 30;
/** A replica counts as stalled when a request is unanswered for this multiple of its expected latency. */
constexpr double stallFactor = 4;
/** Shortest time without an answer that counts as a stall; shorter times are scheduling noise. */
constexpr Duration minStall = std::chrono::milliseconds(10);
/** Time without a response after which the replica is probed; longer than the usual pauses of replicas. */
constexpr Duration probeAfterSilence = std::chrono::milliseconds(200);
/** Consecutive failed connections and timed-out requests after which a replica is suspect. */
constexpr unsigned suspectStreak = 2;
/** Age up to which a load report says how long the queue of a replica is; as for the load of other VMs. */
constexpr Duration maxQueueReportAge = std::chrono::milliseconds(100);
/** Part of the reported queue that is certain to be processed before a new request: waiting requests also
 * leave the queue when their callers give up. */
constexpr double certainQueueShare = 0.5;
constexpr Duration minProbeInterval = std::chrono::milliseconds(200);
constexpr Duration maxProbeInterval = std::chrono::milliseconds(400);

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

void UpstreamHealth::DecayingMean::observe(double value, TimePoint now)
{
    const double before = this->value(now);
    value_ = before + newestObservationWeight * (value - before);
    observedAt_ = now;
}

double UpstreamHealth::DecayingMean::value(TimePoint now) const
{
    if (value_ == 0 || now <= observedAt_)
        return value_;
    return value_ * std::exp(-seconds(now - observedAt_) / observationDecaySeconds);
}

void UpstreamHealth::sent(TimePoint now)
{
    outstanding_.push_back({ now, outstanding() + 1, queueClearAt_ });
}

UpstreamHealth::Outstanding UpstreamHealth::removeOutstanding(TimePoint sentAt)
{
    const auto found = std::find_if(outstanding_.begin(), outstanding_.end(),
        [sentAt](const Outstanding& request) { return request.sentAt == sentAt; });
    if (found == outstanding_.end())
        return { sentAt, 1, {} };
    const auto request = *found;
    outstanding_.erase(found);
    return request;
}

Duration UpstreamHealth::reportedQueueTime(unsigned slots, Duration work) const
{
    const auto concurrent = std::max({ 1U, slots, lastReport_->slots, lastReport_->running });
    return scaled(work, certainQueueShare * lastReport_->waiting / concurrent);
}

void UpstreamHealth::checkQueueReport(const Outstanding& request, TimePoint now)
{
    if (request.queueClearAt <= request.sentAt)
        return;
    const bool wasEarly = now < request.queueClearAt;
    queueReportsDisproved_ = queueReportsDisproved_ || wasEarly;
    queueReportsConfirmed_ = queueReportsConfirmed_ || !wasEarly;
}

void UpstreamHealth::answered(TimePoint sentAt, TimePoint now, Duration typicalLatency, unsigned slots)
{
    const auto request = removeOutstanding(sentAt);
    checkQueueReport(request, now);
    const double inProgress = request.inProgress + otherVmsLoad(now);
    noResponseStreak_ = 0;
    lastResponseAt_ = now;
    leastLatency_ = std::min(leastLatency_.value_or(Duration::max()), now - sentAt);
    // The report of this answer, if it had one, was passed to loadReported() just before.
    const bool hasReport = lastReport_ && loadReportedAt_ == now;
    const double slowness = hasReport ? lastReport_->slowness : 1;
    double ratio = seconds(now - sentAt) / std::max(seconds(typicalLatency), 1e-6);
    if (estimatesCapacity_) {
        const bool hadQueue = hasReport && lastReport_->waiting > 0;
        if (!hadQueue)
            capacity_.observe({ ratio, inProgress, slowness, slots }, now);
        // What the load explains says nothing about the speed at other loads.
        ratio /= capacity_.loadFactor(inProgress, slots, now);
    }
    latencyExcess_.observe(std::clamp(ratio - 1, -0.9, maxLatencyExcess), now);
    if (slowness != 1 || slownessExcess_.value(now) != 0)
        slownessExcess_.observe(slowness - 1, now);
    refusals_.observe(0, now);
    failures_.observe(0, now);
}

void UpstreamHealth::refused(TimePoint sentAt, TimePoint now)
{
    removeOutstanding(sentAt);
    noResponseStreak_ = 0;
    lastResponseAt_ = now;
    refusals_.observe(1, now);
}

void UpstreamHealth::failed(TimePoint sentAt, TimePoint now)
{
    removeOutstanding(sentAt);
    failures_.observe(1, now);
}

void UpstreamHealth::abandoned(TimePoint sentAt) { removeOutstanding(sentAt); }

void UpstreamHealth::timedOut(TimePoint sentAt, TimePoint now)
{
    removeOutstanding(sentAt);
    // A response after the send shows that the replica is alive and only this request was slow or lost.
    if (lastResponseAt_ > sentAt) {
        failures_.observe(1, now);
        return;
    }
    ++noResponseStreak_;
    failures_.observe(1, now);
    nextProbe_ = std::max(nextProbe_, now + minProbeInterval);
}

void UpstreamHealth::loadReported(const ReportedLoad& load, TimePoint now)
{
    const double total = load.running + load.waiting;
    otherVmsLoad_ = std::max(0.0, total - static_cast<double>(outstanding()) - 1);
    lastReport_ = load;
    lastReport_->slowness = std::clamp(load.slowness, minSlowness, maxSlowness);
    loadReportedAt_ = now;
    queueClearAt_ = leastLatency_ ? now + reportedQueueTime(1, *leastLatency_) : TimePoint {};
}

void UpstreamHealth::connectFailed(bool refused, TimePoint now)
{
    // A refused connection is conclusive by itself, and so is a failed one while requests stay unanswered.
    const bool conclusive = refused || unansweredFor(now) > probeAfterSilence;
    noResponseStreak_ += conclusive ? suspectStreak : 1;
    nextProbe_ = std::max(nextProbe_, now + minProbeInterval);
}

void UpstreamHealth::connected(TimePoint now)
{
    // Earlier requests may still hang, so a new connection does not count as a response to them.
    noResponseStreak_ = 0;
    nextProbe_ = now + maxProbeInterval;
}

bool UpstreamHealth::isSuspect(TimePoint) const { return noResponseStreak_ >= suspectStreak; }

bool UpstreamHealth::needsProbe(TimePoint now) const
{
    return noResponseStreak_ > 0 || unansweredFor(now) > probeAfterSilence;
}

void UpstreamHealth::probeStarted(TimePoint now)
{
    const auto doubled = minProbeInterval * (1U << std::min(noResponseStreak_, 4U));
    nextProbe_ = now + std::min<Duration>(doubled, maxProbeInterval);
}

Duration UpstreamHealth::unansweredFor(TimePoint now) const
{
    if (outstanding_.empty())
        return {};
    // A response after the oldest send shows that the replica is still working.
    const auto oldest = std::min_element(outstanding_.begin(), outstanding_.end(),
        [](const Outstanding& left, const Outstanding& right) { return left.sentAt < right.sentAt; });
    return now - std::max(oldest->sentAt, lastResponseAt_);
}

double UpstreamHealth::otherVmsLoad(TimePoint now) const
{
    if (otherVmsLoad_ <= 0)
        return 0;
    return otherVmsLoad_ * std::exp(-seconds(now - loadReportedAt_) / loadReportDecaySeconds);
}

std::optional<Duration> UpstreamHealth::leastQueueDelay(
    unsigned slots, Duration networkDelay, TimePoint now) const
{
    if (!lastReport_ || !leastLatency_ || reportAge(now) > maxQueueReportAge)
        return std::nullopt;
    if (!queueReportsConfirmed_ || queueReportsDisproved_)
        return std::nullopt;
    return reportedQueueTime(slots, std::max(Duration::zero(), *leastLatency_ - networkDelay));
}

std::optional<Duration> UpstreamHealth::timeSinceResponse(TimePoint now) const
{
    if (lastResponseAt_ == TimePoint {})
        return std::nullopt;
    return now - lastResponseAt_;
}

double UpstreamHealth::slownessFactor(TimePoint now) const
{
    const double usual = 1 + slownessExcess_.value(now);
    const double slowness = lastReport_ ? lastReport_->slowness : 1;
    if (slowness == usual || !estimatesCapacity_)
        return 1;
    // Observed latency already contains the usual slowness, so only the difference to it counts. A replica
    // that always reports the same figure is thus judged by its latency alone.
    const double factor = std::pow(slowness / usual, capacity_.slownessTrust());
    return 1 + (factor - 1) * std::exp(-seconds(reportAge(now)) / slownessDecaySeconds);
}

double UpstreamHealth::relativeLatency(TimePoint now) const { return 1 + latencyExcess_.value(now); }

Duration UpstreamHealth::expectedDelay(unsigned slots, Duration typicalLatency, TimePoint now) const
{
    const double ahead = otherVmsLoad(now) + outstanding();
    const double useful = std::max(1.0, usefulConcurrency(slots, now));
    const double queued = std::max(0.0, ahead + 1 - useful) / useful;
    const double latencyFactor = std::max(0.1, relativeLatency(now) * slownessFactor(now));
    const double retryCost = refusalCost * refusals_.value(now) + failureCost * failures_.value(now);
    auto delay = scaled(typicalLatency, latencyFactor * (1 + queueingCost * queued) + retryCost);
    const auto stalledFor = unansweredFor(now);
    // A stalled replica is expected to stay stalled for about as long again.
    if (stalledFor > std::max(minStall, scaled(typicalLatency, stallFactor * latencyFactor)))
        delay += stalledFor;
    return delay;
}

} // namespace banyancroft::upstreams
