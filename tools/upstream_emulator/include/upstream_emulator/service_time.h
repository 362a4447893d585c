#pragma once

#include "base/error.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string_view>

namespace banyancroft::tools {

/** Distribution of the service time of a request. */
struct ServiceTime {
    enum class Shape { Fixed, Exponential, Lognormal };

    Shape shape = Shape::Lognormal;
    /** The time (Fixed), its mean (Exponential) or its median (Lognormal). */
    Duration scale = std::chrono::milliseconds(4);
    /** Standard deviation of the logarithm; only for Lognormal. */
    double sigma = 0.5;

    /** Draws one time, limited to 20 times the scale so that the duration of a run is bounded. */
    Duration draw(std::mt19937_64& random) const;
};

/**
 * Parses "fixed:5ms", "exponential:5ms" or "lognormal:5ms:0.5" (median and sigma).
 * @return empty with ErrorKind::InvalidInput for other text
 */
std::optional<ServiceTime> parseServiceTime(std::string_view text, Error& reason);

} // namespace banyancroft::tools
