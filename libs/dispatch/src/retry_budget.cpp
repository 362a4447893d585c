#include "dispatch/retry_budget.h"

#include <algorithm>
#include <utility>

namespace banyancroft::dispatch {

namespace {

constexpr long intervalsPerWindow = 10;
/** Fraction of the ratio that is used; the margin covers requests that reach the replica in another window
 * than the one in which they were sent. */
constexpr double usedRatioFraction = 0.9;
/** Fraction of the slack that is used. A process that has just started does not know what the previous one
 * spent, so two processes together have to stay within the slack. */
constexpr double usedSlackFraction = 0.45;
/** A surge is assumed to bring up to this multiple of the highest rate of the window. */
constexpr double surgeFactor = 10;
/** Least rate of a surge, in requests per second: what all VMs of a deployment together are designed for. */
constexpr double minSurgeRate = 250;

} // namespace

RetryBudget::RetryBudget(const RetryLimit& limit, TimePoint startedAt)
    : limit_(limit)
    , startedAt_(startedAt)
{
}

Duration RetryBudget::intervalLength() const
{
    return std::max<Duration>(limit_.window / intervalsPerWindow, Duration(1));
}

long RetryBudget::intervalNumber(TimePoint now) const { return (now - startedAt_) / intervalLength(); }

void RetryBudget::setLimit(const RetryLimit& limit, TimePoint now)
{
    const auto oldLength = intervalLength();
    limit_ = limit;
    const auto counted = std::exchange(intervals_, {});
    // Interval numbers depend on the window. The end of an interval keeps its counts in the new window for
    // longer.
    for (const auto& interval : counted) {
        const auto end = std::min(startedAt_ + oldLength * (interval.number + 1) - Duration(1), now);
        const auto number = intervalNumber(end);
        if (intervals_.empty() || intervals_.back().number < number)
            intervals_.push_back({ number, 0, 0 });
        intervals_.back().requests += interval.requests;
        intervals_.back().repeats += interval.repeats;
    }
}

RetryBudget::Interval& RetryBudget::currentInterval(TimePoint now)
{
    const auto number = intervalNumber(now);
    // Keeps two intervals more than the window: the current one and the one in which the window begins.
    while (!intervals_.empty() && intervals_.front().number < number - intervalsPerWindow - 1)
        intervals_.pop_front();
    if (intervals_.empty() || intervals_.back().number < number)
        intervals_.push_back({ number, 0, 0 });
    return intervals_.back();
}

void RetryBudget::deposit(TimePoint now) { ++currentInterval(now).requests; }

unsigned RetryBudget::spent(TimePoint now) const
{
    const auto first = intervalNumber(now) - intervalsPerWindow;
    unsigned repeats = 0;
    for (const auto& entry : intervals_)
        repeats += entry.number >= first ? entry.repeats : 0;
    return repeats;
}

double RetryBudget::allowed(TimePoint now, unsigned vms) const
{
    const auto first = intervalNumber(now) - intervalsPerWindow + 1;
    unsigned requests = 0;
    for (const auto& entry : intervals_)
        requests += entry.number >= first ? entry.requests : 0;
    const double slack = vms > 0 ? usedSlackFraction * limit_.slack / vms : 0;
    return usedRatioFraction * limit_.ratio * requests + slack;
}

double RetryBudget::available(TimePoint now, unsigned vms) const
{
    return allowed(now, vms) - static_cast<double>(spent(now));
}

double RetryBudget::surgeRate() const
{
    unsigned most = 0;
    for (const auto& entry : intervals_)
        most = std::max(most, entry.requests);
    const double perSecond = most / std::chrono::duration<double>(intervalLength()).count();
    return std::max(minSurgeRate, surgeFactor * perSecond);
}

TimePoint RetryBudget::earliestRepeat(TimePoint now, unsigned vms) const
{
    const double earnedPerSecond = usedRatioFraction * limit_.ratio * surgeRate();
    // Requests that leave the window reduce the budget; that they stay in it keeps the result a lower bound.
    const double allowedNow = allowed(now, vms);
    const auto current = intervalNumber(now);
    for (long interval = current;; ++interval) {
        const auto begin = std::max(now, startedAt_ + intervalLength() * interval);
        const auto end = startedAt_ + intervalLength() * (interval + 1);
        const auto repeats = spent(begin);
        const double lacking = 1 + static_cast<double>(repeats) - allowedNow;
        if (lacking <= 0)
            return begin;
        // Below this the time would not fit into a Duration.
        constexpr double minEarnedPerSecond = 1e-6;
        if (earnedPerSecond >= minEarnedPerSecond) {
            const auto earnedAt = now + scaled(std::chrono::seconds(1), lacking / earnedPerSecond);
            if (earnedAt < end || repeats == 0)
                return std::max(begin, earnedAt);
        } else if (repeats == 0) {
            return TimePoint::max();
        }
    }
}

bool RetryBudget::tryWithdraw(TimePoint now, unsigned vms, double reserve)
{
    const double total = allowed(now, vms);
    if (total - static_cast<double>(spent(now)) < 1 + reserve * total)
        return false;
    ++currentInterval(now).repeats;
    return true;
}

} // namespace banyancroft::dispatch
