#pragma once

#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace banyancroft::admission {

/** What points to a cold start. Answers and health reports are evidence by their content. */
enum class ColdEvidence : std::uint8_t {
    /** The upstream is new, or it returned from a drain, its zone returned, or its authority was regained. */
    NewOrReturned,
    ConnectionRefused,
    /** The peer closed or reset a connection. */
    ConnectionReset,
};

/** Requests at a time that an upstream bears, as declared by its service. */
struct DeclaredLimits {
    unsigned slots = 1;
    /** At most `slots`. */
    unsigned coldLimit = 1;
    /** Completed answers that raise the limit of a cold upstream by one. */
    unsigned answersPerStep = 8;
};

/** One reply of an upstream. */
struct UpstreamAnswer {
    /** Empty when the reply did not carry it. */
    std::string_view boot;
    /** The request ran to its end (status 200). */
    bool completed = false;
    /** Refused before it ran because of load (status 503 with X-Not-Run). */
    bool shed = false;
    /** X-Cold. */
    bool cold = false;
    /** From the send to the reply. */
    Duration latency {};
};

struct HealthReport {
    std::string boot;
    bool cold = false;
    bool draining = false;
    unsigned load = 0;
    unsigned slots = 0;
};

/**
 * Limits the load of an upstream that may be in a cold start.
 *
 * Any evidence of a cold start caps the limit at the declared cold limit. Only completed answers raise
 * it again, one step at a time; reports lower it. Pure and not thread-safe; owned by UpstreamAdmission.
 */
class ColdStartGuard {
public:
    explicit ColdStartGuard(const DeclaredLimits& declared);

    /** Lowers the limit at once where needed; a higher declaration takes effect through answers. */
    void setDeclaredLimits(const DeclaredLimits& declared);
    void observeColdEvidence(ColdEvidence evidence);
    void observeAnswer(const UpstreamAnswer& answer);
    void observeHealthReport(const HealthReport& report);

    /** Requests at a time that the upstream bears now, between 1 and the declared slots. */
    unsigned limit() const { return limit_; }
    /** From the first evidence until the limit has reached the declared slots. */
    bool cold() const { return cold_; }
    unsigned coldLimit() const { return declared_.coldLimit; }
    unsigned slots() const { return declared_.slots; }
    /** True when a reply with this boot id comes from the start of the upstream that the limit is for. */
    bool isCurrentBoot(std::string_view boot) const { return !boot.empty() && boot == boot_; }
    /** Changes when another boot id becomes the current one. */
    std::uint64_t bootGeneration() const { return bootGeneration_; }
    /** Times that a warm upstream turned cold, or another boot was seen. */
    std::uint64_t coldStarts() const { return coldStarts_; }

private:
    void cap();
    bool isSuperseded(std::string_view boot) const;
    void learnBoot(std::string_view boot);
    void observeLatency(Duration latency);
    bool latencyIsHigh() const;

    /** Boot ids remembered, so that late replies and reports of earlier starts are recognised. */
    static constexpr std::size_t rememberedBoots = 8;

    DeclaredLimits declared_;
    unsigned limit_ = 1;
    unsigned answersInStep_ = 0;
    bool cold_ = true;
    std::string boot_;
    std::uint64_t bootGeneration_ = 0;
    std::array<std::string, rememberedBoots> superseded_;
    std::size_t nextSuperseded_ = 0;
    std::uint64_t coldStarts_ = 0;
    /** Averages over about 8 and about 128 answers, in nanoseconds. */
    double recentLatency_ = 0;
    double usualLatency_ = 0;
};

} // namespace banyancroft::admission
