#include "upstreams/placement.h"

#include <algorithm>

namespace banyancroft::upstreams {

namespace {

/** Cost of sending to another availability zone, in typical latencies: network delay and billed traffic. Less
 * than the cost of a queue, a refusal or a slow replica. */
constexpr double crossZoneCost = 3;
/** Random part of the score, in typical latencies, so that VMs with the same observations choose different
 * replicas. */
constexpr double scoreJitter = 0.3;

} // namespace

bool isCandidate(const Upstream& upstream, const Registry& registry, TimePoint now)
{
    if (!upstream.usable || upstream.misdirected || registry.isEvacuated(upstream.record.zone))
        return false;
    return !upstream.isResting(now) && !upstream.health.isSuspect(now);
}

std::optional<TimePoint> earliestRestEnd(
    std::span<const UpstreamPointer> candidates, const Registry& registry, TimePoint now)
{
    std::optional<TimePoint> earliest;
    for (const auto& upstream : candidates) {
        // A replica that is no candidate at the end of its rest does not serve then either.
        if (upstream->isResting(now) && isCandidate(*upstream, registry, upstream->restUntil))
            earliest = std::min(earliest.value_or(TimePoint::max()), upstream->restUntil);
    }
    return earliest;
}

Placement place(std::span<const UpstreamPointer> candidates, const Registry& registry,
    const PlacementRequest& request, const PlacementHooks& hooks, TimePoint now)
{
    Placement best;
    Duration bestScore = Duration::max();
    for (const auto& upstream : candidates) {
        if (!isCandidate(*upstream, registry, now))
            continue;
        const bool excluded = std::find(request.excluded.begin(), request.excluded.end(), upstream->number)
            != request.excluded.end();
        if (excluded)
            continue;
        const auto& health = upstream->health;
        if (upstream->isReturning && health.outstanding() > 0) {
            best.canWait = true;
            continue;
        }
        const auto expected = health.expectedDelay(upstream->record.slots, request.typicalLatency, now);
        auto score = expected + scaled(request.typicalLatency, scoreJitter * hooks.random());
        if (upstream->record.zone != request.ownZone)
            score += scaled(request.typicalLatency, crossZoneCost);
        if (score >= bestScore)
            continue;
        const auto connectDelay = hooks.connectDelay(upstream);
        if (!connectDelay) {
            best.canWait = true;
            continue;
        }
        score += *connectDelay;
        if (score >= bestScore)
            continue;
        if (!hooks.maySend(*upstream)) {
            best.canWait = true;
            continue;
        }
        bestScore = score;
        best.upstream = upstream;
        best.expectedDelay = expected;
    }
    return best;
}

} // namespace banyancroft::upstreams
