#include "telemetry/metrics.h"

#include <boost/histogram.hpp>

#include <charconv>
#include <deque>

namespace banyancroft::telemetry {

namespace {

constexpr double lowestSeconds = 1e-4;
constexpr double highestSeconds = 100.0;
// 36 bins over six decades: neighbouring bounds differ by a factor of about 1.47.
constexpr unsigned binCount = 36;

std::string numberText(double value)
{
    std::array<char, 32> buffer {};
    auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return std::string(buffer.data(), result.ptr);
}

void writeHead(std::string_view name, std::string_view help, std::string_view type, std::string& out)
{
    out.append("# HELP ").append(name).append(" ").append(help).append("\n");
    out.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

} // namespace

class LatencyHistogram::Impl {
public:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Count = boost::histogram::accumulators::thread_safe<std::uint64_t>;
    using Storage = boost::histogram::dense_storage<Count>;

    boost::histogram::histogram<std::tuple<Axis>, Storage> histogram
        = boost::histogram::make_histogram_with(Storage(), Axis(binCount, lowestSeconds, highestSeconds));
    std::atomic<std::uint64_t> sumNanos { 0 };
};

LatencyHistogram::LatencyHistogram()
    : impl_(std::make_unique<Impl>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration duration)
{
    impl_->histogram(std::chrono::duration<double>(duration).count());
    impl_->sumNanos.fetch_add(
        static_cast<std::uint64_t>(std::max<Duration::rep>(0, duration.count())), std::memory_order_relaxed);
}

void LatencyHistogram::write(std::string_view name, std::string& out) const
{
    const auto& axis = impl_->histogram.axis(0);
    // Bin -1 is the underflow bin: durations below the lowest bound.
    std::uint64_t total = impl_->histogram.at(-1);
    for (int bin = 0; bin < axis.size(); ++bin) {
        total += impl_->histogram.at(bin);
        out.append(name).append("_bucket{le=\"").append(numberText(axis.bin(bin).upper())).append("\"} ");
        out.append(std::to_string(total)).append("\n");
    }
    total += impl_->histogram.at(axis.size());
    out.append(name).append("_bucket{le=\"+Inf\"} ").append(std::to_string(total)).append("\n");
    out.append(name).append("_sum ").append(numberText(static_cast<double>(impl_->sumNanos.load()) / 1e9));
    out.append("\n").append(name).append("_count ").append(std::to_string(total)).append("\n");
}

class Metrics::Impl {
public:
    template <typename Value> struct Series {
        std::string name;
        std::string help;
        Value value;
    };

    // std::deque keeps references valid while series are added.
    std::deque<Series<Counter>> counters;
    std::deque<Series<LatencyHistogram>> latencies;
    std::deque<Series<std::function<double()>>> gauges;
};

Metrics::Metrics()
    : impl_(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

Counter& Metrics::counter(std::string name, std::string help)
{
    auto& series = impl_->counters.emplace_back();
    series.name = std::move(name);
    series.help = std::move(help);
    return series.value;
}

LatencyHistogram& Metrics::latency(std::string name, std::string help)
{
    auto& series = impl_->latencies.emplace_back();
    series.name = std::move(name);
    series.help = std::move(help);
    return series.value;
}

void Metrics::gauge(std::string name, std::string help, std::function<double()> read)
{
    impl_->gauges.push_back({ std::move(name), std::move(help), std::move(read) });
}

std::string Metrics::write() const
{
    std::string out;
    for (const auto& series : impl_->counters) {
        writeHead(series.name, series.help, "counter", out);
        out.append(series.name).append(" ").append(std::to_string(series.value.value())).append("\n");
    }
    for (const auto& series : impl_->gauges) {
        writeHead(series.name, series.help, "gauge", out);
        out.append(series.name).append(" ").append(numberText(series.value())).append("\n");
    }
    for (const auto& series : impl_->latencies) {
        writeHead(series.name, series.help, "histogram", out);
        series.value.write(series.name, out);
    }
    return out;
}

} // namespace banyancroft::telemetry
