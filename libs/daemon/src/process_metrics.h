#pragma once

#include "telemetry/metrics.h"

#include <atomic>

namespace banyancroft::daemon {

/** CPU time used by a thread, as last sampled by the thread itself. */
class ThreadCpuTime {
public:
    /** Called on the thread that is measured. */
    void sample();
    double seconds() const { return static_cast<double>(nanos_.load(std::memory_order_relaxed)) / 1e9; }

private:
    std::atomic<std::int64_t> nanos_ { 0 };
};

/** Registers gauges for the CPU time and resident memory of the process. */
void addProcessMetrics(telemetry::Metrics& metrics);

} // namespace banyancroft::daemon
