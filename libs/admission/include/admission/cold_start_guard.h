#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace banyancroft::admission {

/** Events that indicate a cold start. Answers and health reports carry further evidence in their content. */
enum class ColdEvidence : std::uint8_t {
    /** The upstream is new, its drain ended, its zone was put back into service, or authority was regained.
     */
    NewOrReturned,
    ConnectionRefused,
    /** The peer closed or reset a connection. */
    ConnectionReset,
};

/** Concurrency limits of an upstream, as declared by its service. */
struct DeclaredLimits {
    /** Concurrent requests that a warm upstream handles. */
    unsigned slots = 1;
    /** Concurrent requests during a cold start; at most `slots`. */
    unsigned coldLimit = 1;
    /** Number of completed answers that raises the limit of a cold upstream by one. */
    unsigned answersPerStep = 8;
};

/** A reply of an upstream to one request. */
struct UpstreamAnswer {
    /** Boot id of the process that replied; empty when the reply carries none. */
    std::string_view boot;
    /** The request completed (status 200). */
    bool completed = false;
    /** The upstream shed the request before running it (status 503 with X-Not-Run). */
    bool shed = false;
    /** The upstream reported itself cold (X-Cold). */
    bool cold = false;
    /** Time from send to reply. */
    Duration latency {};
};

/** Content of one reply to a health check. */
struct HealthReport {
    std::string boot;
    bool cold = false;
    bool draining = false;
    unsigned load = 0;
    /** Zero when not reported. */
    unsigned slots = 0;
};

/**
 * Limits the concurrency of an upstream that may be in a cold start.
 *
 * Any evidence of a cold start lowers the limit to the declared cold limit. Only completed answers raise it
 * again, one step at a time; health reports can only lower it. Performs no I/O and reads no clock. Not
 * thread-safe; owned by UpstreamAdmission.
 */
class ColdStartGuard {
public:
    explicit ColdStartGuard(const DeclaredLimits& declared);

    /** A lower limit takes effect at once; a higher one is reached step by step through completed answers. */
    void setDeclaredLimits(const DeclaredLimits& declared);
    void observeColdEvidence(ColdEvidence evidence);
    void observeAnswer(const UpstreamAnswer& answer);
    void observeHealthReport(const HealthReport& report);

    /** Number of concurrent requests allowed now, between 1 and the declared slots. */
    unsigned limit() const { return limit_; }
    /** True from the first evidence until the limit has reached the declared slots. */
    bool cold() const { return cold_; }
    unsigned coldLimit() const { return declared_.coldLimit; }
    unsigned slots() const { return declared_.slots; }
    /** True when the boot id is that of the process to which the limit applies. */
    bool isCurrentBoot(std::string_view boot) const { return !boot.empty() && boot == boot_; }
    /** Increases whenever another boot id becomes the current one. */
    std::uint64_t bootGeneration() const { return bootGeneration_; }
    /** Number of transitions from warm to cold and of changes of the boot id. */
    std::uint64_t coldStarts() const { return coldStarts_; }

private:
    void enterColdStart();
    bool isSuperseded(std::string_view boot) const;
    void setCurrentBoot(std::string_view boot);
    void observeLatency(Duration latency);
    bool latencyIsHigh() const;

    /** Number of earlier boot ids kept to recognise late replies and reports of ended processes. */
    static constexpr std::size_t supersededBootCount = 8;

    DeclaredLimits declared_;
    unsigned limit_ = 1;
    /** Completed answers since the limit last changed. */
    unsigned answersInStep_ = 0;
    bool cold_ = true;
    std::string boot_;
    std::uint64_t bootGeneration_ = 0;
    std::array<std::string, supersededBootCount> superseded_;
    /** Ring buffer position that is overwritten next. */
    std::size_t nextSuperseded_ = 0;
    std::uint64_t coldStarts_ = 0;
    /** Exponential moving averages over about 8 and about 128 answers, in nanoseconds. */
    double recentLatency_ = 0;
    double usualLatency_ = 0;
};

} // namespace banyancroft::admission
