#pragma once

#include "base/time.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace banyancroft::telemetry {

/** Monotonic counter. Thread-safe. */
class Counter {
public:
    void add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> value_ { 0 };
};

/** Histogram of durations with logarithmic bins from 0.1 ms to 100 s. Thread-safe. */
class LatencyHistogram {
public:
    LatencyHistogram();
    ~LatencyHistogram();

    void record(Duration duration);
    /** Appends the series in Prometheus text format, in seconds. */
    void write(std::string_view name, std::string& out) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

/**
 * All metrics of a process, written as Prometheus text format 0.0.4.
 *
 *     auto& refused = metrics.counter("banyancroft_refused_total", "Requests refused as not run");
 *     refused.add();
 *
 * Owned by the daemon and outlives all threads that hold references. Series are added at start, before
 * other threads run; recording and write() are thread-safe.
 */
class Metrics {
public:
    Metrics();
    ~Metrics();

    Counter& counter(std::string name, std::string help);
    LatencyHistogram& latency(std::string name, std::string help);
    /** A value read on each write(); `read` runs on the thread that calls write(). */
    void gauge(std::string name, std::string help, std::function<double()> read);

    std::string write() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace banyancroft::telemetry
