#include "upstream_emulator/service_time.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <string>
#include <vector>

namespace banyancroft::tools {

namespace {

constexpr double maxFactor = 20.0;

std::optional<Duration> parseMillis(std::string_view text)
{
    double millis = 0;
    if (!text.ends_with("ms") || !absl::SimpleAtod({ text.data(), text.size() - 2 }, &millis) || millis <= 0)
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(millis));
}

} // namespace

Duration ServiceTime::draw(std::mt19937_64& random) const
{
    double factor = 1.0;
    if (shape == Shape::Exponential) {
        factor = std::exponential_distribution<double>(1.0)(random);
    } else if (shape == Shape::Lognormal) {
        factor = std::lognormal_distribution<double>(0.0, sigma)(random);
    }
    factor = std::min(factor, maxFactor);
    return std::chrono::duration_cast<Duration>(scale * factor);
}

std::optional<ServiceTime> parseServiceTime(std::string_view text, Error& reason)
{
    const std::vector<std::string> parts = absl::StrSplit(absl::string_view(text.data(), text.size()), ':');
    ServiceTime result;
    bool known = parts.size() == 2;
    if (parts[0] == "fixed") {
        result.shape = ServiceTime::Shape::Fixed;
    } else if (parts[0] == "exponential") {
        result.shape = ServiceTime::Shape::Exponential;
    } else {
        known = parts[0] == "lognormal" && parts.size() == 3 && absl::SimpleAtod(parts[2], &result.sigma)
            && result.sigma >= 0;
    }
    const auto scale = known ? parseMillis(parts[1]) : std::nullopt;
    if (!scale) {
        reason = { ErrorKind::InvalidInput, "service time \"" + std::string(text) + "\" is invalid",
            "give fixed:5ms, exponential:5ms or lognormal:5ms:0.5" };
        return std::nullopt;
    }
    result.scale = *scale;
    return result;
}

} // namespace banyancroft::tools
