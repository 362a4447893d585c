#include "base/time.h"

#include <algorithm>
#include <ctime>

namespace banyancroft {

BootClock::time_point BootClock::now() noexcept
{
    timespec value {};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

Duration statedDuration(std::uint64_t count, Duration unit)
{
    return count < static_cast<std::uint64_t>(maxStatedDuration / unit)
        ? unit * static_cast<Duration::rep>(count)
        : maxStatedDuration;
}

std::int64_t toMicros(Duration duration)
{
    return std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

double toMillis(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

} // namespace banyancroft
