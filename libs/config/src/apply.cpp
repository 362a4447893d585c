#include "config/apply.h"

#include "config/document_json.h"
#include "config/validation.h"

#include <algorithm>
#include <limits>
#include <map>
#include <set>

namespace banyancroft::config {

namespace {

using Layout = std::map<ServiceId, std::map<GroupId, std::set<ShardId>>>;

Layout layoutOf(const Document& document)
{
    Layout layout;
    for (const Service& service : document.services) {
        auto& groups = layout[service.id];
        for (const ShardGroup& group : service.groups)
            groups[group.id].insert(group.shards.begin(), group.shards.end());
    }
    return layout;
}

Zone* findZone(Document& document, const AvailabilityZone& id)
{
    auto found = std::find_if(document.zones.begin(), document.zones.end(),
        [&](const Zone& candidate) { return candidate.id == id; });
    return found == document.zones.end() ? nullptr : &*found;
}

Service* findService(Document& document, const ServiceId& id)
{
    auto found = std::find_if(document.services.begin(), document.services.end(),
        [&](const Service& candidate) { return candidate.id == id; });
    return found == document.services.end() ? nullptr : &*found;
}

bool isServing(const Document& document, const Upstream& upstream)
{
    return !upstream.draining
        && std::any_of(document.zones.begin(), document.zones.end(),
            [&](const Zone& zone) { return zone.id == upstream.zone && zone.serving; });
}

// Applies one edit to a document in place. The checks that `force` skips are in ServiceProtection.
class EditApplier {
public:
    EditApplier(Document& document, Error& reason)
        : document_(document)
        , reason_(reason)
    {
    }

    bool operator()(const TakeOutZone& edit) { return setServing(edit.zone, false); }
    bool operator()(const ReturnZone& edit) { return setServing(edit.zone, true); }
    bool operator()(const DrainUpstream& edit) { return setDraining(edit.upstream, true); }
    bool operator()(const UndrainUpstream& edit) { return setDraining(edit.upstream, false); }

    bool operator()(const SetService& edit)
    {
        Service* service = findService(document_, edit.service);
        if (service == nullptr)
            return failNotFound("service", edit.service.view());
        switch (edit.setting) {
        case ServiceSetting::Slots:
            return assign(service->slots, edit.value);
        case ServiceSetting::Connections:
            return assign(service->connections, edit.value);
        case ServiceSetting::ColdLimit:
            return assign(service->coldLimit, edit.value);
        case ServiceSetting::ConnectTime:
            return assign(service->connectTime, edit.value);
        }
        return failWrongType();
    }

    bool operator()(const SetPolicy& edit)
    {
        Policy& policy = document_.policy;
        switch (edit.setting) {
        case PolicySetting::DefaultDeadline:
            return assign(policy.defaultDeadline, edit.value);
        case PolicySetting::MaxDeadline:
            return assign(policy.maxDeadline, edit.value);
        case PolicySetting::AnswerReserve:
            return assign(policy.answerReserve, edit.value);
        case PolicySetting::Hedge:
            return assign(policy.hedge, edit.value);
        case PolicySetting::HedgeQuantile:
            return assign(policy.hedgeQuantile, edit.value);
        case PolicySetting::HedgeBudgetPercent:
            return assign(policy.hedgeBudgetPercent, edit.value);
        case PolicySetting::RetryBudgetPercent:
            return assign(policy.retryBudgetPercent, edit.value);
        case PolicySetting::QueueLimit:
            return assign(policy.queueLimit, edit.value);
        case PolicySetting::WarmupAnswersPerStep:
            return assign(policy.warmupAnswersPerStep, edit.value);
        }
        return failWrongType();
    }

    bool operator()(const LoadConfig& edit)
    {
        auto loaded = parseDocument(edit.document, reason_);
        if (!loaded)
            return false;
        loaded->version = document_.version;
        // The layout version must not decrease, or answers from two layouts could carry the same version.
        loaded->layout = std::max(loaded->layout, document_.layout);
        if (loaded->layout == document_.layout && layoutOf(*loaded) != layoutOf(document_))
            ++loaded->layout.value;
        document_ = std::move(*loaded);
        return true;
    }

private:
    bool setServing(const AvailabilityZone& id, bool serving)
    {
        Zone* zone = findZone(document_, id);
        if (zone == nullptr)
            return failNotFound("availability zone", id.view());
        zone->serving = serving;
        return true;
    }

    bool setDraining(const UpstreamId& id, bool draining)
    {
        for (Service& service : document_.services) {
            for (ShardGroup& group : service.groups) {
                for (Upstream& upstream : group.upstreams) {
                    if (upstream.id != id)
                        continue;
                    upstream.draining = draining;
                    return true;
                }
            }
        }
        return failNotFound("upstream", id.view());
    }

    template <typename Value> bool assign(Value& target, const SettingValue& value)
    {
        const auto* newValue = std::get_if<Value>(&value);
        if (newValue == nullptr)
            return failWrongType();
        target = *newValue;
        return true;
    }

    bool assign(unsigned& target, const SettingValue& value)
    {
        const auto* newValue = std::get_if<std::uint64_t>(&value);
        if (newValue == nullptr)
            return failWrongType();
        // A value that does not fit is clamped to the maximum, which validation rejects.
        target
            = static_cast<unsigned>(std::min<std::uint64_t>(*newValue, std::numeric_limits<unsigned>::max()));
        return true;
    }

    bool failNotFound(const char* kind, std::string_view id)
    {
        reason_ = { ErrorKind::NotFound,
            "'" + std::string(id) + "' is not the id of any " + kind + " in the configuration",
            "correct the id; `show config` lists them" };
        return false;
    }

    bool failWrongType()
    {
        reason_ = { ErrorKind::InvalidInput, "the value has the wrong type for this setting",
            "docs/query-language.md lists the settings and their values" };
        return false;
    }

    Document& document_;
    Error& reason_;
};

// Rejects edits that would leave the deployment without a serving zone or a group without a serving upstream,
// and documents of another deployment.
class ServiceProtection {
public:
    ServiceProtection(const Document& before, const Document& after, Error& reason)
        : before_(before)
        , after_(after)
        , reason_(reason)
    {
    }

    bool operator()(const TakeOutZone& edit)
    {
        const bool anyServing = std::any_of(
            after_.zones.begin(), after_.zones.end(), [](const Zone& zone) { return zone.serving; });
        return anyServing
            || refuse("'" + edit.zone.str() + "' is the last serving availability zone",
                "return another availability zone first, or add force");
    }

    bool operator()(const DrainUpstream& edit)
    {
        for (const Service& service : after_.services) {
            for (const ShardGroup& group : service.groups) {
                const auto isTarget = [&](const Upstream& upstream) { return upstream.id == edit.upstream; };
                const auto isInService
                    = [&](const Upstream& upstream) { return isServing(after_, upstream); };
                const auto& upstreams = group.upstreams;
                if (std::any_of(upstreams.begin(), upstreams.end(), isTarget)
                    && std::none_of(upstreams.begin(), upstreams.end(), isInService)) {
                    return refuse("'" + edit.upstream.str() + "' is the last serving upstream of group '"
                            + group.id.str() + "'",
                        "undrain another upstream of the group first, or add force");
                }
            }
        }
        return true;
    }

    bool operator()(const LoadConfig& /*unused*/)
    {
        return before_.deployment == after_.deployment
            || refuse("the document is for deployment '" + after_.deployment
                    + "', but in force is deployment '" + before_.deployment + "'",
                "load the document into its own deployment, or add force");
    }

    template <typename Other> bool operator()(const Other& /*unused*/) { return true; }

private:
    bool refuse(const std::string& message, const std::string& remedy)
    {
        reason_ = { ErrorKind::InvalidInput, message, remedy };
        return false;
    }

    const Document& before_;
    const Document& after_;
    Error& reason_;
};

const EditOptions& optionsOf(const Edit& edit)
{
    return std::visit([](const auto& content) -> const EditOptions& { return content.options; }, edit);
}

std::string describeNoChange(const Edit& edit)
{
    if (const auto* takeOut = std::get_if<TakeOutZone>(&edit))
        return "availability zone '" + takeOut->zone.str() + "' is already taken out";
    if (const auto* returnZone = std::get_if<ReturnZone>(&edit))
        return "availability zone '" + returnZone->zone.str() + "' is already serving";
    if (const auto* drain = std::get_if<DrainUpstream>(&edit))
        return "upstream '" + drain->upstream.str() + "' is already draining";
    if (const auto* undrain = std::get_if<UndrainUpstream>(&edit))
        return "upstream '" + undrain->upstream.str() + "' is not draining";
    return "the configuration in force already has this content";
}

// Reports the conflict in terms of the settings. validate() would report it by a JSON pointer, which says
// less to an operator who did not send a document.
bool checkColdLimit(const Document& document, const Edit& edit, Error& reason)
{
    const auto* set = std::get_if<SetService>(&edit);
    if (set == nullptr)
        return true;
    for (const Service& service : document.services) {
        if (service.id != set->service || service.coldLimit <= service.slots)
            continue;
        reason = { ErrorKind::InvalidInput,
            "cold_limit " + std::to_string(service.coldLimit) + " of service '" + service.id.str()
                + "' exceeds its " + std::to_string(service.slots) + " slots",
            "set cold_limit to at most the number of slots, or change the other setting first" };
        return false;
    }
    return true;
}

bool checkSize(const Document& document, Error& reason)
{
    const std::size_t size = toJson(document).size();
    if (size <= maxDocumentBytes)
        return true;
    reason = { ErrorKind::InvalidInput,
        "the changed document would have " + std::to_string(size) + " bytes; the limit is "
            + std::to_string(maxDocumentBytes),
        "shorten ids or split the deployment" };
    return false;
}

bool checkVersion(ConfigVersion inForce, const EditOptions& options, Error& reason)
{
    if (!options.ifVersion || *options.ifVersion == inForce)
        return true;
    reason = { ErrorKind::Conflict,
        "version " + std::to_string(inForce.value) + " is in force, but the command is for version "
            + std::to_string(options.ifVersion->value),
        "check the configuration in force and send the command again if it still applies" };
    return false;
}

} // namespace

std::optional<Document> applyEdit(const Document& document, const Edit& edit, Error& reason)
{
    reason = {};
    const EditOptions& options = optionsOf(edit);
    if (!checkVersion(document.version, options, reason))
        return std::nullopt;
    Document changed = document;
    if (!std::visit(EditApplier(changed, reason), edit))
        return std::nullopt;
    if (changed == document) {
        reason = { ErrorKind::InvalidInput, describeNoChange(edit), "there is nothing to change" };
        return std::nullopt;
    }
    if (!options.force && !std::visit(ServiceProtection(document, changed, reason), edit))
        return std::nullopt;
    ++changed.version.value;
    if (!checkColdLimit(changed, edit, reason) || !validate(changed, reason) || !checkSize(changed, reason))
        return std::nullopt;
    return changed;
}

std::optional<Document> applyInitialEdit(const Edit& edit, Error& reason)
{
    reason = {};
    const auto* load = std::get_if<LoadConfig>(&edit);
    if (load == nullptr) {
        reason = { ErrorKind::NotFound, "the deployment has no configuration yet",
            "create it with `load config {…}`" };
        return std::nullopt;
    }
    if (!checkVersion({}, load->options, reason))
        return std::nullopt;
    return parseDocument(load->document, reason);
}

bool isInEffect(const Document& document, const Edit& edit)
{
    Document changed = document;
    Error reason;
    return std::visit(EditApplier(changed, reason), edit) && changed == document;
}

} // namespace banyancroft::config
