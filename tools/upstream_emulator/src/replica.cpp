#include "upstream_emulator/replica.h"

#include <algorithm>
#include <functional>

namespace banyancroft::tools {

namespace {

/** Factors on the service time of a request over the limit, and of one during a cold start. */
constexpr double overLimitFactor = 10.0;
constexpr double coldFactor = 2.0;

} // namespace

Replica::Replica(Settings settings)
    : settings_(std::move(settings))
    , random_(settings_.seed ^ std::hash<std::string> {}(settings_.id))
{
}

Duration Replica::begin(RequestKind kind, TimePoint now)
{
    ++(kind == RequestKind::Search ? counters_.searches : counters_.submits);
    counters_.lastRequest = now;
    double factor = slowdownFactor * (cold(now) ? coldFactor : 1.0);
    if (running_ >= limit(now)) {
        ++counters_.overLimit;
        if (cold(now))
            ++counters_.overColdLimit;
        factor *= overLimitFactor;
    }
    ++running_;
    counters_.maxRunning = std::max(counters_.maxRunning, running_);
    return std::chrono::duration_cast<Duration>(settings_.serviceTime.draw(random_) * factor);
}

void Replica::end(bool answered)
{
    if (running_ > 0)
        --running_;
    if (answered && coldAnswers_ > 0)
        --coldAnswers_;
}

void Replica::restart(std::uint64_t coldAnswers, Duration coldTime, TimePoint now)
{
    running_ = 0;
    ++boots_;
    coldAnswers_ = coldAnswers;
    coldUntil_ = now + coldTime;
}

std::string Replica::bootId() const { return settings_.id + "#" + std::to_string(boots_); }

std::uint64_t Replica::selectVersion(const std::vector<std::uint64_t>& served, std::uint64_t wanted)
{
    if (served.empty())
        return 0;
    if (wanted == 0)
        return *std::ranges::max_element(served);
    return std::ranges::find(served, wanted) == served.end() ? 0 : wanted;
}

bool Replica::drawPercent(double percent)
{
    constexpr double all = 100.0;
    return percent > 0 && std::uniform_real_distribution<double>(0.0, all)(random_) < percent;
}

} // namespace banyancroft::tools
