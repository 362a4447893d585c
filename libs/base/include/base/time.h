#pragma once

#include <chrono>
#include <cstdint>

namespace banyancroft {

/**
 * Time since boot, including suspended time (CLOCK_BOOTTIME).
 *
 * CLOCK_MONOTONIC stops while a VM is suspended, so a lease measured with it could appear valid after the
 * store has expired it. Decision logic takes the current time as an argument; only programs and I/O code call
 * now().
 */
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    // The Clock requirements of the C++ library fix this name.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now() noexcept;
};

using Duration = BootClock::duration;
using TimePoint = BootClock::time_point;

/**
 * Longest deadline that a request may have. After a take-over, the new home waits this long after the
 * previous one lost its authority, because requests sent just before still run at the upstream. A
 * configuration that permitted longer deadlines would let two homes load one upstream at the same time.
 */
constexpr Duration longestRequestDeadline = std::chrono::seconds(2);

/** Longest duration that is taken from a message. */
constexpr Duration maxStatedDuration = std::chrono::hours(24);
/** A duration from a message, at most maxStatedDuration: the product of a large count and the unit would
 * overflow. */
Duration statedDuration(std::uint64_t count, Duration unit);

/** Duration in whole microseconds; negative durations give 0. */
std::int64_t toMicros(Duration duration);
/** Duration in fractional milliseconds. */
double toMillis(Duration duration);
/** Duration multiplied by a factor, truncated to whole nanoseconds. */
Duration scaled(Duration duration, double factor);

} // namespace banyancroft
