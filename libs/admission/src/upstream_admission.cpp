#include "admission/upstream_admission.h"

#include "admission/share.h"

#include <algorithm>

namespace banyancroft::admission {

namespace {

/** One answer changes the average service time by an eighth of the difference. */
constexpr int serviceTimeWeight = 8;

} // namespace

UpstreamAdmission::UpstreamAdmission(const DeclaredLimits& declared, unsigned queueLimit)
    : guard_(declared)
    , queueLimit_(queueLimit)
{
}

void UpstreamAdmission::declare(
    const DeclaredLimits& declared, unsigned queueLimit, TimePoint now, std::vector<Refusal>& refused)
{
    guard_.declare(declared);
    queueLimit_ = queueLimit;
    refuseSurplus(now, refused);
}

void UpstreamAdmission::setAuthority(const Authority& authority, TimePoint now, std::vector<Refusal>& refused)
{
    const bool regained = authority_.share == Share::None && authority.share != Share::None;
    authority_ = authority;
    // Another home may have driven the upstream meanwhile, so what is known of it is out of date.
    if (regained)
        guard_.evidence(ColdEvidence::NewOrReturned);
    refuseSurplus(now, refused);
}

void UpstreamAdmission::setStopped(Reason reason, TimePoint now, std::vector<Refusal>& refused)
{
    if (stopped_ != Reason::None && reason == Reason::None)
        guard_.evidence(ColdEvidence::NewOrReturned);
    stopped_ = reason;
    refuseSurplus(now, refused);
}

void UpstreamAdmission::evidence(ColdEvidence evidence, TimePoint now, std::vector<Refusal>& refused)
{
    guard_.evidence(evidence);
    refuseSurplus(now, refused);
}

void UpstreamAdmission::answered(const UpstreamAnswer& answer, TimePoint now, std::vector<Refusal>& refused)
{
    const unsigned before = guard_.limit();
    const bool wasCold = guard_.cold();
    guard_.answered(answer);
    if (answer.completed) {
        serviceTime_ = serviceTime_ == Duration::zero()
            ? answer.latency
            : serviceTime_ + (answer.latency - serviceTime_) / serviceTimeWeight;
    }
    if (guard_.limit() < before || (guard_.cold() && !wasCold))
        refuseSurplus(now, refused);
}

void UpstreamAdmission::reported(const HealthReport& report, TimePoint now, std::vector<Refusal>& refused)
{
    guard_.reported(report);
    if (reportedDraining_ && !report.draining)
        guard_.evidence(ColdEvidence::NewOrReturned);
    reportedDraining_ = report.draining;
    refuseSurplus(now, refused);
}

Reason UpstreamAdmission::stopReason(TimePoint now) const
{
    if (stopped_ != Reason::None)
        return stopped_;
    if (authority_.share == Share::None || now >= authority_.validUntil)
        return Reason::NoAuthority;
    if (reportedDraining_)
        return Reason::UpstreamDraining;
    return Reason::None;
}

bool UpstreamAdmission::inheritedCounts(TimePoint now) const
{
    return authority_.inheritedInFlight > 0 && now < authority_.inheritedUntil;
}

unsigned UpstreamAdmission::limit(TimePoint now) const
{
    if (stopReason(now) != Reason::None)
        return 0;
    const unsigned part = partOfLimit(authority_.share, guard_.limit(), guard_.slots(), guard_.cold());
    const unsigned inherited = inheritedCounts(now) ? authority_.inheritedInFlight : 0;
    return part - std::min(part, inherited);
}

std::size_t UpstreamAdmission::coldQueue(unsigned limit) const
{
    return 2 * limit - std::min(2 * limit, running_);
}

bool UpstreamAdmission::canFinish(TimePoint deadline, std::size_t ahead, TimePoint now, unsigned limit) const
{
    if (deadline <= now)
        return false;
    // An idle upstream takes one request whatever the average says, so that the average is learned anew.
    if (running_ == 0 && ahead == 0 && limit > 0)
        return true;
    if (limit == 0)
        return inheritedCounts(now) && authority_.inheritedUntil + serviceTime_ <= deadline;
    const std::size_t freeSlots = limit - std::min(limit, running_);
    Duration wait {};
    if (ahead >= freeSlots)
        wait = serviceTime_ * static_cast<std::int64_t>(ahead - freeSlots + 1) / limit;
    return now + wait + serviceTime_ <= deadline;
}

std::optional<Reason> UpstreamAdmission::offer(
    WorkId work, TimePoint deadline, TimePoint now, std::vector<Refusal>& refused)
{
    if (const Reason reason = stopReason(now); reason != Reason::None)
        return reason;
    const unsigned allowed = limit(now);
    if (allowed == 0 && !inheritedCounts(now))
        return guard_.cold() ? Reason::ColdLimit : Reason::NoAuthority;
    if (guard_.cold() && !inheritedCounts(now) && queue_.size() >= coldQueue(allowed))
        return Reason::ColdLimit;
    if (queue_.size() >= queueLimit_)
        return Reason::QueueFull;
    // Equal deadlines are served in order of arrival, so the new entry goes before its equals.
    const auto place = std::find_if(
        queue_.begin(), queue_.end(), [deadline](const Entry& entry) { return entry.deadline <= deadline; });
    const auto ahead = static_cast<std::size_t>(queue_.end() - place);
    if (!canFinish(deadline, ahead, now, allowed))
        return Reason::DeadlineTooShort;
    queue_.insert(place, Entry { deadline, work });
    if (ahead + 1 < queue_.size())
        refuseHopeless(ahead + 1, now, refused);
    return std::nullopt;
}

bool UpstreamAdmission::withdraw(WorkId work)
{
    const auto place = std::find_if(
        queue_.begin(), queue_.end(), [work](const Entry& entry) { return entry.work == work; });
    if (place == queue_.end())
        return false;
    queue_.erase(place);
    return true;
}

void UpstreamAdmission::refuseHopeless(std::size_t firstAhead, TimePoint now, std::vector<Refusal>& refused)
{
    const unsigned allowed = limit(now);
    std::size_t ahead = firstAhead;
    while (ahead < queue_.size()) {
        const auto place = queue_.end() - static_cast<std::ptrdiff_t>(ahead) - 1;
        if (canFinish(place->deadline, ahead, now, allowed)) {
            ++ahead;
            continue;
        }
        refused.push_back({ place->work, Reason::DeadlineTooShort });
        queue_.erase(place);
    }
}

void UpstreamAdmission::refuseSurplus(TimePoint now, std::vector<Refusal>& refused)
{
    if (queue_.empty())
        return;
    if (const Reason reason = stopReason(now); reason != Reason::None) {
        refuseAll(reason, refused);
        return;
    }
    const unsigned allowed = limit(now);
    if (allowed == 0 && !inheritedCounts(now)) {
        refuseAll(guard_.cold() ? Reason::ColdLimit : Reason::NoAuthority, refused);
        return;
    }
    while (guard_.cold() && !inheritedCounts(now) && queue_.size() > coldQueue(allowed)) {
        refused.push_back({ queue_.front().work, Reason::ColdLimit });
        queue_.erase(queue_.begin());
    }
    refuseHopeless(0, now, refused);
}

void UpstreamAdmission::expire(TimePoint now, std::vector<Refusal>& refused)
{
    if (queue_.empty())
        return;
    if (const Reason reason = stopReason(now); reason != Reason::None)
        refuseAll(reason, refused);
    while (!queue_.empty() && !canFinish(queue_.back().deadline, 0, now, limit(now))) {
        refused.push_back({ queue_.back().work, Reason::DeadlineTooShort });
        queue_.pop_back();
    }
}

void UpstreamAdmission::refuseAll(Reason reason, std::vector<Refusal>& refused)
{
    for (auto entry = queue_.rbegin(); entry != queue_.rend(); ++entry)
        refused.push_back({ entry->work, reason });
    queue_.clear();
}

bool UpstreamAdmission::canStart(Trust trust, TimePoint now) const
{
    if (queue_.empty() || running_ >= limit(now))
        return false;
    // An uncertain home sends nothing to a cold upstream, and an unverified connection counts as cold.
    return trust == Trust::Verified
        || (authority_.share != Share::UncertainHalf && runningUnverified_ < guard_.coldLimit());
}

std::optional<WorkId> UpstreamAdmission::start(Trust trust, TimePoint now, std::vector<Refusal>& refused)
{
    expire(now, refused);
    if (!canStart(trust, now))
        return std::nullopt;
    const WorkId work = queue_.back().work;
    queue_.pop_back();
    ++running_;
    if (trust == Trust::Unverified)
        ++runningUnverified_;
    return work;
}

void UpstreamAdmission::finish(Trust trust)
{
    if (running_ > 0)
        --running_;
    if (trust == Trust::Unverified && runningUnverified_ > 0)
        --runningUnverified_;
}

std::optional<TimePoint> UpstreamAdmission::nextWake(TimePoint now) const
{
    if (queue_.empty())
        return std::nullopt;
    const TimePoint deadline = queue_.back().deadline;
    TimePoint wake = std::min(authority_.validUntil, running_ == 0 ? deadline : deadline - serviceTime_);
    if (inheritedCounts(now))
        wake = std::min(wake, authority_.inheritedUntil);
    return wake;
}

} // namespace banyancroft::admission
