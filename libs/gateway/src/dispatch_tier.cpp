#include "dispatch_tier.h"

#include "request_runner.h"
#include "sync_sources.h"
#include "telemetry/log.h"

#include <algorithm>

namespace banyancroft::gateway {

namespace {

using telemetry::log;
using telemetry::LogLevel;

/** Utilization above which a dispatcher declines offers. */
constexpr double overloadedUtilization = 0.85;

} // namespace

DispatchTier::DispatchTier(
    TrafficManager& traffic, MemberTracker& members, Registration& registration, Hooks hooks)
    : traffic_(traffic)
    , members_(members)
    , registration_(registration)
    , hooks_(std::move(hooks))
    , role_({ traffic.settings().minDispatchersPerZone,
                scaled(traffic.settings().maxPropagationDelay, visibilityFraction) },
          traffic.uniformRandom())
    , dispatchers_(traffic.ioContext(), traffic.memory(),
          [&traffic](const handover::UpstreamLeaving& leaving) {
              traffic.registry().applyLeaving(
                  leaving.upstream, leaving.startedAtUnixMillis, BootClock::now());
          })
    , server_(traffic, serverHooks())
    , creditGate_(traffic, members,
          { [this] { return isDispatching(); }, [this] { return hooks_.isStopping(); },
              [this] { return registration_.lapses(); }, [this] { return hooks_.viewCurrentAt(); } })
    , context_ { traffic, dispatchers_,
        [this](const VmId& dispatcher) { hooks_.fetchConfiguration(dispatcher); } }
{
    traffic_.setCreditGate(&creditGate_);
    traffic_.onUpstreamLeaving(
        [this](const upstreams::UpstreamRecord& upstream) { server_.announceLeaving(upstream); });
}

HandoverServer::Hooks DispatchTier::serverHooks()
{
    HandoverServer::Hooks hooks;
    hooks.whyDeclined = [this]() -> std::optional<handover::DeclineReason> {
        if (hooks_.isStopping())
            return handover::DeclineReason::Stopping;
        if (!isDispatching() || !hooks_.hasListing())
            return handover::DeclineReason::NotDispatching;
        if (server_.utilization() > overloadedUtilization)
            return handover::DeclineReason::Overloaded;
        return std::nullopt;
    };
    hooks.configurationOutdated = [this] { hooks_.fetchConfiguration(std::nullopt); };
    hooks.creditRequested = [this](const handover::CreditRequest& request) {
        return creditGate_.answer(request, BootClock::now());
    };
    hooks.creditReturned = [this](const CustomerId& customer) { creditGate_.handleReturn(customer); };
    return hooks;
}

bool DispatchTier::start(Error& reason)
{
    members_.setDispatching(isDispatching());
    if (handsOver())
        return server_.listen(traffic_.settings().handover, reason);
    registration_.start();
    return true;
}

void DispatchTier::tick(TimePoint now)
{
    update(now);
    creditGate_.tick(now);
    if (!handsOver())
        return;
    dispatchers_.tick(now);
    server_.tick(now);
}

handover::RoleInputs DispatchTier::roleInputs() const
{
    const auto& settings = traffic_.settings();
    const auto others = members_.otherDispatchers(settings.zone);
    handover::RoleInputs inputs;
    inputs.processors = settings.processors;
    inputs.others = others.size();
    inputs.comparable = static_cast<std::size_t>(std::count_if(others.begin(), others.end(),
        [&](const Dispatcher& other) { return other.processors > settings.processors / 2; }));
    inputs.ahead = members_.dispatchersAhead(settings.zone, settings.processors);
    inputs.utilization = role_.isDispatcher() ? server_.utilization() : dispatchers_.utilization();
    inputs.wasDispatcher = members_.isRegistered(settings.vm);
    return inputs;
}

void DispatchTier::updateRole(TimePoint now)
{
    const bool before = role_.isDispatcher();
    const auto inputs = roleInputs();
    if (role_.update(inputs, now) == before)
        return;
    log(LogLevel::Info, "handover", before ? "no longer a dispatcher" : "now a dispatcher",
        { { "others", std::to_string(inputs.others) }, { "comparable", std::to_string(inputs.comparable) },
            { "ahead", std::to_string(inputs.ahead) }, { "utilization", std::to_string(inputs.utilization) },
            { "was_dispatcher", inputs.wasDispatcher ? "yes" : "no" } });
    members_.setDispatching(!before);
    before ? registration_.stop() : registration_.start();
}

void DispatchTier::update(TimePoint now)
{
    if (handsOver()) {
        if (hooks_.hasListing() && !hooks_.isStopping())
            updateRole(now);
        dispatchers_.setDispatchers(isDispatching() ? std::vector<Dispatcher> {}
                                                    : members_.otherDispatchers(traffic_.settings().zone),
            now);
    }
    auto vms = members_.liveVms(now);
    if (vms == traffic_.dispatchers())
        return;
    log(LogLevel::Info, "membership", "number of live dispatchers changed",
        { { "before", std::to_string(traffic_.dispatchers().size()) },
            { "now", std::to_string(vms.size()) } });
    traffic_.setDispatchers(std::move(vms));
}

void DispatchTier::serve(const IncomingRequest& request, TimePoint now)
{
    traffic_.metrics().requests.add();
    if (!isDispatching() && dispatchers_.hasUsable())
        return HandoverRunner::run(context_, request, now);
    RequestRunner::run(traffic_, request, now);
}

} // namespace banyancroft::gateway
