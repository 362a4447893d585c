#include "dispatch/request_plan.h"

#include <algorithm>

namespace banyancroft::dispatch {

RequestPlan::RequestPlan(const PlanRules& rules, std::function<Duration(std::size_t)> hedgeDelay)
    : rules_(rules)
    , hedgeDelay_(std::move(hedgeDelay))
    , shards_(rules.shards)
{
}

unsigned RequestPlan::maxRuns() const { return std::max(1U, rules_.maxUpstreams); }

bool RequestPlan::isExhausted(const Shard& shard) const
{
    if (shard.done || !isIdle(shard))
        return false;
    return shard.unavailable || shard.possibleRuns >= maxRuns() || (shard.failed && !rules_.idempotent);
}

bool RequestPlan::mayHaveRun() const
{
    return std::any_of(shards_.begin(), shards_.end(),
        [](const Shard& shard) { return shard.done || shard.failed || shard.outstanding > 0; });
}

bool RequestPlan::wasSent() const
{
    return std::any_of(
        shards_.begin(), shards_.end(), [](const Shard& shard) { return shard.sendCount > 0; });
}

Step RequestPlan::terminalFailure() const
{
    Step step;
    step.kind = mayHaveRun() ? StepKind::Fail : StepKind::Refuse;
    return step;
}

Step RequestPlan::shardStep(std::size_t index, TimePoint now) const
{
    const auto& shard = shards_[index];
    Step step;
    step.shard = index;
    step.until = rules_.deadline;
    if (shard.done || isExhausted(shard) || shard.unavailable)
        return step;
    step.repeat = shard.sendCount > 0;
    auto due = shard.blockedUntil;
    if (!isIdle(shard)) {
        // A hedged request: the first send may still be answered.
        if (!rules_.idempotent || shard.distinctUpstreams >= maxRuns() || shard.possibleRuns >= maxRuns())
            return step;
        due = std::max(due, shard.hedgeAt);
        step.repeat = true;
    }
    step.until = due;
    if (now < due)
        return step;
    step.sameUpstream = shard.distinctUpstreams >= maxRuns();
    step.optional = step.repeat && partsReceived_ >= rules_.requiredParts;
    step.kind = StepKind::Send;
    return step;
}

Step RequestPlan::next(TimePoint now)
{
    Step result;
    if (partsReceived_ == rules_.shards) {
        result.kind = StepKind::Answer;
        return result;
    }
    const auto exhausted = static_cast<std::size_t>(std::count_if(
        shards_.begin(), shards_.end(), [this](const Shard& shard) { return isExhausted(shard); }));
    const bool enough = partsReceived_ >= rules_.requiredParts;
    if (enough && (now >= rules_.partialAnswerAt || partsReceived_ + exhausted == rules_.shards)) {
        result.kind = StepKind::Answer;
        return result;
    }
    if (rules_.shards - exhausted < rules_.requiredParts || now >= rules_.deadline)
        return terminalFailure();
    result.until = enough ? std::min(rules_.partialAnswerAt, rules_.deadline) : rules_.deadline;
    for (std::size_t i = 0; i < shards_.size(); ++i) {
        const auto step = shardStep(i, now);
        if (step.kind == StepKind::Send)
            return step;
        result.until = std::min(result.until, step.until);
    }
    return result;
}

void RequestPlan::connecting(std::size_t shard, TimePoint now)
{
    auto& entry = shards_[shard];
    ++entry.distinctUpstreams;
    ++entry.connecting;
    entry.hedgeAt = now + hedgeDelay_(shard);
}

void RequestPlan::connectFailed(std::size_t shard)
{
    auto& entry = shards_[shard];
    --entry.connecting;
    --entry.distinctUpstreams;
    entry.blockedUntil = {};
}

void RequestPlan::sent(std::size_t shard, bool wasConnecting, TimePoint now)
{
    auto& entry = shards_[shard];
    if (wasConnecting) {
        --entry.connecting;
    } else {
        ++entry.distinctUpstreams;
    }
    ++entry.outstanding;
    ++entry.possibleRuns;
    ++entry.sendCount;
    entry.hedgeAt = now + hedgeDelay_(shard);
}

void RequestPlan::answered(std::size_t shard)
{
    auto& entry = shards_[shard];
    --entry.outstanding;
    if (!entry.done) {
        entry.done = true;
        ++partsReceived_;
    }
}

RequestPlan::Shard& RequestPlan::endSendWithoutAnswer(std::size_t shard)
{
    auto& entry = shards_[shard];
    --entry.outstanding;
    entry.blockedUntil = {};
    return entry;
}

void RequestPlan::refused(std::size_t shard) { --endSendWithoutAnswer(shard).possibleRuns; }

void RequestPlan::misdirected(std::size_t shard)
{
    auto& entry = endSendWithoutAnswer(shard);
    --entry.possibleRuns;
    --entry.distinctUpstreams;
}

void RequestPlan::failed(std::size_t shard) { endSendWithoutAnswer(shard).failed = true; }

void RequestPlan::blocked(std::size_t shard, TimePoint retryAt) { shards_[shard].blockedUntil = retryAt; }

void RequestPlan::unavailable(std::size_t shard) { shards_[shard].unavailable = true; }

} // namespace banyancroft::dispatch
