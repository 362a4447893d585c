#include "request_log.h"

#include <algorithm>

namespace banyancroft::gateway {

RequestLog::RequestLog(double rate, telemetry::Counter& dropped)
    : rate_(rate)
    , dropped_(dropped)
    , tokens_(rate)
{
}

double RequestLog::availableLines(TimePoint now) const
{
    const double elapsed = std::chrono::duration<double>(now - refilledAt_).count();
    return std::min(rate_, tokens_ + std::max(0.0, elapsed) * rate_);
}

void RequestLog::logStep(
    TimePoint now, std::string_view message, std::initializer_list<telemetry::LogField> fields)
{
    write(now, rate_ / 2, message, fields);
}

void RequestLog::logOutcome(
    TimePoint now, std::string_view message, std::initializer_list<telemetry::LogField> fields)
{
    write(now, 0, message, fields);
}

void RequestLog::write(TimePoint now, double reserve, std::string_view message,
    std::initializer_list<telemetry::LogField> fields)
{
    tokens_ = availableLines(now);
    refilledAt_ = now;
    if (tokens_ < 1 + reserve) {
        ++unreportedDrops_;
        dropped_.add();
        return;
    }
    tokens_ -= 1;
    if (unreportedDrops_ > 0) {
        telemetry::log(telemetry::LogLevel::Warn, "request", "request log lines dropped by the rate limit",
            { { "lines", std::to_string(unreportedDrops_) } });
        unreportedDrops_ = 0;
    }
    telemetry::log(telemetry::LogLevel::Info, "request", message, fields);
}

} // namespace banyancroft::gateway
