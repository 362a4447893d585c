#include "config/edit.h"

namespace banyancroft::config {

std::string_view toString(ServiceSetting setting)
{
    switch (setting) {
    case ServiceSetting::Slots:
        return "slots";
    case ServiceSetting::Connections:
        return "connections";
    case ServiceSetting::ColdLimit:
        return "cold_limit";
    case ServiceSetting::ConnectTime:
        return "connect_time";
    }
    return "";
}

std::string_view toString(PolicySetting setting)
{
    switch (setting) {
    case PolicySetting::DefaultDeadline:
        return "default_deadline";
    case PolicySetting::MaxDeadline:
        return "max_deadline";
    case PolicySetting::AnswerReserve:
        return "answer_reserve";
    case PolicySetting::Hedge:
        return "hedge";
    case PolicySetting::HedgeQuantile:
        return "hedge_quantile";
    case PolicySetting::HedgeBudgetPercent:
        return "hedge_budget_percent";
    case PolicySetting::RetryBudgetPercent:
        return "retry_budget_percent";
    case PolicySetting::QueueLimit:
        return "queue_limit";
    case PolicySetting::WarmupAnswersPerStep:
        return "warmup_answers_per_step";
    }
    return "";
}

} // namespace banyancroft::config
