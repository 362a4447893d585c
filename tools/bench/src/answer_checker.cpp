#include "answer_checker.h"

#include "upstream_emulator/rows.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace banyancroft::tools {

using Json = nlohmann::json;
using Outcome = CheckedAnswer::Outcome;

namespace {

constexpr std::size_t maxQuotedBytes = 200;
constexpr unsigned statusDone = 200;
constexpr unsigned statusNotRun = 503;
constexpr unsigned statusUnknown = 504;

/** Returns the outcome of an answer; Malformed if the HTTP status contradicts it. */
Outcome outcomeOf(unsigned status, const Json& answer)
{
    const auto text = answer.at("outcome").get<std::string>();
    if (status == statusDone && text == "done")
        return Outcome::Done;
    if (status == statusNotRun && text == "not_run")
        return Outcome::NotRun;
    if (status == statusUnknown && text == "unknown")
        return Outcome::Unknown;
    return Outcome::Malformed;
}

/** Parses an answer and, if the outcome is Done, checks it; Malformed if a field is missing. */
template <typename Check>
CheckedAnswer checkResponse(unsigned status, std::string_view body, const Check& check)
{
    CheckedAnswer result;
    if (status / 100 == 4) {
        result.outcome = Outcome::Rejected;
        result.reason
            = "status " + std::to_string(status) + " " + std::string(body.substr(0, maxQuotedBytes));
        return result;
    }
    try {
        const auto answer = Json::parse(body);
        result.outcome = outcomeOf(status, answer);
        result.reason = answer.value("reason", "");
        if (result.outcome == Outcome::Done)
            check(answer, result);
    } catch (const Json::exception& problem) {
        result.outcome = Outcome::Malformed;
        result.reason = problem.what();
    }
    if (result.outcome == Outcome::Malformed && result.reason.empty()) {
        result.reason = "status " + std::to_string(status) + " does not match the answer "
            + std::string(body.substr(0, maxQuotedBytes));
    }
    return result;
}

std::string compareRows(const Json& answer, const std::set<std::string>& covered)
{
    const auto layout = answer.at("layout").get<std::uint64_t>();
    const auto index = answer.at("index").get<std::uint64_t>();
    std::set<Json> expected;
    for (const auto& shard : covered) {
        for (unsigned row = 0; row < rowsPerShard; ++row)
            expected.insert(Json::parse(makeRow(shard, layout, index, row)));
    }
    for (const auto& row : answer.at("rows")) {
        if (expected.erase(row) == 0)
            return "unexpected row " + row.dump();
    }
    return expected.empty() ? "" : "missing row " + expected.begin()->dump();
}

std::string compareCoverage(const Json& answer, const std::set<std::string>& all)
{
    const auto& coverage = answer.at("coverage");
    auto covered = all;
    for (const auto& missing : coverage.at("missing")) {
        if (covered.erase(missing.at("shard").get<std::string>()) == 0)
            return "shard " + missing.at("shard").get<std::string>()
                + " in coverage.missing is unknown or listed twice";
    }
    if (coverage.at("shards") != all.size()) {
        return "coverage.shards is " + coverage.at("shards").dump() + ", but the collection has "
            + std::to_string(all.size());
    }
    if (coverage.at("covered") != covered.size()) {
        return "coverage.covered is " + coverage.at("covered").dump()
            + ", but the number of shards not listed as missing is " + std::to_string(covered.size());
    }
    if (answer.at("complete") != (covered.size() == all.size()))
        return "field complete contradicts the list of missing shards";
    return compareRows(answer, covered);
}

} // namespace

AnswerChecker::AnswerChecker(const config::Document& document)
{
    for (const auto& collection : document.collections) {
        std::set<std::string> shards;
        std::size_t groups = 0;
        for (const auto& service : document.services) {
            if (std::ranges::find(collection.services, service.id) == collection.services.end())
                continue;
            groups += service.groups.size();
            for (const auto& group : service.groups) {
                for (const auto& shard : group.shards)
                    shards.insert(shard.str());
            }
        }
        shards_.push_back(std::move(shards));
        groups_.push_back(groups);
    }
}

CheckedAnswer AnswerChecker::checkSearch(std::size_t collection, unsigned status, std::string_view body) const
{
    return checkResponse(status, body, [&](const Json& answer, CheckedAnswer& result) {
        result.coverageError = compareCoverage(answer, shards_.at(collection));
        for (const auto& missing : answer.at("coverage").at("missing"))
            ++result.missing[missing.value("reason", "")];
        result.complete = result.coverageError.empty() && answer.at("complete").get<bool>();
    });
}

CheckedAnswer AnswerChecker::checkSubmit(unsigned status, std::string_view body)
{
    return checkResponse(status, body, [](const Json& answer, CheckedAnswer& result) {
        if (!answer.contains("result"))
            result.outcome = Outcome::Malformed;
    });
}

} // namespace banyancroft::tools
