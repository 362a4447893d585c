#include "dispatch/retry_budget.h"

#include <algorithm>

namespace banyancroft::dispatch {

namespace {

constexpr long stepsPerWindow = 10;
/** Part of the ratio that is used; the rest covers requests that arrive in another window than they left. */
constexpr double usedRatio = 0.9;
/** Part of the slack that is used. A process that has just started does not know what the one before it
 * spent, so both together stay within the whole. */
constexpr double usedSlack = 0.45;

} // namespace

RetryBudget::RetryBudget(const RetryLimit& limit, TimePoint startedAt)
    : limit_(limit)
    , startedAt_(startedAt)
{
}

long RetryBudget::stepNumber(TimePoint now) const
{
    return (now - startedAt_) / std::max<Duration>(limit_.window / stepsPerWindow, Duration(1));
}

RetryBudget::Step& RetryBudget::step(TimePoint now)
{
    const auto number = stepNumber(now);
    // Two steps more than the window: the step in progress and the one that the window cuts in half.
    while (!steps_.empty() && steps_.front().number < number - stepsPerWindow - 1)
        steps_.pop_front();
    if (steps_.empty() || steps_.back().number < number)
        steps_.push_back({ number, 0, 0 });
    return steps_.back();
}

void RetryBudget::deposit(TimePoint now) { ++step(now).requests; }

unsigned RetryBudget::spent(TimePoint now) const
{
    const auto first = stepNumber(now) - stepsPerWindow;
    unsigned repeats = 0;
    for (const auto& entry : steps_)
        repeats += entry.number >= first ? entry.repeats : 0;
    return repeats;
}

double RetryBudget::allowed(TimePoint now, unsigned vms) const
{
    const auto first = stepNumber(now) - stepsPerWindow + 1;
    unsigned requests = 0;
    for (const auto& entry : steps_)
        requests += entry.number >= first ? entry.requests : 0;
    return usedRatio * limit_.ratio * requests + usedSlack * limit_.slack / std::max(1U, vms);
}

double RetryBudget::available(TimePoint now, unsigned vms) const
{
    return allowed(now, vms) - static_cast<double>(spent(now));
}

bool RetryBudget::tryWithdraw(TimePoint now, unsigned vms, double reserve)
{
    const double total = allowed(now, vms);
    if (total - static_cast<double>(spent(now)) < 1 + reserve * total)
        return false;
    ++step(now).repeats;
    return true;
}

} // namespace banyancroft::dispatch
