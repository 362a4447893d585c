#include "control_plane.h"

#include <nlohmann/json.hpp>

#include <algorithm>

// Operators' commands that need the state of the control plane.

namespace banyancroft::daemon {

namespace {

using Json = nlohmann::ordered_json;

CommandResult failure(ErrorKind kind, std::string message, std::string remedy)
{
    return { { kind, std::move(message), std::move(remedy) }, false, {} };
}

CommandResult success(const Json& json)
{
    return { {}, false, json.dump(-1, ' ', false, Json::error_handler_t::replace) };
}

std::string_view shareName(Share share)
{
    switch (share) {
    case Share::None:
        return "none";
    case Share::UncertainHalf:
        return "uncertain_half";
    case Share::TakeoverRest:
        return "takeover_rest";
    case Share::Full:
        return "full";
    }
    return "none";
}

Json memberJson(const membership::Member& member)
{
    return { { "vm", member.vm.view() }, { "incarnation", member.incarnation.value },
        { "address", member.address } };
}

bool zoneServes(const config::Document& document, const AvailabilityZone& zone)
{
    return std::any_of(document.zones.begin(), document.zones.end(),
        [&zone](const auto& candidate) { return candidate.id == zone && candidate.serving; });
}

Json coverageOf(const config::Document& document, const config::Collection& collection)
{
    std::size_t shards = 0;
    Json weak = Json::array();
    for (const auto& service : document.services) {
        if (std::find(collection.services.begin(), collection.services.end(), service.id)
            == collection.services.end())
            continue;
        for (const auto& group : service.groups) {
            shards += group.shards.size();
            const auto serving = std::count_if(
                group.upstreams.begin(), group.upstreams.end(), [&document](const auto& upstream) {
                    return !upstream.draining && zoneServes(document, upstream.zone);
                });
            if (static_cast<std::size_t>(serving) < group.upstreams.size())
                weak.push_back({ { "group", group.id.view() }, { "serving", serving },
                    { "upstreams", group.upstreams.size() } });
        }
    }
    return { { "collection", collection.name }, { "shards", shards },
        { "weakened_groups", std::move(weak) } };
}

} // namespace

void ControlPlane::runCommand(
    const query::Statement& statement, const std::function<void(CommandResult)>& callback)
{
    if (const auto edit = query::configEdit(statement))
        return configuration_.edit(*edit, callback);
    if (const auto* releaseZone = std::get_if<query::ReleaseZone>(&statement))
        return callback(release(*releaseZone));
    if (const auto* showStatement = std::get_if<query::Show>(&statement))
        return callback(show(*showStatement));
    if (std::holds_alternative<query::Status>(statement))
        return callback(status());
    callback(failure(ErrorKind::Internal, "the statement is no command", "report this as a fault"));
}

CommandResult ControlPlane::release(const query::ReleaseZone& statement)
{
    if (statement.zone != settings_.zone)
        return failure(ErrorKind::InvalidInput, "this daemon is in zone " + settings_.zone.str(),
            "send the command to a daemon of zone " + statement.zone.str());
    members_.run(members_.membership().release(BootClock::now()));
    return success({ { "zone", statement.zone.view() }, { "released", true } });
}

CommandResult ControlPlane::show(const query::Show& statement) const
{
    if (!document_)
        return failure(ErrorKind::Unavailable, "no configuration is known yet", "load a configuration");
    switch (statement.topic) {
    case query::ShowTopic::Config:
        return { {}, false, configuration_.registry().text() };
    case query::ShowTopic::Coverage: {
        Json collections = Json::array();
        for (const auto& collection : document_->collections)
            collections.push_back(coverageOf(*document_, collection));
        return success(
            { { "version", document_->version.value }, { "collections", std::move(collections) } });
    }
    case query::ShowTopic::Views:
        break;
    }
    Json views = Json::array();
    for (const auto* view : members_.views().all()) {
        Json members = Json::array();
        for (const auto& member : view->members)
            members.push_back(memberJson(member));
        Json departing = Json::array();
        for (const auto& member : view->departing)
            departing.push_back(memberJson(member));
        views.push_back({ { "zone", view->zone.view() }, { "view", view->number.value },
            { "members", std::move(members) }, { "departing", std::move(departing) } });
    }
    return success({ { "views", std::move(views) } });
}

CommandResult ControlPlane::status() const
{
    const TimePoint now = BootClock::now();
    const auto& membership = members_.membership();
    Json shares = Json::object();
    for (Share share : { Share::None, Share::UncertainHalf, Share::TakeoverRest, Share::Full })
        shares[std::string(shareName(share))] = 0;
    if (document_) {
        for (const auto& service : document_->services) {
            for (const auto& group : service.groups) {
                for (const auto& upstream : group.upstreams) {
                    if (upstream.zone != settings_.zone)
                        continue;
                    auto& count = shares[std::string(shareName(membership.authority(upstream.id).share))];
                    count = count.get<std::uint64_t>() + 1;
                }
            }
        }
    }
    Json views = Json::array();
    for (const auto* view : members_.views().all())
        views.push_back({ { "zone", view->zone.view() }, { "view", view->number.value },
            { "members", view->members.size() } });
    return success({ { "vm", settings_.vm.view() }, { "zone", settings_.zone.view() },
        { "version", BANYANCROFT_VERSION }, { "config_version", document_ ? document_->version.value : 0 },
        { "store_behind", configuration_.registry().storeBehind() },
        { "divergent_documents", configuration_.registry().divergences() }, { "serving", serving() },
        { "active", membership.active() }, { "watcher", membership.watcher() },
        { "lease_valid", membership.leaseValid(now) }, { "store_failing", membership.storeFailing(now) },
        { "upstreams_by_share", std::move(shares) }, { "views", std::move(views) } });
}

} // namespace banyancroft::daemon
