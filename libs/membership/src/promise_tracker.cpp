#include "membership/promise_tracker.h"

#include "membership/lease_tracker.h"

#include <algorithm>

namespace banyancroft::membership {

PromiseTracker::PromiseTracker(Duration length, Duration margin, TimePoint started)
    : length_(length)
    , margin_(margin)
    , startupWaitUntil_(started + plusClockMargin(length + margin))
{
}

void PromiseTracker::give(ViewNumber view, TimePoint now)
{
    const TimePoint until = now + plusClockMargin(length_ + margin_);
    auto same
        = std::find_if(given_.begin(), given_.end(), [&](const Given& given) { return given.view == view; });
    if (same == given_.end()) {
        given_.push_back({ view, until });
    } else {
        same->until = std::max(same->until, until);
    }
}

bool PromiseTracker::mayAcknowledge(ViewNumber view, TimePoint now) const
{
    if (now < startupWaitUntil_)
        return false;
    return std::none_of(given_.begin(), given_.end(),
        [&](const Given& given) { return given.view < view && now < given.until; });
}

std::uint64_t PromiseTracker::ask(TimePoint now)
{
    outstanding_.emplace(++lastRequest_, now);
    return lastRequest_;
}

void PromiseTracker::receive(const VmId& from, ViewNumber view, std::uint64_t number, Duration duration)
{
    auto asked = outstanding_.find(number);
    if (asked == outstanding_.end())
        return;
    const TimePoint until = asked->second + lessClockMargin(std::min(duration, length_));
    outstanding_.erase(asked);
    Received& held = received_[from];
    if (until > held.until)
        held = { view, until };
}

TimePoint PromiseTracker::heldUntil(std::span<const VmId> vms, ViewNumber view) const
{
    TimePoint until = TimePoint::max();
    for (const VmId& vm : vms) {
        auto held = received_.find(vm);
        if (held == received_.end() || held->second.view > view)
            return {};
        until = std::min(until, held->second.until);
    }
    return until;
}

void PromiseTracker::expire(TimePoint now)
{
    std::erase_if(given_, [&](const Given& given) { return given.until <= now; });
    std::erase_if(outstanding_, [&](const auto& asked) { return asked.second + length_ <= now; });
    std::erase_if(received_, [&](const auto& held) { return held.second.until <= now; });
}

} // namespace banyancroft::membership
