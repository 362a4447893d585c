#pragma once

#include "condition_grammar.h"

#include <initializer_list>
#include <type_traits>

// Grammar of all statements.

namespace banyancroft::query::grammar {

// Longest trace id accepted; W3C trace ids have 32 hex digits.
constexpr int maxTraceIdLength = 64;

inline const auto setWhere
    = [](auto& context) { builder(context).template as<Search>().where = x3::_attr(context).text; };
inline const auto setLimit
    = [](auto& context) { builder(context).template as<Search>().limit = x3::_attr(context); };
inline const auto setRequireAll
    = [](auto& context) { builder(context).template as<Search>().requireAll = true; };

template <typename Kind> struct SetDeadline {
    template <typename Context> void operator()(Context& context) const
    {
        builder(context).template as<Kind>().deadline = x3::_attr(context);
    }
};

template <typename Kind, auto member> struct SetId {
    template <typename Context> void operator()(Context& context) const
    {
        auto& target = builder(context).template as<Kind>().*member;
        target = std::remove_reference_t<decltype(target)>(x3::_attr(context));
    }
};

inline const auto searchStatement = keyword("search")
    > word<struct CollectionNameTag>("the name of a collection")[SetId<Search, &Search::collection> {}]
    > *((once<Clause::Where>("where") > condition[setWhere])
        | (once<Clause::Limit>("limit") > wholeNumber[setLimit])
        | (once<Clause::Deadline>("deadline") > duration[SetDeadline<Search> {}])
        | (once<Clause::RequireAll>("require") > keyword("all")[setRequireAll]))
    > EndOfStatement("'and', 'or', or once each 'where', 'limit', 'deadline', 'require all', or ");

inline const auto setPayload
    = [](auto& context) { builder(context).template as<Submit>().payload = x3::_attr(context); };

inline const auto submitStatement = keyword("submit")
    > word<struct OperationNameTag>("the name of an operation")[SetId<Submit, &Submit::operation> {}]
    > -(keyword("key") > idempotencyKey[SetId<Submit, &Submit::key> {}]) > JsonObject {}[setPayload]
    > -(keyword("deadline") > duration[SetDeadline<Submit> {}]) > EndOfStatement("'deadline' or ");

inline const auto setForce = [](auto& context) { builder(context).options.force = true; };
inline const auto setIfVersion
    = [](auto& context) { builder(context).options.ifVersion = ConfigVersion { x3::_attr(context) }; };

inline const auto editOptions = *(once<Clause::Force>("force")[setForce]
    | (once<Clause::IfVersion>("if") > keyword("version") > wholeNumber[setIfVersion]));
inline const auto editEnd = EndOfStatement("'force', 'if version N' or ");

inline const auto zoneName = word<struct ZoneNameTag>("the id of an availability zone");
inline const auto upstreamName = word<struct UpstreamNameTag>("the id of an upstream");

inline const auto takeOutStatement = keyword("take") > keyword("out") > keyword("zone")
    > zoneName[SetId<TakeOutZone, &TakeOutZone::zone> {}] > editOptions > editEnd;
inline const auto returnStatement = keyword("return") > keyword("zone")
    > zoneName[SetId<ReturnZone, &ReturnZone::zone> {}] > editOptions > editEnd;
inline const auto drainStatement = keyword("drain") > keyword("upstream")
    > upstreamName[SetId<DrainUpstream, &DrainUpstream::upstream> {}] > editOptions > editEnd;
inline const auto undrainStatement = keyword("undrain") > keyword("upstream")
    > upstreamName[SetId<UndrainUpstream, &UndrainUpstream::upstream> {}] > editOptions > editEnd;
inline const auto releaseStatement = keyword("release") > keyword("zone")
    > zoneName[SetId<ReleaseZone, &ReleaseZone::zone> {}] > EndOfStatement("");

inline const auto setDocument
    = [](auto& context) { builder(context).template as<LoadConfig>().document = x3::_attr(context); };
inline const auto loadStatement
    = keyword("load") > keyword("config") > JsonObject {}[setDocument] > editOptions > editEnd;

// Names of settings whose values have the same type.
template <typename Setting> x3::symbols<Setting> makeSettingNames(std::initializer_list<Setting> list)
{
    x3::symbols<Setting> names;
    for (Setting setting : list)
        names.add(std::string(config::toString(setting)), setting);
    return names;
}

using config::PolicySetting;
using config::ServiceSetting;

inline const auto serviceCounts
    = makeSettingNames({ ServiceSetting::Slots, ServiceSetting::Connections, ServiceSetting::ColdLimit });
inline const auto serviceDurations = makeSettingNames({ ServiceSetting::ConnectTime });
inline const auto policyCounts
    = makeSettingNames({ PolicySetting::QueueLimit, PolicySetting::WarmupAnswersPerStep });
inline const auto policyDurations = makeSettingNames(
    { PolicySetting::DefaultDeadline, PolicySetting::MaxDeadline, PolicySetting::AnswerReserve });
inline const auto policyRatios = makeSettingNames(
    { PolicySetting::HedgeQuantile, PolicySetting::HedgeBudgetPercent, PolicySetting::RetryBudgetPercent });
inline const auto policySwitches = makeSettingNames({ PolicySetting::Hedge });

template <typename Kind> struct SetSetting {
    template <typename Context> void operator()(Context& context) const
    {
        builder(context).template as<Kind>().setting = x3::_attr(context);
    }
};

template <typename Kind> struct SetSettingValue {
    template <typename Context> void operator()(Context& context) const
    {
        builder(context).template as<Kind>().value = x3::_attr(context);
    }
};

template <typename Kind, typename Symbols> auto settingName(const Symbols& symbols)
{
    return x3::lexeme[symbols >> !wordTail][SetSetting<Kind> {}];
}

inline x3::symbols<bool> makeSwitchValues()
{
    x3::symbols<bool> values;
    values.add("on", true)("off", false);
    return values;
}
inline const x3::symbols<bool> switchSymbol = makeSwitchValues();
inline const auto switchValue = x3::rule<struct SwitchTag, bool>("'on' or 'off'")
    = x3::lexeme[switchSymbol >> !wordTail];

inline const auto serviceAssignment = x3::rule<struct ServiceAssignmentTag>(
    "a setting of a service (slots, connections, cold_limit or connect_time)")
    = (settingName<SetService>(serviceCounts) > wholeNumber[SetSettingValue<SetService> {}])
    | (settingName<SetService>(serviceDurations) > duration[SetSettingValue<SetService> {}]);

inline const auto policyAssignment = x3::rule<struct PolicyAssignmentTag>(
    "a setting of the policy (default_deadline, max_deadline, answer_reserve, hedge, hedge_quantile, "
    "hedge_budget_percent, retry_budget_percent, queue_limit or warmup_answers_per_step)")
    = (settingName<SetPolicy>(policyDurations) > duration[SetSettingValue<SetPolicy> {}])
    | (settingName<SetPolicy>(policySwitches) > switchValue[SetSettingValue<SetPolicy> {}])
    | (settingName<SetPolicy>(policyRatios) > ratio[SetSettingValue<SetPolicy> {}])
    | (settingName<SetPolicy>(policyCounts) > wholeNumber[SetSettingValue<SetPolicy> {}]);

inline const auto setServiceTarget = keyword("service")
    > word<struct ServiceNameTag>("the id of a service")[SetId<SetService, &SetService::service> {}]
    > serviceAssignment;
inline const auto setPolicyTarget = keyword("policy") > policyAssignment;
inline const auto setTarget = x3::rule<struct SetTargetTag>("'service' or 'policy'")
    = setServiceTarget | setPolicyTarget;
inline const auto setStatement = keyword("set") > setTarget > editOptions > editEnd;

inline x3::symbols<ShowTopic> makeTopics()
{
    x3::symbols<ShowTopic> topics;
    topics.add("coverage", ShowTopic::Coverage)("config", ShowTopic::Config)("views", ShowTopic::Views);
    return topics;
}
inline const x3::symbols<ShowTopic> topicSymbol = makeTopics();
inline const auto topic = x3::rule<struct TopicTag, ShowTopic>("'coverage', 'config' or 'views'")
    = x3::lexeme[topicSymbol >> !wordTail];
inline const auto setTopic
    = [](auto& context) { builder(context).template as<Show>().topic = x3::_attr(context); };
inline const auto showStatement = keyword("show") > topic[setTopic] > EndOfStatement("");

inline const auto setStatus = [](auto& context) { builder(context).template as<Status>(); };
inline const auto statusStatement = keyword("status")[setStatus] > EndOfStatement("");

inline const auto traceId = x3::rule<struct TraceIdTag, std::string>("a trace id")
    = x3::lexeme[x3::repeat(1, maxTraceIdLength)[x3::char_("A-Za-z0-9-")] >> !wordTail];
inline const auto explainStatement
    = keyword("explain") > traceId[SetId<Explain, &Explain::traceId> {}] > EndOfStatement("");

inline const auto statementRule = x3::rule<struct StatementTag>(
    "a statement (search, submit, take out, return, drain, undrain, set, load config, release, show, status "
    "or explain)")
    = searchStatement | submitStatement | takeOutStatement | returnStatement | drainStatement
    | undrainStatement | setStatement | loadStatement | releaseStatement | showStatement | statusStatement
    | explainStatement;

inline const auto setStandaloneCondition
    = [](auto& context) { builder(context).template as<Search>().where = x3::_attr(context).text; };
inline const auto standaloneCondition = condition[setStandaloneCondition] > EndOfStatement("'and', 'or' or ");

} // namespace banyancroft::query::grammar
