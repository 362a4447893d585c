#pragma once

#include "base/time.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

#include <initializer_list>
#include <string_view>

namespace banyancroft::gateway {

/**
 * Writes lines about single requests, at most `rate` a second with a burst of one second. Lines beyond
 * that are counted, and the count is told with the next line that is written. Steps of requests leave
 * half of the burst to their ends, so that the end of a request is still told when many fail at once.
 */
class RequestLog {
public:
    RequestLog(double rate, telemetry::Counter& dropped);

    /** A decision on the way of a request. */
    void logStep(TimePoint now, std::string_view message, std::initializer_list<telemetry::LogField> fields);
    /** The outcome of a request. */
    void logOutcome(
        TimePoint now, std::string_view message, std::initializer_list<telemetry::LogField> fields);
    /** Lines that could be written now. */
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
