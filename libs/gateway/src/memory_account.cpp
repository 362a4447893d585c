#include "memory_account.h"

#include <algorithm>

namespace banyancroft::gateway {

namespace {

/** The end of a smaller holder would free too little. */
constexpr std::size_t minEndedBytes = 4 * 1024;

double perSecond(std::size_t bytes, Duration time)
{
    return static_cast<double>(bytes) / std::chrono::duration<double>(time).count();
}

} // namespace

std::string_view toString(MemoryUse use)
{
    switch (use) {
    case MemoryUse::Caller:
        return "caller";
    case MemoryUse::UpstreamResponse:
        return "upstream response";
    case MemoryUse::Parts:
        return "parts";
    case MemoryUse::Frames:
        return "frames";
    }
    return "unknown";
}

void MemoryAccount::restartRates(TimePoint now)
{
    for (auto* holder : dependent_)
        holder->waitForPeer(now);
    rates_.clear();
    givenBack_ = 0;
    windowStartedAt_ = now;
}

void MemoryAccount::measure(TimePoint now)
{
    const auto time = now - windowStartedAt_;
    if (windowStartedAt_ != TimePoint {} && time < rateWindow)
        return;
    if (windowStartedAt_ != TimePoint {}) {
        rates_.push_back(perSecond(givenBack_, time));
        if (rates_.size() > measuredWindows)
            rates_.pop_front();
    }
    windowStartedAt_ = now;
    givenBack_ = 0;
}

std::optional<Duration> MemoryAccount::expectedWait(std::size_t bytes) const
{
    if (total_ + bytes <= limits_.bytes)
        return Duration::zero();
    if (rates_.size() < measuredWindows)
        return std::nullopt;
    constexpr Duration measuredTime = rateWindow * measuredWindows;
    const auto missing = static_cast<double>(total_ + bytes - limits_.bytes);
    const auto rate = *std::max_element(rates_.begin(), rates_.end());
    // Beyond the measured time, nothing is known.
    if (rate * std::chrono::duration<double>(measuredTime).count() <= missing)
        return measuredTime;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / rate));
}

bool MemoryAccount::makeRoom(
    std::size_t bytes, std::size_t limit, const MemoryHolder& requester, TimePoint now)
{
    while (total_ + bytes > limit) {
        MemoryHolder* slowest = nullptr;
        double slowestRate = ordinaryRate;
        for (auto* holder : dependent_) {
            const auto rate = holder->rate(now);
            if (holder == &requester || holder->held_ < minEndedBytes || !rate)
                continue;
            const bool isSlower
                = *rate < slowestRate || (slowest && *rate == slowestRate && holder->held_ > slowest->held_);
            if (!isSlower)
                continue;
            slowest = holder;
            slowestRate = *rate;
        }
        if (!slowest)
            return false;
        const EndedHolder ended { slowest->use_, slowest->held_, slowestRate };
        // A holder that does not give its memory back must not be selected again.
        dependent_.erase(slowest);
        slowest->end_();
        if (ended_)
            ended_(ended);
    }
    return true;
}

MemoryHolder::MemoryHolder(MemoryAccount* account, MemoryUse use, std::function<void()> end)
    : account_(account)
    , use_(use)
    , end_(std::move(end))
{
}

MemoryHolder::~MemoryHolder()
{
    hold(0);
    stopWaitingForPeer();
}

bool MemoryHolder::tryHold(std::size_t bytes, TimePoint now)
{
    const auto limits = account_ ? account_->limits_ : MemoryAccount::Limits {};
    return tryHoldWithin(limits.bytes + (bytes <= smallBytes ? limits.smallReserve : 0), bytes, now);
}

bool MemoryHolder::tryHoldRequest(std::size_t bytes, TimePoint now)
{
    if (account_ && bytes > ordinaryRequestBytes)
        return tryHoldWithin(account_->limits_.bytes, bytes, now);
    hold(bytes);
    return true;
}

bool MemoryHolder::tryHoldWithin(std::size_t limit, std::size_t bytes, TimePoint now)
{
    if (account_ && bytes > held_ && !account_->makeRoom(bytes - held_, limit, *this, now))
        return false;
    hold(bytes);
    return true;
}

void MemoryHolder::hold(std::size_t bytes)
{
    if (account_) {
        account_->total_ += bytes - held_;
        account_->givenBack_ += held_ - std::min(bytes, held_);
    }
    held_ = bytes;
}

void MemoryHolder::waitForPeer(TimePoint now)
{
    if (!account_)
        return;
    account_->dependent_.insert(this);
    windowStartedAt_ = now;
    windowBytes_ = 0;
    lastRate_.reset();
}

void MemoryHolder::stopWaitingForPeer()
{
    if (account_)
        account_->dependent_.erase(this);
}

void MemoryHolder::progressed(std::size_t bytes, TimePoint now)
{
    windowBytes_ += bytes;
    if (now - windowStartedAt_ < MemoryAccount::rateWindow)
        return;
    lastRate_ = perSecond(windowBytes_, now - windowStartedAt_);
    windowStartedAt_ = now;
    windowBytes_ = 0;
}

std::optional<double> MemoryHolder::rate(TimePoint now) const
{
    const auto time = now - windowStartedAt_;
    return time < MemoryAccount::rateWindow ? lastRate_ : perSecond(windowBytes_, time);
}

} // namespace banyancroft::gateway
