#include "handover/dispatch_role.h"

#include <algorithm>
#include <utility>

namespace banyancroft::handover {

namespace {

/** Utilization above which the tier grows. Requests arrive in bursts, and a dispatcher may be lost. */
constexpr double highUtilization = 0.5;
/** The tier shrinks only if the remaining dispatchers stay below this utilization. */
constexpr double lowUtilization = 0.3;
/** VMs with this many cores or more volunteer first. */
constexpr double referenceProcessors = 0.5;
/** Bounds the additional wait of small VMs, in visibility delays. */
constexpr double maxSizeDelays = 2;
/** Random part of the wait in visibility delays, for each visibility delay that the VM waits for larger ones.
 */
constexpr double spreadPerSizeDelay = 2;
/** Factor of the wait while the zone has other dispatchers. */
constexpr double patienceWithOthers = 2.5;
/** Wait before leaving the tier, in visibility delays; longer, so that a restarted VM finds its place taken
 * rarely. */
constexpr double leaveDelays = 3;
/** A fleet of up to this many VMs dispatches everywhere: a hop would cost more than shared knowledge gains.
 */
constexpr std::size_t smallFleet = 8;

} // namespace

bool DispatchRole::wantsToChange(const RoleInputs& inputs) const
{
    if (!dispatcher_)
        return inputs.comparable < rules_.minDispatchers || inputs.utilization > highUtilization;
    const auto members = static_cast<double>(inputs.others + 1);
    const double utilizationWithout = inputs.utilization * members / std::max(members - 1, 1.0);
    return inputs.ahead >= rules_.minDispatchers && utilizationWithout < lowUtilization;
}

Duration DispatchRole::delay(const RoleInputs& inputs) const
{
    if (dispatcher_)
        return scaled(rules_.visibilityDelay, leaveDelays * (1 + draw_));
    const double sizeDelays
        = std::clamp(referenceProcessors / std::max(inputs.processors, 0.01) - 1, 0.0, 2 * maxSizeDelays) / 2;
    // With other dispatchers left, a VM that stops as planned has time to return before a smaller one takes
    // its place.
    const double patience = inputs.others > 0 ? patienceWithOthers : 1;
    return scaled(rules_.visibilityDelay, patience * sizeDelays * (1 + spreadPerSizeDelay * draw_));
}

bool DispatchRole::update(const RoleInputs& inputs, TimePoint now)
{
    // After a restart the other VMs still count on this one.
    if (!std::exchange(updated_, true))
        dispatcher_ = inputs.wasDispatcher;
    if (!wantsToChange(inputs)) {
        waiting_ = false;
        return dispatcher_;
    }
    if (!waiting_) {
        waiting_ = true;
        waitingSince_ = now;
    }
    if (now - waitingSince_ >= delay(inputs)) {
        dispatcher_ = !dispatcher_;
        waiting_ = false;
    }
    return dispatcher_;
}

std::size_t minDispatchersPerZone(std::size_t toleratedVmLosses, std::size_t zones)
{
    const auto zoneCount = std::max<std::size_t>(zones, 1);
    return std::max({ std::size_t { 2 }, toleratedVmLosses + 1, (smallFleet + zoneCount - 1) / zoneCount });
}

} // namespace banyancroft::handover
