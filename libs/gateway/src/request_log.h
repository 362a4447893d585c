#pragma once

#include "base/time.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

#include <initializer_list>
#include <string_view>

namespace banyancroft::gateway {

/**
 * Writes lines about single requests, at most `rate` a second with a burst of one second. Lines beyond
 * that are counted, and the count is told with the next line that is written.
 */
class RequestLog {
public:
    RequestLog(double rate, telemetry::Counter& dropped);

    void write(TimePoint now, std::string_view message, std::initializer_list<telemetry::LogField> fields);

private:
    const double rate_;
    telemetry::Counter& dropped_;
    double tokens_;
    TimePoint at_ {};
    std::uint64_t untold_ = 0;
};

} // namespace banyancroft::gateway
