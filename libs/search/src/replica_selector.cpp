#include "replica_selector.h"

#include <algorithm>
#include <array>

namespace banyancroft::search {

namespace {

// Maximum number of upstreams considered per choice; of a larger group, a random contiguous range.
constexpr std::size_t maxConsidered = 64;

// Penalties in queued requests per slot. Another zone adds a round-trip time of 1 ms, about two requests of
// 0.44 ms; another region adds tens of milliseconds.
constexpr float otherZonePenalty = 2;
constexpr float otherRegionPenalty = 40;

} // namespace

std::uint32_t ReplicaSelector::randomBelow(std::uint32_t bound)
{
    if (bound <= 1)
        return 0;
    return static_cast<std::uint32_t>(((random_() >> 32U) * bound) >> 32U);
}

ReplicaSelector::Eligibility ReplicaSelector::eligibility(
    const ReplicaCriteria& criteria, const UpstreamState& state, TimePoint now) const
{
    if (!state.serving() || (criteria.excludedZone != noSlot && state.zone == criteria.excludedZone))
        return Eligibility::Excluded;
    if (!state.mayServe(criteria.snapshot))
        return criteria.requireSnapshot ? Eligibility::Excluded : Eligibility::OtherVersion;
    Eligibility result = Eligibility::Ready;
    if (state.failing() || state.avoidUntil > now) {
        result = Eligibility::Failing;
    } else if (state.cold) {
        result = Eligibility::Cold;
    }
    return criteria.readyOnly && result != Eligibility::Ready ? Eligibility::Excluded : result;
}

UpstreamSlot ReplicaSelector::leastLoaded(
    const ReplicaCriteria& criteria, std::span<const UpstreamSlot> ready, TimePoint now)
{
    const auto count = static_cast<std::uint32_t>(ready.size());
    if (count == 1)
        return ready.front();
    // Samples up to two upstreams of the own zone and one or two others, each scan from a random position.
    std::array<UpstreamSlot, 3> sampled;
    std::size_t sampledCount = 0;
    const auto add = [&](std::uint32_t start, bool own, std::size_t wanted) {
        for (std::uint32_t i = 0; i < count && sampledCount < wanted; ++i) {
            const auto slot = ready[start + i < count ? start + i : start + i - count];
            if ((cluster_.upstream(slot).zone == criteria.ownZone) == own)
                sampled[sampledCount++] = slot;
        }
    };
    add(randomBelow(count), true, 2);
    add(randomBelow(count), false, std::max<std::size_t>(sampledCount + 1, 2));

    const auto cost = [&](UpstreamSlot slot) {
        const auto& state = cluster_.upstream(slot);
        auto value = static_cast<float>(cluster_.estimatedLoad(slot, now)) / static_cast<float>(state.slots)
            + static_cast<float>(cluster_.recentHedgeLosses(slot, now));
        if (state.zone != criteria.ownZone)
            value
                += cluster_.sameRegion(state.zone, criteria.ownZone) ? otherZonePenalty : otherRegionPenalty;
        return value;
    };
    auto best = sampled[0];
    auto bestCost = cost(best);
    for (std::size_t i = 1; i < sampledCount; ++i) {
        if (const auto other = cost(sampled[i]); other < bestCost) {
            best = sampled[i];
            bestCost = other;
        }
    }
    return best;
}

Reason ReplicaSelector::reasonForNoCandidate(const ReplicaCriteria& criteria) const
{
    auto reason = Reason::NoCandidate;
    for (const auto slot : criteria.members) {
        const auto& state = cluster_.upstream(slot);
        if (!state.configured)
            continue;
        if (state.serving() && !state.layouts.mayContain(criteria.snapshot.layout.value))
            return Reason::LayoutVersionMismatch;
        if (state.serving() && !state.mayServe(criteria.snapshot))
            return Reason::IndexVersionMismatch;
        if (!state.zoneServing) {
            reason = Reason::ZoneOut;
        } else if (state.draining) {
            reason = Reason::UpstreamDraining;
        }
    }
    return reason;
}

ReplicaChoice ReplicaSelector::choose(const ReplicaCriteria& criteria, TimePoint now)
{
    std::array<UpstreamSlot, maxConsidered> ready;
    std::size_t readyCount = 0;
    std::array<UpstreamSlot, maxConsidered> other;
    std::size_t otherCount = 0;
    auto bestOther = Eligibility::Excluded;
    UpstreamSlot probe = noSlot;

    const auto size = criteria.members.size();
    const auto considered = std::min(size, maxConsidered);
    const auto start = size > maxConsidered ? randomBelow(static_cast<std::uint32_t>(size)) : 0;
    for (std::size_t i = 0; i < considered; ++i) {
        const auto slot = criteria.members[start + i < size ? start + i : start + i - size];
        if ((criteria.tried & triedBit(slot)) != 0)
            continue;
        const auto& state = cluster_.upstream(slot);
        const auto found = eligibility(criteria, state, now);
        if (found == Eligibility::Ready) {
            ready[readyCount++] = slot;
            continue;
        }
        if (found == Eligibility::Excluded)
            continue;
        if (criteria.allowProbe && state.nextProbeAt <= now && state.avoidUntil <= now)
            probe = slot;
        if (found < bestOther) {
            bestOther = found;
            otherCount = 0;
        }
        if (found == bestOther)
            other[otherCount++] = slot;
    }
    if (readyCount > 0 && probe != noSlot)
        return { probe, true, Reason::None };
    if (readyCount > 0)
        return { leastLoaded(criteria, std::span(ready).first(readyCount), now), false, Reason::None };
    if (otherCount == 0)
        return { noSlot, false, reasonForNoCandidate(criteria) };
    if (bestOther == Eligibility::Cold)
        return { leastLoaded(criteria, std::span(other).first(otherCount), now), false, Reason::None };
    // The state of these upstreams is likely out of date; a random choice finds the ones that have recovered.
    return { other[randomBelow(static_cast<std::uint32_t>(otherCount))], false, Reason::None };
}

} // namespace banyancroft::search
