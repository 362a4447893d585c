#include "admission/upstream_admission.h"

#include "admission/share.h"

#include <algorithm>

namespace banyancroft::admission {

namespace {

/** Each answer moves the average service time by 1/8 of the difference. */
constexpr int serviceTimeDivisor = 8;

} // namespace

UpstreamAdmission::UpstreamAdmission(const DeclaredLimits& declared, unsigned queueLimit)
    : guard_(declared)
    , queueLimit_(queueLimit)
{
}

void UpstreamAdmission::setDeclaredLimits(
    const DeclaredLimits& declared, unsigned queueLimit, TimePoint now, std::vector<Refusal>& refused)
{
    guard_.setDeclaredLimits(declared);
    queueLimit_ = queueLimit;
    refuseSurplus(now, refused);
}

void UpstreamAdmission::setAuthority(const Authority& authority, TimePoint now, std::vector<Refusal>& refused)
{
    const bool regained = authority_.share == Share::None && authority.share != Share::None;
    authority_ = authority;
    // Another home may have sent to the upstream in the meantime, so the limit is out of date.
    if (regained)
        guard_.observeColdEvidence(ColdEvidence::NewOrReturned);
    refuseSurplus(now, refused);
}

void UpstreamAdmission::setStopReason(Reason reason, TimePoint now, std::vector<Refusal>& refused)
{
    if (stopReason_ != Reason::None && reason == Reason::None)
        guard_.observeColdEvidence(ColdEvidence::NewOrReturned);
    stopReason_ = reason;
    refuseSurplus(now, refused);
}

void UpstreamAdmission::observeColdEvidence(
    ColdEvidence evidence, TimePoint now, std::vector<Refusal>& refused)
{
    guard_.observeColdEvidence(evidence);
    refuseSurplus(now, refused);
}

void UpstreamAdmission::observeAnswer(
    const UpstreamAnswer& answer, TimePoint now, std::vector<Refusal>& refused)
{
    const unsigned before = guard_.limit();
    const bool wasCold = guard_.cold();
    guard_.observeAnswer(answer);
    if (answer.completed) {
        serviceTime_ = serviceTime_ == Duration::zero()
            ? answer.latency
            : serviceTime_ + (answer.latency - serviceTime_) / serviceTimeDivisor;
    }
    if (guard_.limit() < before || (guard_.cold() && !wasCold))
        refuseSurplus(now, refused);
}

void UpstreamAdmission::observeHealthReport(
    const HealthReport& report, TimePoint now, std::vector<Refusal>& refused)
{
    guard_.observeHealthReport(report);
    if (reportedDraining_ && !report.draining)
        guard_.observeColdEvidence(ColdEvidence::NewOrReturned);
    reportedDraining_ = report.draining;
    refuseSurplus(now, refused);
}

Reason UpstreamAdmission::stopReason(TimePoint now) const
{
    if (stopReason_ != Reason::None)
        return stopReason_;
    if (authority_.share == Share::None || now >= authority_.validUntil)
        return Reason::NoAuthority;
    if (reportedDraining_)
        return Reason::UpstreamDraining;
    return Reason::None;
}

bool UpstreamAdmission::inheritedInFlightCounts(TimePoint now) const
{
    return authority_.inheritedInFlight > 0 && now < authority_.inheritedUntil;
}

unsigned UpstreamAdmission::limit(TimePoint now) const
{
    if (stopReason(now) != Reason::None)
        return 0;
    const unsigned part = limitForShare(authority_.share, guard_.limit(), guard_.slots(), guard_.cold());
    const unsigned inherited = inheritedInFlightCounts(now) ? authority_.inheritedInFlight : 0;
    return part - std::min(part, inherited);
}

std::size_t UpstreamAdmission::coldQueueLimit(unsigned limit) const
{
    return 2 * limit - std::min(2 * limit, running_);
}

bool UpstreamAdmission::canFinish(TimePoint deadline, std::size_t ahead, TimePoint now, unsigned limit) const
{
    if (deadline <= now)
        return false;
    // An idle upstream accepts one request regardless of the average, so that the average gets new samples.
    if (running_ == 0 && ahead == 0 && limit > 0)
        return true;
    if (limit == 0)
        return inheritedInFlightCounts(now) && authority_.inheritedUntil + serviceTime_ <= deadline;
    const std::size_t freeSlots = limit - std::min(limit, running_);
    const Duration spare = deadline - now - serviceTime_;
    // Slots become free one after another, on average every serviceTime_ / limit.
    const auto slotsToWaitFor = static_cast<std::int64_t>(ahead >= freeSlots ? ahead - freeSlots + 1 : 0);
    return spare >= Duration::zero() && serviceTime_ * slotsToWaitFor <= spare * limit;
}

std::optional<Reason> UpstreamAdmission::offer(
    RequestHandle request, TimePoint deadline, TimePoint now, std::vector<Refusal>& refused)
{
    if (const Reason reason = stopReason(now); reason != Reason::None)
        return reason;
    const unsigned allowed = limit(now);
    if (allowed == 0 && !inheritedInFlightCounts(now))
        return guard_.cold() ? Reason::ColdLimit : Reason::NoAuthority;
    if (guard_.cold() && !inheritedInFlightCounts(now) && queue_.size() >= coldQueueLimit(allowed))
        return Reason::ColdLimit;
    if (queue_.size() >= queueLimit_)
        return Reason::QueueFull;
    // Requests with equal deadlines are served in order of arrival, so the new entry goes before them.
    const auto position = std::partition_point(
        queue_.begin(), queue_.end(), [deadline](const Entry& entry) { return entry.deadline > deadline; });
    const auto ahead = static_cast<std::size_t>(queue_.end() - position);
    if (!canFinish(deadline, ahead, now, allowed))
        return Reason::DeadlineTooShort;
    queue_.insert(position, Entry { deadline, request });
    if (ahead + 1 < queue_.size())
        refuseUnmeetable(ahead + 1, now, refused);
    return std::nullopt;
}

bool UpstreamAdmission::removeQueued(RequestHandle request)
{
    const auto position = std::find_if(
        queue_.begin(), queue_.end(), [request](const Entry& entry) { return entry.request == request; });
    if (position == queue_.end())
        return false;
    queue_.erase(position);
    return true;
}

void UpstreamAdmission::refuseUnmeetable(std::size_t firstAhead, TimePoint now, std::vector<Refusal>& refused)
{
    const unsigned allowed = limit(now);
    std::size_t ahead = firstAhead;
    while (ahead < queue_.size()) {
        const auto position = queue_.end() - static_cast<std::ptrdiff_t>(ahead) - 1;
        if (canFinish(position->deadline, ahead, now, allowed)) {
            ++ahead;
            continue;
        }
        refused.push_back({ position->request, Reason::DeadlineTooShort });
        queue_.erase(position);
    }
}

void UpstreamAdmission::refuseSurplus(TimePoint now, std::vector<Refusal>& refused)
{
    if (queue_.empty())
        return;
    if (const Reason reason = stopReason(now); reason != Reason::None) {
        refuseQueued(reason, refused);
        return;
    }
    const unsigned allowed = limit(now);
    if (allowed == 0 && !inheritedInFlightCounts(now)) {
        refuseQueued(guard_.cold() ? Reason::ColdLimit : Reason::NoAuthority, refused);
        return;
    }
    while (guard_.cold() && !inheritedInFlightCounts(now) && queue_.size() > coldQueueLimit(allowed)) {
        refused.push_back({ queue_.front().request, Reason::ColdLimit });
        queue_.erase(queue_.begin());
    }
    refuseUnmeetable(0, now, refused);
}

void UpstreamAdmission::expire(TimePoint now, std::vector<Refusal>& refused)
{
    if (queue_.empty())
        return;
    if (const Reason reason = stopReason(now); reason != Reason::None)
        refuseQueued(reason, refused);
    while (!queue_.empty() && !canFinish(queue_.back().deadline, 0, now, limit(now))) {
        refused.push_back({ queue_.back().request, Reason::DeadlineTooShort });
        queue_.pop_back();
    }
}

void UpstreamAdmission::refuseQueued(Reason reason, std::vector<Refusal>& refused)
{
    for (auto entry = queue_.rbegin(); entry != queue_.rend(); ++entry)
        refused.push_back({ entry->request, reason });
    queue_.clear();
}

bool UpstreamAdmission::canStart(ConnectionTrust trust, TimePoint now) const
{
    if (queue_.empty() || running_ >= limit(now))
        return false;
    // With UncertainHalf nothing is sent to a cold upstream, and an unverified connection counts as cold.
    return trust == ConnectionTrust::Verified
        || (authority_.share != Share::UncertainHalf && runningUnverified_ < guard_.coldLimit());
}

std::optional<RequestHandle> UpstreamAdmission::start(
    ConnectionTrust trust, TimePoint now, std::vector<Refusal>& refused)
{
    expire(now, refused);
    if (!canStart(trust, now))
        return std::nullopt;
    const RequestHandle request = queue_.back().request;
    queue_.pop_back();
    ++running_;
    if (trust == ConnectionTrust::Unverified)
        ++runningUnverified_;
    return request;
}

void UpstreamAdmission::finish(ConnectionTrust trust)
{
    if (running_ > 0)
        --running_;
    if (trust == ConnectionTrust::Unverified && runningUnverified_ > 0)
        --runningUnverified_;
}

std::optional<TimePoint> UpstreamAdmission::nextWake(TimePoint now) const
{
    if (queue_.empty())
        return std::nullopt;
    const TimePoint deadline = queue_.back().deadline;
    TimePoint wake = std::min(authority_.validUntil, running_ == 0 ? deadline : deadline - serviceTime_);
    if (inheritedInFlightCounts(now))
        wake = std::min(wake, authority_.inheritedUntil);
    return wake;
}

} // namespace banyancroft::admission
