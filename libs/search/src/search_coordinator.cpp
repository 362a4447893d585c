#include "search/search_coordinator.h"

#include "replica_selector.h"

#include <algorithm>
#include <random>

namespace banyancroft::search {

namespace {

using namespace std::chrono_literals;

// A group with more failed sub-requests than this is unlikely to answer before the deadline.
constexpr std::uint8_t maxFailuresPerGroup = 5;
// Wait before a retry: about one service time at first, doubled with each failure.
constexpr Duration initialBackoff = 1ms;
constexpr Duration maxBackoff = 16ms;
// A timer call visits every group, so the hedges and retries of hundreds of groups share one call.
constexpr Duration timerGranularity = 250us;
// Minimum interval of the checks for a better snapshot, per query: each check visits every group.
constexpr Duration restartCheckInterval = 500us;
// Capacity reserved for hedges and retries in the list of sub-requests: the number of groups divided by this.
constexpr std::size_t spareCapacityDivisor = 4;
constexpr std::size_t minSpareCapacity = 8;

bool isVersionMismatch(Reason reason)
{
    return reason == Reason::IndexVersionMismatch || reason == Reason::LayoutVersionMismatch;
}

bool isNewer(const Snapshot& left, const Snapshot& right)
{
    return left.layout.value > right.layout.value
        || (left.layout == right.layout && left.index.value > right.index.value);
}

/** Refusals unrelated to load, after which another upstream can be tried immediately. */
bool retriesImmediately(Reason reason) { return reason == Reason::WrongHome || isVersionMismatch(reason); }

/**
 * True for refusals by a daemon that could not or must not send to the upstream. This includes a home that
 * failed with requests in flight: their load on its upstreams has ended or is about to.
 */
bool refusedBeforeUpstream(Reason reason)
{
    switch (reason) {
    case Reason::WrongHome:
    case Reason::NoAuthority:
    case Reason::HomeUnreachable:
    case Reason::UpstreamDraining:
    case Reason::ZoneOut:
    case Reason::Stopping:
        return true;
    default:
        return false;
    }
}

} // namespace

void Actions::clear()
{
    sends.clear();
    cancels.clear();
    finished = false;
}

SearchCoordinator::SearchCoordinator(SearchRequest request, ClusterState& cluster, PolicyState& policy,
    SequenceGenerator& sequences, Random& random)
    : request_(std::move(request))
    , cluster_(cluster)
    , policy_(policy)
    , sequences_(sequences)
    , random_(random)
{
}

const TopologyGroup& SearchCoordinator::topologyGroup(std::uint32_t group) const
{
    const auto& topology = *plan_.topology;
    return topology.groups[topology.collections[plan_.collection].groups[group]];
}

void SearchCoordinator::start(TimePoint now, Actions& actions)
{
    startedAt_ = now;
    const auto& policy = policy_.policy();
    answerDeadline_ = std::min(request_.deadline, now + policy.maxDeadline) - policy.answerReserve;
    ownZone_ = cluster_.findZone(request_.ownZone);

    auto choice = cluster_.chooseSnapshot(request_.collection);
    if (!choice) {
        finish(now, actions);
        return;
    }
    collectionKnown_ = true;
    plan_ = std::move(*choice);
    startAttempt(now, actions);
    finishIfDecided(now, actions);
}

void SearchCoordinator::startAttempt(TimePoint now, Actions& actions)
{
    lastTopology_ = cluster_.topology();
    topologies_.push_back(plan_.topology);
    const auto count = plan_.groups;
    groups_.assign(count, {});
    rows_.assign(count, {});
    answered_ = 0;
    missing_ = 0;
    nextDue_ = TimePoint::max();
    subrequests_.reserve(subrequests_.size() + count + count / spareCapacityDivisor + minSpareCapacity);
    actions.sends.reserve(actions.sends.size() + count);
    if (now >= answerDeadline_) {
        for (std::uint32_t group = 0; group < count; ++group)
            markMissing(group, Reason::DeadlineTooShort);
        return;
    }
    for (std::uint32_t group = 0; group < count; ++group) {
        if (const auto reason = send(group, SubrequestKind::First, now, actions); reason != Reason::None)
            markMissing(group, reason);
    }
    if (attempt_ == 0)
        policy_.countSubrequests(subrequests_.size());
}

Reason SearchCoordinator::send(std::uint32_t group, SubrequestKind kind, TimePoint now, Actions& actions)
{
    auto& state = groups_[group];
    const auto& declared = topologyGroup(group);

    ReplicaCriteria criteria;
    criteria.members = plan_.topology->membersOf(declared);
    criteria.snapshot = plan_.snapshot;
    criteria.ownZone = ownZone_;
    criteria.tried = state.tried;
    criteria.allowProbe = kind == SubrequestKind::First && attempt_ == 0;
    criteria.requireSnapshot = kind != SubrequestKind::First;
    if (kind == SubrequestKind::Hedge) {
        criteria.readyOnly = true;
        criteria.excludedZone = cluster_.upstream(subrequests_[state.primary].upstream).zone;
    }
    ReplicaSelector selector(cluster_, random_);
    auto choice = selector.choose(criteria, now);
    if (choice.upstream == noSlot && kind == SubrequestKind::Retry) {
        // All upstreams were tried. Those that refused for a transient reason may accept by now.
        criteria.tried = 0;
        choice = selector.choose(criteria, now);
    }
    if (choice.upstream == noSlot)
        return choice.reason;
    if (kind == SubrequestKind::Hedge && !policy_.hedgeBudget().trySpend())
        return Reason::Overloaded;
    // A refusal before the upstream put no load on it, so its retry is not charged to the budget.
    const bool charged = kind == SubrequestKind::Retry && !refusedBeforeUpstream(groups_[group].reason);
    if (charged && !policy_.retryBudget().trySpend())
        return Reason::RetryBudget;

    if (choice.probe)
        cluster_.recordProbe(choice.upstream, now);
    cluster_.recordSend(choice.upstream, now);
    const auto subrequestIndex = static_cast<std::uint32_t>(subrequests_.size());
    const auto sequence = sequences_.next();
    auto& subrequest = subrequests_.emplace_back();
    subrequest.sequence = sequence.value;
    subrequest.upstream = choice.upstream;
    subrequest.group = group;
    subrequest.kind = kind;
    subrequest.attempt = attempt_;
    subrequest.sentAt = now;
    subrequest.asked = plan_.snapshot;

    state.tried |= triedBit(choice.upstream);
    state.phase = GroupPhase::InFlight;
    if (kind == SubrequestKind::Hedge) {
        state.hedge = subrequestIndex;
        state.due = TimePoint::max();
    } else {
        state.primary = subrequestIndex;
        setDue(group, hedgeDue(declared.service, now));
    }
    actions.sends.push_back({ sequence, &cluster_.upstreamId(choice.upstream), declared.shards,
        plan_.snapshot, kind == SubrequestKind::Hedge });
    return Reason::None;
}

TimePoint SearchCoordinator::hedgeDue(ServiceSlot service, TimePoint now)
{
    if (!policy_.policy().hedge)
        return TimePoint::max();
    const auto due = now + policy_.hedgeDelay(service);
    // With many stragglers the quantile is close to the deadline; this leaves time for the hedge to be
    // answered.
    const auto expected = policy_.expectedLatency(service);
    const auto latest = answerDeadline_ - expected;
    return latest > now + expected ? std::min(due, latest) : due;
}

void SearchCoordinator::setDue(std::uint32_t group, TimePoint due)
{
    // Rounded up to timerGranularity, so that the hedges and retries of many groups share one timer call.
    if (due != TimePoint::max())
        due += timerGranularity - 1ns - (due - startedAt_ - 1ns) % timerGranularity;
    groups_[group].due = due;
    nextDue_ = std::min(nextDue_, due);
}

SearchCoordinator::Subrequest* SearchCoordinator::find(wire::SequenceNumber sequence)
{
    if (subrequests_.empty() || sequence.value < subrequests_.front().sequence)
        return nullptr;
    // The first sub-requests have consecutive numbers; those of hedges and retries may have gaps.
    const auto guess = sequence.value - subrequests_.front().sequence;
    if (guess < subrequests_.size() && subrequests_[guess].sequence == sequence.value)
        return &subrequests_[guess];
    const auto found = std::lower_bound(subrequests_.begin(), subrequests_.end(), sequence.value,
        [](const Subrequest& entry, std::uint64_t value) { return entry.sequence < value; });
    return found != subrequests_.end() && found->sequence == sequence.value ? &*found : nullptr;
}

void SearchCoordinator::onReply(wire::SubreplyItem&& reply, TimePoint now, Actions& actions)
{
    auto* const subrequest = find(reply.sequence);
    if (subrequest == nullptr || cluster_.upstreamId(subrequest->upstream) != reply.upstream) {
        ++counters_.unmatchedReplies;
        return;
    }
    if (subrequest->replied) {
        ++counters_.duplicateReplies;
        return;
    }
    subrequest->replied = true;
    cluster_.observeReply(subrequest->upstream, reply, subrequest->asked, now);
    if (finished_ || subrequest->phase != SubrequestPhase::Sent) {
        ++counters_.lateReplies;
        return;
    }
    if (now >= request_.deadline) {
        ++counters_.lateReplies;
        finish(now, actions);
        return;
    }
    adoptCurrentTopology();
    subrequest->phase = SubrequestPhase::Replied;
    subrequest->outcome = reply.outcome;
    subrequest->endedAt = now;
    subrequest->answered = { reply.layout, reply.index };
    const auto subrequestIndex = static_cast<std::uint32_t>(subrequest - subrequests_.data());
    if (!plan_.snapshot.index)
        pinSnapshot();
    subrequest->reason = validate(reply);
    if (subrequest->reason == Reason::None) {
        accept(subrequestIndex, std::move(reply), now, actions);
    } else {
        reject(subrequestIndex, now, actions);
    }
    finishIfDecided(now, actions);
}

void SearchCoordinator::adoptCurrentTopology()
{
    const auto& current = cluster_.topology();
    if (lastTopology_ == current)
        return;
    lastTopology_ = current;
    if (!sameGroups(*plan_.topology, *current, request_.collection))
        return;
    plan_.topology = current;
    plan_.collection = *current->findCollection(request_.collection);
    topologies_.push_back(current);
}

void SearchCoordinator::pinSnapshot()
{
    const auto choice = cluster_.chooseSnapshot(request_.collection);
    if (!choice)
        return;
    if (choice->snapshot.layout == plan_.snapshot.layout) {
        plan_.snapshot = choice->snapshot;
    } else {
        restartWanted_ = true;
    }
}

Reason SearchCoordinator::validate(const wire::SubreplyItem& reply) const
{
    if (reply.outcome != Outcome::Done)
        return reply.reason == Reason::None ? Reason::UpstreamFailed : reply.reason;
    if (!reply.index)
        return Reason::UpstreamMalformed;
    if (reply.layout != plan_.snapshot.layout)
        return Reason::LayoutVersionMismatch;
    if (reply.index != plan_.snapshot.index)
        return Reason::IndexVersionMismatch;
    return Reason::None;
}

void SearchCoordinator::accept(
    std::uint32_t subrequestIndex, wire::SubreplyItem&& reply, TimePoint now, Actions& actions)
{
    const auto& subrequest = subrequests_[subrequestIndex];
    auto& group = groups_[subrequest.group];
    auto& hedgePolicy = policy_.hedgePolicy(topologyGroup(subrequest.group).service);
    hedgePolicy.observe(now - subrequest.sentAt);
    rows_[subrequest.group] = std::move(reply.rows);
    group.phase = GroupPhase::Answered;
    group.due = TimePoint::max();
    ++answered_;

    const auto loser = group.primary == subrequestIndex ? group.hedge : group.primary;
    if (loser != noSlot) {
        const auto& other = subrequests_[loser];
        // A lower bound of the loser's latency; omitting it would bias the quantile low.
        hedgePolicy.observe(now - other.sentAt);
        if (subrequest.kind == SubrequestKind::Hedge) {
            ++counters_.hedgesWon;
            cluster_.observeHedgeWon(other.upstream, other.sentAt, now);
        }
        cancel(loser, now, actions);
    }
    group.primary = noSlot;
    group.hedge = noSlot;
}

void SearchCoordinator::reject(std::uint32_t subrequestIndex, TimePoint now, Actions& actions)
{
    const auto& subrequest = subrequests_[subrequestIndex];
    auto& group = groups_[subrequest.group];
    group.reason = subrequest.reason;
    if (subrequest.outcome == Outcome::Done)
        ++counters_.otherVersion;
    if (group.primary == subrequestIndex)
        group.primary = noSlot;
    if (group.hedge == subrequestIndex)
        group.hedge = noSlot;
    if (group.primary != noSlot || group.hedge != noSlot) {
        // The other sub-request is still in flight; it becomes the primary one.
        if (group.primary == noSlot)
            std::swap(group.primary, group.hedge);
        group.due = TimePoint::max();
        return;
    }
    scheduleRetry(subrequest.group, now, actions, RetryPace::ByReason);
}

Duration SearchCoordinator::backoff(std::uint8_t failures)
{
    const auto wait = std::min(maxBackoff, initialBackoff * (1 << std::max(0, failures - 1)));
    // Jitter between 0.5 and 1.5 times the wait, so that queries do not retry in lockstep.
    const auto spread = static_cast<std::uint64_t>(wait.count());
    return wait / 2 + Duration(static_cast<std::int64_t>(random_() % (spread + 1)));
}

void SearchCoordinator::scheduleRetry(
    std::uint32_t groupIndex, TimePoint now, Actions& actions, RetryPace pace)
{
    auto& group = groups_[groupIndex];
    group.phase = GroupPhase::Waiting;
    ++group.failures;
    if (group.failures > maxFailuresPerGroup) {
        markMissing(groupIndex, group.reason);
        return;
    }
    if (pace == RetryPace::ByReason && retriesImmediately(group.reason)) {
        retry(groupIndex, now, actions);
        return;
    }
    const auto due = now + backoff(group.failures);
    if (due >= answerDeadline_) {
        markMissing(groupIndex, group.reason);
    } else {
        setDue(groupIndex, due);
    }
}

void SearchCoordinator::retry(std::uint32_t groupIndex, TimePoint now, Actions& actions)
{
    const auto reason = send(groupIndex, SubrequestKind::Retry, now, actions);
    if (reason == Reason::None) {
        ++counters_.retries;
        return;
    }
    auto& group = groups_[groupIndex];
    if (reason != Reason::RetryBudget) {
        markMissing(groupIndex, reason);
        return;
    }
    if (isVersionMismatch(group.reason))
        restartWanted_ = true;
    // Keeps the reason of the last failure, which is more informative than an exhausted budget.
    scheduleRetry(groupIndex, now, actions, RetryPace::Backoff);
}

void SearchCoordinator::hedge(std::uint32_t groupIndex, TimePoint now, Actions& actions)
{
    if (send(groupIndex, SubrequestKind::Hedge, now, actions) == Reason::None) {
        ++counters_.hedges;
        return;
    }
    // Budget or candidates may be available after another hedge delay.
    setDue(groupIndex,
        now + std::max(policy_.hedgeDelay(topologyGroup(groupIndex).service), Duration(initialBackoff)));
}

void SearchCoordinator::markMissing(std::uint32_t groupIndex, Reason reason)
{
    auto& group = groups_[groupIndex];
    group.phase = GroupPhase::Missing;
    group.reason = reason;
    group.due = TimePoint::max();
    ++missing_;
    restartWanted_ = restartWanted_ || isVersionMismatch(reason);
}

void SearchCoordinator::cancel(std::uint32_t subrequestIndex, TimePoint now, Actions& actions)
{
    auto& subrequest = subrequests_[subrequestIndex];
    subrequest.phase = SubrequestPhase::Cancelled;
    subrequest.reason = Reason::Cancelled;
    subrequest.endedAt = now;
    actions.cancels.push_back({ { subrequest.sequence }, &cluster_.upstreamId(subrequest.upstream) });
}

void SearchCoordinator::cancelOutstanding(TimePoint now, Actions& actions)
{
    for (auto& group : groups_) {
        for (const auto subrequestIndex : { group.primary, group.hedge }) {
            if (subrequestIndex != noSlot)
                cancel(subrequestIndex, now, actions);
        }
        group.primary = noSlot;
        group.hedge = noSlot;
    }
}

bool SearchCoordinator::restartIfBetter(TimePoint now, Actions& actions)
{
    if (attempt_ > 0 || now < nextRestartCheck_)
        return false;
    nextRestartCheck_ = now + restartCheckInterval;
    auto choice = cluster_.chooseSnapshot(request_.collection);
    if (!choice || choice->snapshot == plan_.snapshot || choice->groups == 0)
        return false;
    Duration expected {};
    std::uint32_t capableNow = 0;
    for (std::uint32_t group = 0; group < plan_.groups; ++group) {
        const auto& declared = topologyGroup(group);
        expected = std::max(expected, policy_.expectedLatency(declared.service));
        const bool able = groups_[group].phase == GroupPhase::Answered
            || (groups_[group].phase != GroupPhase::Missing
                && cluster_.groupMayServe(*plan_.topology, declared, plan_.snapshot));
        capableNow += able ? 1 : 0;
    }
    const bool coversMore = std::uint64_t { choice->capableGroups } * plan_.groups
        > std::uint64_t { capableNow } * choice->groups;
    const bool newer = choice->complete() && isNewer(choice->snapshot, plan_.snapshot);
    if ((!coversMore && !newer) || now + expected >= answerDeadline_)
        return false;
    if (!policy_.restartBudget().trySpend(std::min(choice->groups, PolicyState::maxRestartCost)))
        return false;

    // The previous attempt may still become the answer; its open shards are then missing due to the restart.
    const auto restartReason = choice->snapshot.layout == plan_.snapshot.layout
        ? Reason::IndexVersionMismatch
        : Reason::LayoutVersionMismatch;
    for (auto& group : groups_) {
        if (group.phase == GroupPhase::InFlight || group.phase == GroupPhase::Waiting)
            group.reason = restartReason;
    }
    cancelOutstanding(now, actions);
    previousAttempt_ = Attempt { std::move(plan_), std::move(groups_), std::move(rows_) };
    plan_ = std::move(*choice);
    ++attempt_;
    ++counters_.restarts;
    startAttempt(now, actions);
    return true;
}

void SearchCoordinator::onTimer(TimePoint now, Actions& actions)
{
    if (finished_)
        return;
    if (now >= answerDeadline_) {
        finish(now, actions);
        return;
    }
    if (now < nextDue_)
        return;
    adoptCurrentTopology();
    nextDue_ = TimePoint::max();
    for (std::uint32_t groupIndex = 0; groupIndex < groups_.size(); ++groupIndex) {
        const auto& group = groups_[groupIndex];
        if (group.due > now) {
            nextDue_ = std::min(nextDue_, group.due);
        } else if (group.phase == GroupPhase::Waiting) {
            retry(groupIndex, now, actions);
        } else {
            hedge(groupIndex, now, actions);
        }
    }
    finishIfDecided(now, actions);
}

TimePoint SearchCoordinator::nextTimer() const
{
    return finished_ ? TimePoint::max() : std::min(nextDue_, answerDeadline_);
}

void SearchCoordinator::finishIfDecided(TimePoint now, Actions& actions)
{
    if (finished_)
        return;
    const bool decided = answered_ + missing_ == groups_.size() || (request_.requireAll && missing_ > 0);
    if (restartWanted_) {
        if (decided)
            nextRestartCheck_ = now;
        if (restartIfBetter(now, actions)) {
            restartWanted_ = false;
            finishIfDecided(now, actions);
            return;
        }
    }
    if (decided || now >= answerDeadline_)
        finish(now, actions);
}

void SearchCoordinator::finish(TimePoint now, Actions& actions)
{
    for (std::uint32_t groupIndex = 0; groupIndex < groups_.size(); ++groupIndex) {
        auto& group = groups_[groupIndex];
        if (group.phase == GroupPhase::InFlight) {
            // With requireAll the query may finish before the deadline, once one shard is certain to be
            // missing.
            group.reason = now >= answerDeadline_ ? Reason::DeadlineExceeded : Reason::Cancelled;
            auto& hedgePolicy = policy_.hedgePolicy(topologyGroup(groupIndex).service);
            const auto late = policy_.hedgeDelay(topologyGroup(groupIndex).service);
            for (const auto pending : { group.primary, group.hedge }) {
                if (pending == noSlot || now - subrequests_[pending].sentAt < late)
                    continue;
                hedgePolicy.observe(now - subrequests_[pending].sentAt);
                cluster_.observeTimeout(subrequests_[pending].upstream, subrequests_[pending].sentAt, now);
            }
        }
        if (group.phase != GroupPhase::Answered)
            group.phase = GroupPhase::Missing;
    }
    cancelOutstanding(now, actions);
    finished_ = true;
    actions.finished = true;
}

} // namespace banyancroft::search
