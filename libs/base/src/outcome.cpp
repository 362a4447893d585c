#include "base/outcome.h"

#include <array>

namespace banyancroft {

namespace {

struct ReasonText {
    std::string_view name;
    std::string_view remedy;
};

constexpr std::array reasonTexts {
    ReasonText { "none", "" },
    ReasonText { "deadline_too_short",
        "send the request with a longer deadline, or try again when the load is lower" },
    ReasonText { "deadline_exceeded", "send the request with a longer deadline" },
    ReasonText { "queue_full", "try again later" },
    ReasonText { "cold_limit", "try again when the upstream has warmed up" },
    ReasonText { "upstream_shed", "try again later" },
    ReasonText { "upstream_unreachable", "try again; check the upstream if it persists" },
    ReasonText { "upstream_malformed", "check the version of the upstream" },
    ReasonText { "upstream_failed", "check the log of the upstream" },
    ReasonText { "index_version_mismatch", "try again when every group serves a common index version" },
    ReasonText { "layout_version_mismatch", "try again when the repartitioning is complete" },
    ReasonText { "upstream_draining", "try again; another upstream of the group will serve the request" },
    ReasonText { "zone_out", "return the availability zone to service or use another one" },
    ReasonText { "wrong_home", "try again; the entry daemon refreshes its membership view" },
    ReasonText { "no_authority", "try again after the upstream has been handed over" },
    ReasonText { "home_unreachable", "try again after another daemon has taken over the upstream" },
    ReasonText { "unknown_upstream", "check the configuration in force at this daemon" },
    ReasonText { "no_candidate", "check which upstreams of the group are serving" },
    ReasonText { "retry_budget", "try again later" },
    ReasonText { "cancelled", "" },
    ReasonText { "claim_unavailable", "send the same idempotency key again when the store answers" },
    ReasonText { "claim_pending", "send the same idempotency key again later to learn the outcome" },
    ReasonText { "stopping", "send the request to another daemon" },
    ReasonText { "overloaded", "try again later or at another daemon" },
};

static_assert(reasonTexts.size() == static_cast<std::size_t>(Reason::Overloaded) + 1);

} // namespace

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view toString(Reason reason) { return reasonTexts.at(static_cast<std::size_t>(reason)).name; }

std::string_view remedy(Reason reason) { return reasonTexts.at(static_cast<std::size_t>(reason)).remedy; }

std::optional<Outcome> outcomeFromNumber(std::uint64_t number)
{
    if (number > static_cast<std::uint64_t>(Outcome::Unknown))
        return std::nullopt;
    return static_cast<Outcome>(number);
}

std::optional<Reason> reasonFromNumber(std::uint64_t number)
{
    if (number >= reasonTexts.size())
        return std::nullopt;
    return static_cast<Reason>(number);
}

} // namespace banyancroft
