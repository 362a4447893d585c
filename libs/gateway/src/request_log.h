#pragma once

#include "base/time.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

#include <initializer_list>
#include <string_view>

namespace banyancroft::gateway {

/**
 * Rate-limited log of individual requests: a token bucket of `rate` lines per second that holds one second
 * of lines. Lines above the limit are dropped, and their number is logged before the next line. Half of
 * the bucket is reserved for outcomes, so that they are still logged when many requests fail at once.
 */
class RequestLog {
public:
    RequestLog(double rate, telemetry::Counter& dropped);

    /** Logs an intermediate event of a request. */
    void logStep(TimePoint now, std::string_view message, std::initializer_list<telemetry::LogField> fields);
    /** Logs the outcome of a request. */
    void logOutcome(
        TimePoint now, std::string_view message, std::initializer_list<telemetry::LogField> fields);
    /** Number of lines that can be logged at `now` without exceeding the limit. */
    double availableLines(TimePoint now) const;

private:
    void write(TimePoint now, double reserve, std::string_view message,
        std::initializer_list<telemetry::LogField> fields);

    const double rate_;
    telemetry::Counter& dropped_;
    double tokens_;
    TimePoint refilledAt_ {};
    std::uint64_t unreportedDrops_ = 0;
};

} // namespace banyancroft::gateway
