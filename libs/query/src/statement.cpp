#include "query/statement.h"

#include "json_text.h"

#include <type_traits>

namespace banyancroft::query {

namespace {

std::string formatDuration(Duration duration)
{
    using namespace std::chrono;
    if (duration % seconds(1) == Duration::zero())
        return std::to_string(duration_cast<seconds>(duration).count()) + "s";
    if (duration % milliseconds(1) == Duration::zero())
        return std::to_string(duration_cast<milliseconds>(duration).count()) + "ms";
    return std::to_string(duration_cast<microseconds>(duration).count()) + "us";
}

std::string formatValue(const config::SettingValue& value)
{
    return std::visit(
        [](auto content) -> std::string {
            using Content = decltype(content);
            if constexpr (std::is_same_v<Content, bool>) {
                return content ? "on" : "off";
            } else if constexpr (std::is_same_v<Content, Duration>) {
                return formatDuration(content);
            } else if constexpr (std::is_same_v<Content, double>) {
                return formatNumber(content);
            } else {
                return std::to_string(content);
            }
        },
        value);
}

std::string formatOptions(const config::EditOptions& options)
{
    std::string text = options.force ? " force" : "";
    if (options.ifVersion)
        text += " if version " + std::to_string(options.ifVersion->value);
    return text;
}

std::string_view topicName(ShowTopic topic)
{
    switch (topic) {
    case ShowTopic::Coverage:
        return "coverage";
    case ShowTopic::Config:
        return "config";
    case ShowTopic::Views:
        return "views";
    }
    return "";
}

struct Formatter {
    std::string operator()(const Search& search) const
    {
        std::string text = "search " + search.collection;
        if (!search.where.empty())
            text += " where " + search.where;
        if (search.limit)
            text += " limit " + std::to_string(*search.limit);
        if (search.deadline)
            text += " deadline " + formatDuration(*search.deadline);
        return text + (search.requireAll ? " require all" : "");
    }

    std::string operator()(const Submit& submit) const
    {
        std::string text = "submit " + submit.operation;
        if (!submit.key.empty())
            text += " key " + escapeString(submit.key.view());
        text += " " + submit.payload;
        if (submit.deadline)
            text += " deadline " + formatDuration(*submit.deadline);
        return text;
    }

    std::string operator()(const TakeOutZone& edit) const
    {
        return "take out zone " + edit.zone.str() + formatOptions(edit.options);
    }

    std::string operator()(const ReturnZone& edit) const
    {
        return "return zone " + edit.zone.str() + formatOptions(edit.options);
    }

    std::string operator()(const DrainUpstream& edit) const
    {
        return "drain upstream " + edit.upstream.str() + formatOptions(edit.options);
    }

    std::string operator()(const UndrainUpstream& edit) const
    {
        return "undrain upstream " + edit.upstream.str() + formatOptions(edit.options);
    }

    std::string operator()(const SetService& edit) const
    {
        return "set service " + edit.service.str() + " " + std::string(toString(edit.setting)) + " "
            + formatValue(edit.value) + formatOptions(edit.options);
    }

    std::string operator()(const SetPolicy& edit) const
    {
        return "set policy " + std::string(toString(edit.setting)) + " " + formatValue(edit.value)
            + formatOptions(edit.options);
    }

    std::string operator()(const LoadConfig& edit) const
    {
        return "load config " + edit.document + formatOptions(edit.options);
    }

    std::string operator()(const ReleaseZone& release) const { return "release zone " + release.zone.str(); }

    std::string operator()(const Show& show) const { return "show " + std::string(topicName(show.topic)); }

    std::string operator()(const Status& /*unused*/) const { return "status"; }

    std::string operator()(const Explain& explain) const { return "explain " + explain.traceId; }
};

} // namespace

bool isOperatorCommand(const Statement& statement)
{
    return std::holds_alternative<ReleaseZone>(statement) || configEdit(statement).has_value();
}

std::optional<config::Edit> configEdit(const Statement& statement)
{
    return std::visit(
        [](const auto& content) -> std::optional<config::Edit> {
            if constexpr (std::is_constructible_v<config::Edit, decltype(content)>) {
                return config::Edit(content);
            } else {
                return std::nullopt;
            }
        },
        statement);
}

std::string toString(const Statement& statement) { return std::visit(Formatter {}, statement); }

} // namespace banyancroft::query
