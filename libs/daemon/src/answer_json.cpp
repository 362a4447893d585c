#include "answer_json.h"

#include <nlohmann/json.hpp>

namespace banyancroft::daemon {

namespace {

using Json = nlohmann::ordered_json;

std::string dump(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

std::string_view kindName(search::SubrequestKind kind)
{
    switch (kind) {
    case search::SubrequestKind::First:
        return "first";
    case search::SubrequestKind::Hedge:
        return "hedge";
    case search::SubrequestKind::Retry:
        return "retry";
    }
    return "first";
}

// Appends newline-delimited JSON values as elements of an array. The home has checked that each is JSON.
void appendRows(std::string_view lines, bool& first, std::string& out)
{
    while (!lines.empty()) {
        const std::size_t end = std::min(lines.find('\n'), lines.size());
        const std::string_view line = lines.substr(0, end);
        lines.remove_prefix(std::min(end + 1, lines.size()));
        if (line.empty())
            continue;
        if (!std::exchange(first, false))
            out.push_back(',');
        out.append(line);
    }
}

Json withReason(Json json, Reason reason)
{
    json["reason"] = toString(reason);
    json["remedy"] = remedy(reason);
    return json;
}

} // namespace

std::string toJson(const search::Answer& answer, std::string_view traceId)
{
    const Outcome outcome = answer.refusal == Reason::None ? Outcome::Done : Outcome::NotRun;
    Json json = withReason({ { "outcome", toString(outcome) } }, answer.refusal);
    json["trace"] = traceId;
    json["layout"] = answer.snapshot.layout.value;
    json["index"] = answer.snapshot.index.value;
    json["complete"] = answer.complete;
    Json missing = Json::array();
    for (const auto& shard : answer.coverage) {
        if (shard.missingReason != Reason::None)
            missing.push_back({ { "shard", shard.shard }, { "reason", toString(shard.missingReason) } });
    }
    json["coverage"] = { { "shards", answer.coverage.size() }, { "covered", answer.coveredShards },
        { "missing", std::move(missing) } };
    std::string body = dump(json);
    // Rows are inserted as text: parsing them again would cost more than the rest of the reply.
    body.pop_back();
    body.append(",\"rows\":[");
    bool first = true;
    for (const auto& rows : answer.rows)
        appendRows(rows, first, body);
    body.append("]}\n");
    return body;
}

std::string explainJson(const search::Answer& answer, std::string_view statement, Duration elapsed)
{
    Json subrequests = Json::array();
    for (const auto& item : answer.explain) {
        Json entry { { "upstream", item.upstream }, { "kind", kindName(item.kind) },
            { "attempt", item.attempt }, { "sent_after_ms", toMillis(item.sentAfter) },
            { "elapsed_ms", toMillis(item.elapsed) },
            { "outcome", item.outcome ? toString(*item.outcome) : "none" },
            { "reason", toString(item.reason) }, { "asked_layout", item.asked.layout.value },
            { "asked_index", item.asked.index.value }, { "answered_layout", item.answered.layout.value },
            { "answered_index", item.answered.index.value } };
        subrequests.push_back(std::move(entry));
    }
    Json lacking = Json::array();
    for (const auto& shard : answer.coverage) {
        if (shard.missingReason != Reason::None)
            lacking.push_back({ { "shard", shard.shard }, { "group", shard.group },
                { "reason", toString(shard.missingReason) }, { "remedy", remedy(shard.missingReason) } });
    }
    const auto& counters = answer.counters;
    Json json { { "statement", statement }, { "elapsed_ms", toMillis(elapsed) },
        { "refusal", toString(answer.refusal) }, { "layout", answer.snapshot.layout.value },
        { "index", answer.snapshot.index.value }, { "shards", answer.coverage.size() },
        { "covered", answer.coveredShards }, { "lacking", std::move(lacking) }, { "hedges", counters.hedges },
        { "hedges_won", counters.hedgesWon }, { "retries", counters.retries },
        { "restarts", counters.restarts }, { "other_version", counters.otherVersion },
        { "duplicate_replies", counters.duplicateReplies }, { "late_replies", counters.lateReplies },
        { "subrequests", std::move(subrequests) } };
    return dump(json);
}

std::string toJson(const SubmitResult& result, std::string_view traceId)
{
    Json json = withReason({ { "outcome", toString(result.outcome) } }, result.reason);
    json["trace"] = traceId;
    std::string body = dump(json);
    if (result.outcome == Outcome::Done && !result.result.empty()) {
        body.pop_back();
        body.append(",\"result\":").append(result.result).append("}");
    }
    body.push_back('\n');
    return body;
}

std::string explainJson(const SubmitResult& result, std::string_view statement, Duration elapsed)
{
    Json attempts = Json::array();
    for (const auto& [upstream, reason] : result.attempts)
        attempts.push_back({ { "upstream", upstream }, { "reason", toString(reason) } });
    return dump({ { "statement", statement }, { "elapsed_ms", toMillis(elapsed) },
        { "outcome", toString(result.outcome) }, { "reason", toString(result.reason) },
        { "attempts", std::move(attempts) } });
}

std::string toJson(const CommandResult& result, std::string_view traceId)
{
    Json json { { "outcome", result.error ? (result.unknown ? "unknown" : "not_run") : "done" } };
    if (result.error) {
        json["error"] = toString(result.error.kind);
        json["message"] = result.error.message;
        json["remedy"] = result.error.remedy;
    }
    json["trace"] = traceId;
    std::string body = dump(json);
    if (!result.body.empty()) {
        body.pop_back();
        body.append(",\"result\":").append(result.body).append("}");
    }
    body.push_back('\n');
    return body;
}

std::string errorJson(const Error& error, std::string_view traceId)
{
    return dump({ { "outcome", "not_run" }, { "error", toString(error.kind) }, { "message", error.message },
               { "remedy", error.remedy }, { "trace", traceId } })
        + "\n";
}

} // namespace banyancroft::daemon
