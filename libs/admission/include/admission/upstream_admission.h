#pragma once

#include "admission/cold_start_guard.h"
#include "base/authority.h"
#include "base/outcome.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace banyancroft::admission {

/** The caller's number of one piece of work; unique among the work that is queued. */
using RequestHandle = std::uint32_t;

/** Queued work that is given back without having run. */
struct Refusal {
    RequestHandle request = 0;
    Reason reason = Reason::None;
};

/** Whether replies on a connection have shown the boot id that the limit is for. */
enum class ConnectionTrust : std::uint8_t {
    /** May lead to a process that has just started; such requests together stay within the cold limit. */
    Unverified,
    Verified,
};

/**
 * Decides when work may be sent to one upstream: queue, slot limit, cold start and authority.
 *
 *     if (auto refusal = admission.offer(work, deadline, now, refusals))
 *         …answer NotRun with *refusal
 *     while (admission.canStart(trust, now))
 *         if (auto next = admission.start(trust, now, refusals))
 *             …send *next
 *     admission.finish(trust, now);
 *
 * Pure: no I/O, time is an argument. Owned by a traffic thread, not thread-safe. Calls with a list of
 * refusals append the queued work that can no longer run; the caller answers it.
 */
class UpstreamAdmission {
public:
    UpstreamAdmission(const DeclaredLimits& declared, unsigned queueLimit);

    void setDeclaredLimits(
        const DeclaredLimits& declared, unsigned queueLimit, TimePoint now, std::vector<Refusal>& refused);
    void setAuthority(const Authority& authority, TimePoint now, std::vector<Refusal>& refused);
    /** Stops new work with the given reason (ZoneOut, UpstreamDraining, …); Reason::None lets it in again. */
    void setStopReason(Reason reason, TimePoint now, std::vector<Refusal>& refused);

    void observeColdEvidence(ColdEvidence evidence, TimePoint now, std::vector<Refusal>& refused);
    void observeAnswer(const UpstreamAnswer& answer, TimePoint now, std::vector<Refusal>& refused);
    void observeHealthReport(const HealthReport& report, TimePoint now, std::vector<Refusal>& refused);

    /** Queues work, or returns why it is refused at once. */
    std::optional<Reason> offer(
        RequestHandle request, TimePoint deadline, TimePoint now, std::vector<Refusal>& refused);
    /** Takes queued work out; false when it is not queued. */
    bool removeQueued(RequestHandle request);
    /** Gives back queued work whose time or authority has run out. */
    void expire(TimePoint now, std::vector<Refusal>& refused);
    /** Gives back all queued work. */
    void refuseQueued(Reason reason, std::vector<Refusal>& refused);

    /** True when queued work may be sent on a connection of this trust now. Checks the authority. */
    bool canStart(ConnectionTrust trust, TimePoint now) const;
    /** Takes the work with the earliest deadline and a slot; empty when nothing may be sent. */
    std::optional<RequestHandle> start(ConnectionTrust trust, TimePoint now, std::vector<Refusal>& refused);
    /** Gives a slot back, with the trust that it was taken with. */
    void finish(ConnectionTrust trust);

    /** Requests at a time that this daemon may have at the upstream now. */
    unsigned limit(TimePoint now) const;
    /** Time at which `expire` or `start` may have something to do; empty when nothing is queued. */
    std::optional<TimePoint> nextWake(TimePoint now) const;
    /** Why new work would be refused irrespective of load; Reason::None when it would not. */
    Reason stopReason(TimePoint now) const;

    bool cold() const { return guard_.cold(); }
    unsigned running() const { return running_; }
    unsigned queued() const { return static_cast<unsigned>(queue_.size()); }
    const ColdStartGuard& guard() const { return guard_; }
    const Authority& authority() const { return authority_; }
    /** Running average of the time from send to reply. */
    Duration serviceTime() const { return serviceTime_; }

private:
    struct Entry {
        TimePoint deadline;
        RequestHandle request;
    };

    bool canFinish(TimePoint deadline, std::size_t ahead, TimePoint now, unsigned limit) const;
    void refuseUnmeetable(std::size_t firstAhead, TimePoint now, std::vector<Refusal>& refused);
    void refuseSurplus(TimePoint now, std::vector<Refusal>& refused);
    bool inheritedInFlightCounts(TimePoint now) const;
    /**
     * Longest queue of a cold upstream: one waiting request per slot, counting free slots twice. A cold
     * upstream answers more slowly than the average tells, so that work is better given to other replicas.
     */
    std::size_t coldQueue(unsigned limit) const;

    ColdStartGuard guard_;
    unsigned queueLimit_;
    Authority authority_;
    Reason stopped_ = Reason::None;
    bool reportedDraining_ = false;
    /** Sorted by falling deadline, so that the earliest is taken from the end. */
    std::vector<Entry> queue_;
    unsigned running_ = 0;
    unsigned runningUnverified_ = 0;
    Duration serviceTime_ {};
};

} // namespace banyancroft::admission
