#pragma once

#include "base/error.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string_view>

namespace banyancroft::tools {

/** Distribution of the time that an upstream needs for one request. */
struct ServiceTime {
    enum class Shape { Fixed, Exponential, Lognormal };

    Shape shape = Shape::Lognormal;
    /** The time, its mean or its median, as the shape has it. */
    Duration scale = std::chrono::milliseconds(4);
    /** Standard deviation of the logarithm; only for Lognormal. */
    double sigma = 0.5;

    /** Draws one time; at most 20 times the scale, so that a run has an end. */
    Duration draw(std::mt19937_64& random) const;
};

/** Reads "fixed:5ms", "exponential:5ms" or "lognormal:5ms:0.5" (median and sigma). */
std::optional<ServiceTime> parseServiceTime(std::string_view text, Error& reason);

} // namespace banyancroft::tools
