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

// Changes a copy of the document. The checks that `force` skips are in guard(), not here.
class Changer {
public:
    Changer(Document& document, Error& reason)
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
            return unknown("service", edit.service.view());
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
        return mismatch();
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
        return mismatch();
    }

    bool operator()(const LoadConfig& edit)
    {
        auto loaded = parseDocument(edit.document, reason_);
        if (!loaded)
            return false;
        loaded->version = document_.version;
        // A layout version that goes back would let answers of two layouts look like one.
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
            return unknown("availability zone", id.view());
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
        return unknown("upstream", id.view());
    }

    template <typename Value> bool assign(Value& target, const SettingValue& value)
    {
        const auto* content = std::get_if<Value>(&value);
        if (content == nullptr)
            return mismatch();
        target = *content;
        return true;
    }

    bool assign(unsigned& target, const SettingValue& value)
    {
        const auto* content = std::get_if<std::uint64_t>(&value);
        if (content == nullptr)
            return mismatch();
        // Validation refuses the largest number, which stands for all that do not fit.
        target
            = static_cast<unsigned>(std::min<std::uint64_t>(*content, std::numeric_limits<unsigned>::max()));
        return true;
    }

    bool unknown(const char* kind, std::string_view id)
    {
        reason_
            = { ErrorKind::NotFound, "'" + std::string(id) + "' names no " + kind + " of the configuration",
                  "correct the id; `show config` lists them" };
        return false;
    }

    bool mismatch()
    {
        reason_ = { ErrorKind::InvalidInput, "the setting does not take a value of this kind",
            "docs/query-language.md lists the values" };
        return false;
    }

    Document& document_;
    Error& reason_;
};

// Refuses edits that would take the last part out of service.
class Guard {
public:
    Guard(const Document& before, const Document& after, Error& reason)
        : before_(before)
        , after_(after)
        , reason_(reason)
    {
    }

    bool operator()(const TakeOutZone& edit)
    {
        const bool anyServes = std::any_of(
            after_.zones.begin(), after_.zones.end(), [](const Zone& zone) { return zone.serving; });
        return anyServes
            || refuse("'" + edit.zone.str() + "' is the last serving availability zone",
                "return another availability zone first, or add force");
    }

    bool operator()(const DrainUpstream& edit)
    {
        for (const Service& service : after_.services) {
            for (const ShardGroup& group : service.groups) {
                const auto has = [&](const Upstream& upstream) { return upstream.id == edit.upstream; };
                const auto serves = [&](const Upstream& upstream) { return isServing(after_, upstream); };
                const auto& upstreams = group.upstreams;
                if (std::any_of(upstreams.begin(), upstreams.end(), has)
                    && std::none_of(upstreams.begin(), upstreams.end(), serves)) {
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
            || refuse("the document is for deployment '" + after_.deployment + "', in force is '"
                    + before_.deployment + "'",
                "load the document at its own deployment, or add force");
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

std::string describeInEffect(const Edit& edit)
{
    if (const auto* takeOut = std::get_if<TakeOutZone>(&edit))
        return "availability zone '" + takeOut->zone.str() + "' is already out";
    if (const auto* returned = std::get_if<ReturnZone>(&edit))
        return "availability zone '" + returned->zone.str() + "' already serves";
    if (const auto* drain = std::get_if<DrainUpstream>(&edit))
        return "upstream '" + drain->upstream.str() + "' already drains";
    if (const auto* undrain = std::get_if<UndrainUpstream>(&edit))
        return "upstream '" + undrain->upstream.str() + "' does not drain";
    return "the configuration in force already has this content";
}

// The command names the setting; the pointer of a whole document would say less to the operator.
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
                + "' is over its " + std::to_string(service.slots) + " slots",
            "set cold_limit to at most the slots, or change the other setting first" };
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
        "the document would have " + std::to_string(size) + " bytes; the limit is "
            + std::to_string(maxDocumentBytes),
        "shorten ids or split the deployment" };
    return false;
}

bool checkVersion(ConfigVersion inForce, const EditOptions& options, Error& reason)
{
    if (!options.ifVersion || *options.ifVersion == inForce)
        return true;
    reason = { ErrorKind::Conflict,
        "version " + std::to_string(inForce.value) + " is in force, the command is for version "
            + std::to_string(options.ifVersion->value),
        "look at the configuration in force and decide anew" };
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
    if (!std::visit(Changer(changed, reason), edit))
        return std::nullopt;
    if (changed == document) {
        reason = { ErrorKind::InvalidInput, describeInEffect(edit), "there is nothing to change" };
        return std::nullopt;
    }
    if (!options.force && !std::visit(Guard(document, changed, reason), edit))
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
        reason = { ErrorKind::NotFound, "there is no configuration yet",
            "load the first one with `load config {…}`" };
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
    return std::visit(Changer(changed, reason), edit) && changed == document;
}

} // namespace banyancroft::config
