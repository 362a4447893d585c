#pragma once

#include "admission/cold_start_guard.h"
#include "base/authority.h"
#include "base/outcome.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace banyancroft::admission {

/** Handle that the caller assigns to a request; unique among the queued requests. */
using RequestHandle = std::uint32_t;

/** A queued request that is returned to the caller without having run. */
struct Refusal {
    RequestHandle request = 0;
    Reason reason = Reason::None;
};

/** Whether a reply on the connection has carried the boot id to which the limit applies. */
enum class ConnectionTrust : std::uint8_t {
    /**
     * The connection may lead to a process that has just started. Requests on all such connections together
     * stay within the cold limit.
     */
    Unverified,
    Verified,
};

/**
 * Admission control for one upstream: queues requests and decides when they may be sent, subject to the
 * slot limit, cold start and authority.
 *
 *     if (auto refusal = admission.offer(request, deadline, now, refusals))
 *         …answer NotRun with *refusal
 *     while (admission.canStart(trust, now))
 *         if (auto next = admission.start(trust, now, refusals))
 *             …send *next
 *     admission.finish(trust);
 *
 * Performs no I/O and reads no clock. Owned by one traffic thread; not thread-safe. Methods with a `refused`
 * list append the queued requests that can no longer run; the caller has to answer them.
 */
class UpstreamAdmission {
public:
    UpstreamAdmission(const DeclaredLimits& declared, unsigned queueLimit);

    void setDeclaredLimits(
        const DeclaredLimits& declared, unsigned queueLimit, TimePoint now, std::vector<Refusal>& refused);
    void setAuthority(const Authority& authority, TimePoint now, std::vector<Refusal>& refused);
    /**
     * Refuses new and queued requests with the given reason (ZoneOut, UpstreamDraining, …); Reason::None
     * resumes admission.
     */
    void setStopReason(Reason reason, TimePoint now, std::vector<Refusal>& refused);

    void observeColdEvidence(ColdEvidence evidence, TimePoint now, std::vector<Refusal>& refused);
    void observeAnswer(const UpstreamAnswer& answer, TimePoint now, std::vector<Refusal>& refused);
    void observeHealthReport(const HealthReport& report, TimePoint now, std::vector<Refusal>& refused);

    /** Queues the request, or returns the reason why it is refused. */
    std::optional<Reason> offer(
        RequestHandle request, TimePoint deadline, TimePoint now, std::vector<Refusal>& refused);
    /** Removes a request from the queue; false when it is not queued. */
    bool removeQueued(RequestHandle request);
    /** Refuses queued requests that can no longer meet their deadline or whose authority has expired. */
    void expire(TimePoint now, std::vector<Refusal>& refused);
    /** Refuses all queued requests. */
    void refuseQueued(Reason reason, std::vector<Refusal>& refused);

    /** True when a queued request may be sent now on a connection of this trust. Checks the authority. */
    bool canStart(ConnectionTrust trust, TimePoint now) const;
    /** Dequeues the request with the earliest deadline and takes a slot; empty when none may be sent. */
    std::optional<RequestHandle> start(ConnectionTrust trust, TimePoint now, std::vector<Refusal>& refused);
    /** Releases a slot; `trust` is the one passed to start(). */
    void finish(ConnectionTrust trust);

    /** Number of concurrent requests that this daemon may have at the upstream now. */
    unsigned limit(TimePoint now) const;
    /** Next time at which to call expire() and start(); empty when nothing is queued. */
    std::optional<TimePoint> nextWake(TimePoint now) const;
    /** Reason why new requests are refused irrespective of load; Reason::None when they are not. */
    Reason stopReason(TimePoint now) const;

    bool cold() const { return guard_.cold(); }
    unsigned running() const { return running_; }
    unsigned queued() const { return static_cast<unsigned>(queue_.size()); }
    const ColdStartGuard& guard() const { return guard_; }
    const Authority& authority() const { return authority_; }
    /** Exponential moving average of the time from send to reply. */
    Duration serviceTime() const { return serviceTime_; }

private:
    struct Entry {
        TimePoint deadline;
        RequestHandle request;
    };

    /** True when a request with `ahead` queued requests before it is expected to finish by its deadline. */
    bool canFinish(TimePoint deadline, std::size_t ahead, TimePoint now, unsigned limit) const;
    /** Refuses requests that cannot finish by their deadline; skips the `firstAhead` earliest ones. */
    void refuseUnmeetable(std::size_t firstAhead, TimePoint now, std::vector<Refusal>& refused);
    /** Refuses the queued requests that the current limit and authority no longer allow. */
    void refuseSurplus(TimePoint now, std::vector<Refusal>& refused);
    /** True while requests of the previous home are counted against the limit. */
    bool inheritedInFlightCounts(TimePoint now) const;
    /**
     * Maximum queue length of a cold upstream: one waiting request per slot, counting free slots twice. A
     * cold upstream is slower than its average service time, so other replicas are the better choice.
     */
    std::size_t coldQueueLimit(unsigned limit) const;

    ColdStartGuard guard_;
    unsigned queueLimit_;
    Authority authority_;
    Reason stopReason_ = Reason::None;
    bool reportedDraining_ = false;
    /** Sorted by descending deadline, so that the earliest is taken from the end. */
    std::vector<Entry> queue_;
    unsigned running_ = 0;
    unsigned runningUnverified_ = 0;
    Duration serviceTime_ {};
};

} // namespace banyancroft::admission
