#include "dispatch/success_outlook.h"

#include <algorithm>

namespace banyancroft::dispatch {

namespace {

TimePoint later(TimePoint time, Duration delay) { return time == TimePoint::max() ? time : time + delay; }

LossReason reasonOf(const ShardOutlook& shard, TimePoint deadline, TimePoint now)
{
    if (shard.replicas.empty())
        return LossReason::NoReplica;
    const bool allExcluded = std::all_of(shard.replicas.begin(), shard.replicas.end(),
        [deadline](const ReplicaOutlook& replica) { return replica.availableAt >= deadline; });
    if (allExcluded)
        return LossReason::Excluded;
    return shard.repeatAt.value_or(now) >= deadline ? LossReason::RetryBudget : LossReason::Queue;
}

} // namespace

std::string_view toString(Exclusion exclusion)
{
    switch (exclusion) {
    case Exclusion::None:
        return "none";
    case Exclusion::Resting:
        return "resting";
    case Exclusion::Suspect:
        return "suspect";
    case Exclusion::Cold:
        return "cold";
    case Exclusion::Evacuated:
        return "evacuated";
    case Exclusion::Leaving:
        return "leaving";
    case Exclusion::AlreadySent:
        return "already_sent";
    }
    return "unknown";
}

std::string describe(std::span<const ReplicaOutlook> replicas, TimePoint now)
{
    /** Keeps the log line short. */
    constexpr std::size_t maxListed = 6;
    std::string text;
    const auto millis = [](Duration duration) { return std::to_string(toMicros(duration) / 1000) + "ms"; };
    for (const auto& replica : replicas.first(std::min(replicas.size(), maxListed))) {
        text.append(text.empty() ? "" : ",").append(toString(replica.exclusion));
        if (replica.availableAt > now && replica.availableAt != TimePoint::max())
            text.append(":").append(millis(replica.availableAt - now));
        if (replica.leastDelay)
            text.append("+").append(millis(*replica.leastDelay));
    }
    if (replicas.size() > maxListed)
        text.append(",more");
    return text.empty() ? "none" : text;
}

std::string_view toString(LossReason reason)
{
    switch (reason) {
    case LossReason::None:
        return "none";
    case LossReason::NoReplica:
        return "no replica";
    case LossReason::Excluded:
        return "replicas excluded";
    case LossReason::Queue:
        return "queues too long";
    case LossReason::RetryBudget:
        return "no retry budget";
    }
    return "unknown";
}

Verdict judge(const ShardOutlook& shard, TimePoint deadline, TimePoint now)
{
    Verdict verdict;
    const auto repeatAt = std::max(now, shard.repeatAt.value_or(now));
    for (const auto& replica : shard.replicas) {
        const auto delay = replica.leastDelay.value_or(Duration::zero());
        verdict.earliestAt
            = std::min(verdict.earliestAt, later(std::max(repeatAt, replica.availableAt), delay));
        // A new request of the caller needs no retry budget.
        verdict.roomAt = std::min(verdict.roomAt, later(std::max(now, replica.availableForNewAt), delay));
        verdict.oldestKnowledge = std::max(verdict.oldestKnowledge, replica.knowledgeAge);
    }
    if (!shard.sendInProgress && verdict.earliestAt >= deadline)
        verdict.loss = reasonOf(shard, deadline, now);
    return verdict;
}

Verdict SuccessOutlook::update(
    std::size_t shard, const ShardOutlook& outlook, TimePoint deadline, TimePoint now)
{
    const auto verdict = judge(outlook, deadline, now);
    std::erase_if(lost_, [shard](const LostShard& entry) { return entry.shard == shard; });
    if (verdict.loss != LossReason::None)
        lost_.push_back({ shard, verdict.roomAt });
    return verdict;
}

std::optional<TimePoint> SuccessOutlook::roomAt(std::size_t shards, std::size_t required, TimePoint now) const
{
    const auto available = shards - std::min(shards, lost_.size());
    if (available >= required)
        return std::nullopt;
    std::vector<TimePoint> times;
    for (const auto& entry : lost_)
        times.push_back(entry.roomAt);
    std::sort(times.begin(), times.end());
    const auto index = required - available - 1;
    if (index >= times.size() || times[index] == TimePoint::max() || times[index] <= now)
        return std::nullopt;
    return times[index];
}

} // namespace banyancroft::dispatch
