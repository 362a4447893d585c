#include "request_log.h"

#include <algorithm>

namespace banyancroft::gateway {

RequestLog::RequestLog(double rate, telemetry::Counter& dropped)
    : rate_(rate)
    , dropped_(dropped)
    , tokens_(rate)
{
}

void RequestLog::write(
    TimePoint now, std::string_view message, std::initializer_list<telemetry::LogField> fields)
{
    const double elapsed = std::chrono::duration<double>(now - at_).count();
    tokens_ = std::min(rate_, tokens_ + std::max(0.0, elapsed) * rate_);
    at_ = now;
    if (tokens_ < 1) {
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
