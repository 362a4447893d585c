#pragma once

#include <chrono>

namespace banyancroft {

/**
 * Time since boot, suspended time included (CLOCK_BOOTTIME).
 *
 * CLOCK_MONOTONIC stands still while a VM is suspended, so a lease judged by it could look valid after
 * the store has expired it. Functions that decide take a TimePoint as an argument; only programs and
 * I/O code call now().
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
 * Longest deadline that a request may have. A home that took over waits this long after the old one lost its
 * authority, since what was sent just before still runs at the upstream; a configuration that allowed more
 * would let two homes load one upstream.
 */
constexpr Duration longestRequestDeadline = std::chrono::seconds(2);

/** Whole microseconds of a duration, never negative. */
std::int64_t toMicros(Duration duration);
/** Duration in milliseconds with fraction. */
double toMillis(Duration duration);
/** Duration times a factor, in whole nanoseconds. */
Duration scaled(Duration duration, double factor);

} // namespace banyancroft
