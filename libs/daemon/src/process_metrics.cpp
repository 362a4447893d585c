#include "process_metrics.h"

#include <ctime>
#include <fstream>
#include <unistd.h>

namespace banyancroft::daemon {

namespace {

std::int64_t cpuNanos(clockid_t clock)
{
    timespec value {};
    clock_gettime(clock, &value);
    return static_cast<std::int64_t>(value.tv_sec) * 1'000'000'000 + value.tv_nsec;
}

double residentBytes()
{
    // The second field of statm is the resident set in pages.
    std::ifstream statm("/proc/self/statm");
    double total = 0;
    double resident = 0;
    statm >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

void ThreadCpuTime::sample() { nanos_.store(cpuNanos(CLOCK_THREAD_CPUTIME_ID), std::memory_order_relaxed); }

void addProcessMetrics(telemetry::Metrics& metrics)
{
    metrics.gauge("process_cpu_seconds_total", "Processor time of the process",
        [] { return static_cast<double>(cpuNanos(CLOCK_PROCESS_CPUTIME_ID)) / 1e9; });
    metrics.gauge("process_resident_memory_bytes", "Resident memory of the process", residentBytes);
}

} // namespace banyancroft::daemon
