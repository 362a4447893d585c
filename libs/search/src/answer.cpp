#include "search/search_coordinator.h"

#include <algorithm>

namespace banyancroft::search {

namespace {

/** Length in bytes of the first `count` rows of newline-delimited text; lowers `count` if there are fewer. */
std::size_t prefixOfRows(std::string_view text, std::uint64_t& count)
{
    std::uint64_t rows = 0;
    std::size_t end = 0;
    while (end < text.size() && rows < count) {
        const auto newline = text.find('\n', end);
        end = newline == std::string_view::npos ? text.size() : newline + 1;
        ++rows;
    }
    count = rows;
    return end;
}

} // namespace

Answer SearchCoordinator::answer()
{
    Answer answer;
    answer.counters = counters_;
    appendExplain(answer.explain);
    if (!collectionKnown_) {
        answer.refusal = Reason::NoCandidate;
        return answer;
    }
    // The two attempts have different snapshots, so their rows must not be mixed.
    if (previousAttempt_ && previousAttempt_->coveredShards() > Attempt::coveredShards(plan_, groups_)) {
        plan_ = std::move(previousAttempt_->plan);
        groups_ = std::move(previousAttempt_->groups);
        rows_ = std::move(previousAttempt_->rows);
    }
    answer.snapshot = plan_.snapshot;
    answer.topology = plan_.topology;
    Reason firstMissingReason = Reason::None;
    std::size_t answeredGroups = 0;
    for (std::uint32_t groupIndex = 0; groupIndex < groups_.size(); ++groupIndex) {
        const auto& group = groups_[groupIndex];
        const auto& declared = topologyGroup(groupIndex);
        const bool covered = group.phase == GroupPhase::Answered;
        auto reason = covered ? Reason::None : group.reason;
        // A shard without rows must never be listed as covered, even if its group has no reason set.
        if (!covered && reason == Reason::None)
            reason = Reason::Cancelled;
        if (firstMissingReason == Reason::None || firstMissingReason == Reason::Cancelled)
            firstMissingReason = reason;
        for (const auto& shard : declared.shards)
            answer.coverage.push_back({ shard.view(), declared.id.view(), reason });
        answeredGroups += covered ? 1 : 0;
        if (covered)
            answer.coveredShards += static_cast<std::uint32_t>(declared.shards.size());
    }
    answer.complete = answeredGroups == groups_.size();
    if (request_.requireAll && !answer.complete) {
        answer.refusal = firstMissingReason;
        return answer;
    }
    const auto limit = request_.limit == 0 ? ~std::uint64_t { 0 } : request_.limit;
    for (std::uint32_t groupIndex = 0; groupIndex < groups_.size() && answer.rowCount < limit; ++groupIndex) {
        auto& rows = rows_[groupIndex];
        if (groups_[groupIndex].phase != GroupPhase::Answered || rows.empty())
            continue;
        auto count = limit - answer.rowCount;
        rows.resize(prefixOfRows(rows, count));
        answer.rowCount += count;
        answer.rows.push_back(std::move(rows));
    }
    return answer;
}

void SearchCoordinator::appendExplain(std::vector<ExplainItem>& items) const
{
    items.reserve(subrequests_.size());
    for (const auto& subrequest : subrequests_) {
        auto& item = items.emplace_back();
        item.sequence = { subrequest.sequence };
        item.upstream = cluster_.upstreamId(subrequest.upstream).view();
        item.kind = subrequest.kind;
        item.attempt = subrequest.attempt;
        item.sentAfter = subrequest.sentAt - startedAt_;
        item.elapsed = subrequest.endedAt - subrequest.sentAt;
        if (subrequest.phase == SubrequestPhase::Replied)
            item.outcome = subrequest.outcome;
        item.reason = subrequest.reason;
        item.asked = subrequest.asked;
        item.answered = subrequest.answered;
    }
}

std::uint32_t SearchCoordinator::Attempt::coveredShards(
    const SnapshotChoice& plan, std::span<const Group> groups)
{
    const auto& topologyGroups = plan.topology->collections[plan.collection].groups;
    std::uint32_t shards = 0;
    for (std::size_t groupIndex = 0; groupIndex < groups.size(); ++groupIndex) {
        if (groups[groupIndex].phase == GroupPhase::Answered)
            shards += static_cast<std::uint32_t>(
                plan.topology->groups[topologyGroups[groupIndex]].shards.size());
    }
    return shards;
}

} // namespace banyancroft::search
