#include "request_log.h"

#include <algorithm>

namespace banyancroft::gateway {

RequestLog::RequestLog(double rate, telemetry::Counter& dropped)
    : rate_(rate)
    , dropped_(dropped)
    , tokens_(rate)
{
}

double RequestLog::available(TimePoint now) const
{
    const double elapsed = std::chrono::duration<double>(now - at_).count();
    return std::min(rate_, tokens_ + std::max(0.0, elapsed) * rate_);
}

void RequestLog::step(
    TimePoint now, std::string_view message, std::initializer_list<telemetry::LogField> fields)
{
    write(now, rate_ / 2, message, fields);
}

void RequestLog::end(
    TimePoint now, std::string_view message, std::initializer_list<telemetry::LogField> fields)
{
    write(now, 0, message, fields);
}

void RequestLog::write(TimePoint now, double reserve, std::string_view message,
    std::initializer_list<telemetry::LogField> fields)
{
    tokens_ = available(now);
    at_ = now;
    if (tokens_ < 1 + reserve) {
        ++untold_;
        dropped_.add();
        return;
    }
    tokens_ -= 1;
    if (untold_ > 0) {
        telemetry::log(telemetry::LogLevel::Warn, "request", "log lines were dropped",
            { { "lines", std::to_string(untold_) } });
        untold_ = 0;
    }
    telemetry::log(telemetry::LogLevel::Info, "request", message, fields);
}

} // namespace banyancroft::gateway
