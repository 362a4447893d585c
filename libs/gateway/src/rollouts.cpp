#include "rollouts.h"

#include "base/rendezvous.h"
#include "telemetry/log.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace banyancroft::gateway {

namespace {

using telemetry::log;
using telemetry::LogLevel;

/** Uniform in [0, 1) and the same for the same request and service. */
double uniformOf(std::string_view requestId, const ServiceId& service)
{
    const auto hash = rendezvousWeight(VmId(std::string(requestId)), service.view());
    return std::ldexp(static_cast<double>(hash >> 11U), -53);
}

std::string_view nameOf(rollout::State state)
{
    switch (state) {
    case rollout::State::Running:
        return "running";
    case rollout::State::Completed:
        return "completed";
    case rollout::State::RolledBack:
        return "rolled back";
    case rollout::State::Unknown:
        break;
    }
    return "unknown";
}

} // namespace

void RolloutListing::add(const StoreItem& item)
{
    if (const auto* order = std::get_if<RolloutOrder>(&item); order && order->order)
        orders[order->service] = *order->order;
    if (const auto* status = std::get_if<RolloutStatus>(&item); status && status->status)
        statuses[status->service] = *status->status;
    if (const auto* step = std::get_if<RolloutStep>(&item); step && step->step)
        steps[step->service] = *step->step;
}

void Rollouts::apply(const StoreItem& item, TimePoint now)
{
    if (const auto* order = std::get_if<RolloutOrder>(&item))
        apply(*order, now);
    if (const auto* status = std::get_if<RolloutStatus>(&item))
        apply(*status, now);
    if (const auto* step = std::get_if<RolloutStep>(&item))
        apply(*step, now);
}

void Rollouts::applyListing(RolloutListing listing, TimePoint now)
{
    std::set<ServiceId> known;
    for (const auto& [id, rollout] : services_)
        known.insert(id);
    const auto addKeys = [&known](const auto& values) {
        for (const auto& [id, value] : values)
            known.insert(id);
    };
    addKeys(listing.orders);
    addKeys(listing.statuses);
    addKeys(listing.steps);
    const auto valueOf = [](auto& values, const ServiceId& id) {
        const auto found = values.find(id);
        return found == values.end() ? std::nullopt : std::optional(std::move(found->second));
    };
    for (const auto& id : known) {
        // The order comes last, since it is judged by the status and the step of the previous one.
        apply(RolloutStep { id, valueOf(listing.steps, id) }, now);
        apply(RolloutStatus { id, valueOf(listing.statuses, id) }, now);
        apply(RolloutOrder { id, valueOf(listing.orders, id) }, now);
    }
}

ServiceRollout& Rollouts::service(const ServiceId& id)
{
    return services_.try_emplace(id, limits_).first->second;
}

void Rollouts::apply(const RolloutOrder& change, TimePoint now)
{
    if (!change.order && !services_.contains(change.service))
        return;
    auto& rollout = service(change.service);
    const auto before = rollout.driver.order();
    rollout.driver.setOrder(change.order, now);
    const auto& order = rollout.driver.order();
    if (before.has_value() == order.has_value() && (!order || before->revision == order->revision))
        return;
    log(LogLevel::Info, "rollout",
        !order       ? "order withdrawn"
            : before ? "order replaced"
                     : "order accepted",
        { { "service", change.service.str() }, { "target", order ? order->target : before->target },
            { "duration_ms", std::to_string(toMillis((order ? order : before)->duration)) },
            { "revision", std::to_string((order ? order : before)->revision) } });
    rollout.own = order ? std::make_unique<rollout::VersionComparison>() : nullptr;
    rollout.fleet = order
        ? std::make_unique<rollout::VersionComparison>(rollout::VersionComparison::Scope::AllVms)
        : nullptr;
    rollout.merged.clear();
    updateDivision(change.service, rollout, now);
}

void Rollouts::apply(RolloutStatus change, TimePoint now)
{
    if (!change.status && !services_.contains(change.service))
        return;
    auto& rollout = service(change.service);
    const auto before = rollout.driver.state();
    if (change.status && change.status->state == rollout::State::Unknown)
        log(LogLevel::Warn, "rollout", "ignoring status that cannot be read",
            { { "service", change.service.str() }, { "revision", std::to_string(change.status->revision) } });
    rollout.driver.setStatus(std::move(change.status), now);
    const auto after = rollout.driver.state();
    if (after && after != before)
        log(LogLevel::Info, "rollout", "status changed",
            { { "service", change.service.str() }, { "state", std::string(nameOf(*after)) } });
    updateDivision(change.service, rollout, now);
}

void Rollouts::apply(RolloutStep change, TimePoint now)
{
    if (!change.step && !services_.contains(change.service))
        return;
    auto& rollout = service(change.service);
    rollout.driver.setStep(std::move(change.step), now);
    updateDivision(change.service, rollout, now);
}

void Rollouts::storeRestored(TimePoint now)
{
    for (auto& [id, rollout] : services_)
        rollout.driver.storeRestored(now);
}

void Rollouts::updateDivision(const ServiceId& id, ServiceRollout& rollout, TimePoint now)
{
    auto division = rollout.driver.division(now);
    if (division == rollout.division)
        return;
    rollout.division = std::move(division);
    log(LogLevel::Info, "rollout", "share of the target version changed",
        { { "service", id.str() }, { "target", rollout.division ? rollout.division->target : "none" },
            { "share", rollout.division ? std::to_string(rollout.division->share) : "unrestricted" },
            { "elapsed_ms",
                rollout.driver.isRunning() ? std::to_string(toMillis(rollout.driver.elapsed(now))) : "0" },
            { "reason", rollout.driver.reason() } });
}

void Rollouts::update(TimePoint now)
{
    std::erase_if(services_,
        [](const auto& entry) { return entry.second.driver.isEmpty() && !entry.second.driver.isWriting(); });
    for (auto& [id, rollout] : services_) {
        if (!rollout.driver.isOpen())
            continue;
        if (rollout.own && rollout.own->isTargetBad())
            rollout.driver.setBad(rollout.own->reason());
        if (rollout.fleet && rollout.fleet->isTargetBad())
            rollout.driver.setBad(rollout.fleet->reason());
        updateDivision(id, rollout, now);
    }
}

const rollout::Division* Rollouts::division(const ServiceId& service) const
{
    if (services_.empty())
        return nullptr;
    const auto found = services_.find(service);
    return found == services_.end() || !found->second.division ? nullptr : &*found->second.division;
}

VersionCandidates Rollouts::candidates(const rollout::Division& division, const ServiceId& service,
    std::span<const upstreams::UpstreamPointer> replicas, std::string_view requestId, bool isRepeat)
{
    std::vector<upstreams::UpstreamPointer> target;
    std::vector<upstreams::UpstreamPointer> others;
    for (const auto& replica : replicas) {
        const auto& version = replica->record.version;
        if (version == division.target) {
            target.push_back(replica);
        } else if (std::find(division.excluded.begin(), division.excluded.end(), version)
            == division.excluded.end()) {
            others.push_back(replica);
        }
    }
    if (division.isRolledBack)
        return { std::move(others), {}, false };
    // A service whose replicas all have the target version has nothing to divide.
    if (division.share >= 1 || others.empty())
        return { std::move(target), std::move(others), false };
    const bool toTarget = !isRepeat && uniformOf(requestId, service) < division.share;
    if (toTarget)
        return { std::move(target), std::move(others), true };
    if (!division.isOverdue)
        target.clear();
    return { std::move(others), std::move(target), false };
}

void Rollouts::record(const upstreams::Upstream& upstream, std::string_view route, bool failed,
    bool hasLatency, TimePoint sentAt, TimePoint now)
{
    const auto found = services_.find(upstream.record.service);
    if (found == services_.end() || !found->second.own || !found->second.driver.isRunning())
        return;
    const auto& target = found->second.driver.order()->target;
    rollout::Sample sample;
    sample.route = route;
    sample.zone = upstream.record.zone.view();
    sample.replica = upstream.number;
    sample.isTarget = upstream.record.version == target;
    sample.failed = failed;
    sample.hasLatency = hasLatency;
    sample.sentAt = sentAt;
    found->second.own->record(sample, now);
}

} // namespace banyancroft::gateway
