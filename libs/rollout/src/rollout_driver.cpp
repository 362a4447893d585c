#include "rollout/rollout_driver.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace banyancroft::rollout {

namespace {

/** A step is written again after this fraction of the duration, within limits, so that a VM that starts knows
 * the time since the order, and another one notices that the driver has stopped. */
constexpr double rewriteFraction = 0.01;
constexpr Duration minRewriteInterval = std::chrono::milliseconds(500);
constexpr Duration maxRewriteInterval = std::chrono::seconds(2);
/** Additional silence of the driver before the next VM takes over; longer than the usual propagation. */
constexpr Duration takeOverDelay = std::chrono::seconds(1);
/** Time for which a pulse is continued without a message of its end. */
constexpr Duration pulseGrace = std::chrono::seconds(1);
/** After a conflict or a lost answer, time for the view of the store to become current. */
constexpr Duration retryDelay = std::chrono::milliseconds(300);
/** Time for which an order that a restored store lacks stays in force; the operator writes it again. */
constexpr Duration restoreGrace = std::chrono::seconds(2);
/** Versions of replaced orders that are remembered. */
constexpr std::size_t maxExcluded = 8;
/** Shares that differ by less count as the same step. */
constexpr double minShareChange = 0.01;

} // namespace

RolloutDriver::RolloutDriver(const RolloutLimits& limits)
    : limits_(limits)
{
}

void RolloutDriver::setOrder(std::optional<Order> order, TimePoint now)
{
    if (adoptRestored(order, now))
        return;
    if (order && order_ && order->revision == order_->revision)
        return;
    finalBeforeRestore_.reset();
    if (order) {
        const auto exclude = [&](const std::string& version) {
            if (!version.empty() && version != order->target && excluded_.size() < maxExcluded
                && std::find(excluded_.begin(), excluded_.end(), version) == excluded_.end())
                excluded_.push_back(version);
        };
        // The previous target was not completed, so its replicas are no replacement for the old ones.
        if (order_ && state() != State::Completed)
            exclude(order_->target);
        if (status_ && status_->state != State::Completed)
            exclude(status_->target);
        std::erase(excluded_, order->target);
        orderSeenAt_ = now;
        reason_.clear();
    }
    order_ = std::move(order);
    changeSeenAt_ = now;
    nextWriteAt_ = now;
    fullSince_.reset();
    updateFullSince(now);
}

void RolloutDriver::storeRestored(TimePoint now)
{
    if (order_) {
        finalBeforeRestore_ = finalState();
        orderSeenAt_ = now - elapsed(now);
        restoredAt_ = now;
    }
    excluded_ = excludedVersions();
    status_.reset();
    step_.reset();
    fullSince_.reset();
    isPendingObsolete_ = pending_.has_value();
    changeSeenAt_ = now;
}

bool RolloutDriver::adoptRestored(const std::optional<Order>& order, TimePoint now)
{
    if (!restoredAt_)
        return false;
    if (!order && now - *restoredAt_ < restoreGrace)
        return true;
    const bool isSame
        = order && order_ && order->target == order_->target && order->duration == order_->duration;
    restoredAt_.reset();
    if (!isSame) {
        // The revision may have been reissued.
        order_->revision = 0;
        return false;
    }
    order_ = order;
    updateFullSince(now);
    return true;
}

void RolloutDriver::updateFullSince(TimePoint now)
{
    if (!isStepCurrent() || step_->phase != Phase::Full)
        return fullSince_.reset();
    if (!fullSince_)
        fullSince_ = now;
}

void RolloutDriver::setStatus(std::optional<Status> status, TimePoint now)
{
    if (status && status_ && status->revision < status_->revision)
        return;
    status_ = std::move(status);
    changeSeenAt_ = now;
    nextWriteAt_ = now;
}

void RolloutDriver::setStep(std::optional<Step> step, TimePoint now)
{
    if (step && step_ && step->revision <= step_->revision)
        return;
    // A pulse that is written again does not start anew.
    const bool isSamePulse = isStepCurrent() && step_->phase == Phase::Pulse && step
        && step->phase == Phase::Pulse && step->orderRevision == step_->orderRevision;
    step_ = std::move(step);
    if (!isSamePulse)
        pulseSeenAt_ = now;
    stepSeenAt_ = now;
    changeSeenAt_ = now;
    nextWriteAt_ = now;
    updateFullSince(now);
}

void RolloutDriver::setBad(std::string reason)
{
    if (isRunning() && reason_.empty())
        reason_ = std::move(reason);
}

bool RolloutDriver::isStatusCurrent() const
{
    if (!status_ || status_->state == State::Unknown)
        return false;
    return !order_ || (status_->target == order_->target && status_->revision > order_->revision);
}

bool RolloutDriver::isStepCurrent() const
{
    return step_ && order_ && step_->orderRevision == order_->revision && step_->target == order_->target;
}

std::optional<State> RolloutDriver::finalState() const
{
    return isFinalStored() ? std::optional(status_->state) : finalBeforeRestore_;
}

bool RolloutDriver::isOpen() const
{
    if (!order_)
        return status_ && status_->state == State::Running;
    return !isFinalStored();
}

bool RolloutDriver::isRunning() const { return order_ && !isFinal(); }

std::optional<State> RolloutDriver::state() const
{
    return isStatusCurrent() ? std::optional(status_->state) : std::nullopt;
}

Duration RolloutDriver::elapsed(TimePoint now) const
{
    const auto sinceOrder = now - orderSeenAt_;
    return isStepCurrent() ? std::max(sinceOrder, step_->elapsed + (now - stepSeenAt_)) : sinceOrder;
}

std::vector<std::string> RolloutDriver::excludedVersions() const
{
    auto versions = excluded_;
    if (step_) {
        const auto target = order_ ? order_->target : std::string();
        for (const auto& version : step_->excluded) {
            if (version != target && std::find(versions.begin(), versions.end(), version) == versions.end())
                versions.push_back(version);
        }
    }
    return versions;
}

std::optional<Division> RolloutDriver::division(TimePoint now) const
{
    if (!order_) {
        // The order was withdrawn; what it had not completed stays rolled back.
        if (!isStatusCurrent() || status_->state == State::Completed)
            return std::nullopt;
        return Division { status_->target, 0, excludedVersions(), true, false };
    }
    Division division { order_->target, 0, excludedVersions(), !reason_.empty(), false };
    if (const auto state = finalState()) {
        division.isRolledBack = *state == State::RolledBack;
        division.share = division.isRolledBack ? 0 : 1;
    } else if (isStepCurrent() && reason_.empty()) {
        division.isOverdue = elapsed(now) > order_->duration + limits_.propagation;
        // A VM that does not learn of the end of a pulse ends it by itself.
        const bool isPulseOver = step_->phase == Phase::Pulse
            && now - pulseSeenAt_ > schedule().pulseLength(step_->share) + pulseGrace;
        division.share = isPulseOver ? schedule().canaryShare() : step_->share;
    }
    return division;
}

Write RolloutDriver::writeStatus(State state, const std::string& target, std::string reason) const
{
    return { Status { state, target, 0 }, status_ ? status_->revision : 0, std::move(reason) };
}

Duration RolloutDriver::rewriteInterval() const
{
    return order_ ? std::clamp<Duration>(
               scaled(order_->duration, rewriteFraction), minRewriteInterval, maxRewriteInterval)
                  : minRewriteInterval;
}

bool RolloutDriver::mayDrive(const DriverInputs& inputs, TimePoint now) const
{
    if (!inputs.rank || !inputs.isViewCurrent)
        return false;
    return *inputs.rank == 0 || now - changeSeenAt_ > rewriteInterval() + takeOverDelay * *inputs.rank;
}

std::optional<Write> RolloutDriver::nextWrite(const DriverInputs& inputs, TimePoint now)
{
    // The order did not come back after a restoration of the store.
    if (restoredAt_ && now - *restoredAt_ >= restoreGrace)
        setOrder(std::nullopt, now);
    // Until then its revision is that of the earlier store.
    if (pending_ || now < nextWriteAt_ || restoredAt_)
        return std::nullopt;
    pending_ = decide(inputs, now);
    return pending_;
}

std::optional<Write> RolloutDriver::decide(const DriverInputs& inputs, TimePoint now) const
{
    if (!order_) {
        const bool wasRunning = status_ && status_->state == State::Running;
        return wasRunning && mayDrive(inputs, now)
            ? std::optional(writeStatus(State::RolledBack, status_->target, "order withdrawn"))
            : std::nullopt;
    }
    if (isFinalStored())
        return std::nullopt;
    if (finalBeforeRestore_)
        return mayDrive(inputs, now)
            ? std::optional(writeStatus(*finalBeforeRestore_, order_->target, reason_))
            : std::nullopt;
    if (!reason_.empty())
        return writeStatus(State::RolledBack, order_->target, reason_);
    return mayDrive(inputs, now) ? decideRunning(inputs, now) : std::nullopt;
}

std::optional<Write> RolloutDriver::decideRunning(const DriverInputs& inputs, TimePoint now) const
{
    // The step comes first: it names the versions of earlier orders, which the status of this one replaces.
    if (!isStepCurrent())
        return writeStep(inputs, now);
    if (!isStatusCurrent())
        return writeStatus(State::Running, order_->target, {});
    if (fullSince_ && inputs.targetReplicas > 0) {
        if (now - *fullSince_ >= limits_.propagation)
            return writeStatus(State::Completed, order_->target, {});
    } else if (elapsed(now) >= order_->duration) {
        return writeStatus(State::RolledBack, order_->target,
            inputs.targetReplicas == 0 ? "no replica of the version at the deadline"
                                       : "full share not reached at the deadline");
    }
    return writeStep(inputs, now);
}

std::optional<Write> RolloutDriver::writeStep(const DriverInputs& inputs, TimePoint now) const
{
    const auto plan = schedule();
    const auto all = inputs.targetReplicas + inputs.otherReplicas;
    const auto evenShare = all > 0 && !inputs.isExposureHigh
        ? static_cast<double>(inputs.targetReplicas) / static_cast<double>(all)
        : 0;
    const auto passed = elapsed(now);
    auto scheduled = plan.at(passed, evenShare);
    // Without a replica of the target version there is nothing to complete.
    if (inputs.targetReplicas == 0)
        scheduled = { plan.canaryShare(), Phase::Canary };
    if (isStepCurrent()) {
        const bool isSame
            = step_->phase == scheduled.phase && std::abs(step_->share - scheduled.share) < minShareChange;
        if (isSame && passed - step_->elapsed < rewriteInterval())
            return std::nullopt;
    }
    Step step { scheduled.share, scheduled.phase, passed, order_->target, order_->revision,
        excludedVersions(), 0 };
    return Write { std::move(step), step_ ? step_->revision : 0, {} };
}

void RolloutDriver::writeEnded(WriteEnd end, std::uint64_t revision, TimePoint now)
{
    if (!pending_)
        return;
    auto write = std::exchange(pending_, std::nullopt);
    if (std::exchange(isPendingObsolete_, false) || end != WriteEnd::Written) {
        nextWriteAt_ = now + retryDelay;
        return;
    }
    if (auto* status = std::get_if<Status>(&write->value)) {
        status->revision = revision;
        setStatus(std::move(*status), now);
        // The order may have been replaced while the write was in progress.
        if (isStatusCurrent())
            reason_ = write->reason;
    } else if (auto* step = std::get_if<Step>(&write->value)) {
        step->revision = revision;
        setStep(std::move(*step), now);
    }
}

} // namespace banyancroft::rollout
