#include "answer_checker.h"
#include "child_process.h"
#include "cluster.h"
#include "counter_totals.h"
#include "load_schedule.h"
#include "report.h"
#include "scenario.h"
#include "upstream_emulator/rows.h"

#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <numeric>
#include <set>

using namespace banyancroft;
using namespace banyancroft::tools;
using Json = nlohmann::json;
using namespace std::chrono_literals;
using Outcome = CheckedAnswer::Outcome;

namespace {

config::Document makeDocument()
{
    config::Service service;
    service.id = ServiceId("desk");
    for (const auto* name : { "s1", "s2", "s3" })
        service.groups.push_back({ GroupId(std::string("g-") + name), { ShardId(name) }, {} });
    config::Document document;
    document.services = { service };
    document.collections = { { "manifests", { ServiceId("desk") } } };
    document.operations = { { "render", ServiceId("desk"), false }, { "credit", ServiceId("desk"), true } };
    return document;
}

/** Returns a consistent answer that covers s1 and s2 of the shards s1, s2 and s3. */
Json makeAnswer()
{
    Json rows = Json::array();
    for (const auto* shard : { "s1", "s2" }) {
        for (unsigned row = 0; row < rowsPerShard; ++row)
            rows.push_back(Json::parse(makeRow(shard, 1, 7, row)));
    }
    return { { "outcome", "done" }, { "reason", "" }, { "layout", 1 }, { "index", 7 }, { "complete", false },
        { "coverage",
            { { "shards", 3 }, { "covered", 2 },
                { "missing", Json::array({ { { "shard", "s3" }, { "reason", "zone_out" } } }) } } },
        { "rows", rows } };
}

std::string coverageErrorOf(const Json& answer)
{
    return AnswerChecker(makeDocument()).checkSearch(0, 200, answer.dump()).coverageError;
}

} // namespace

// The checker must neither reject consistent answers nor treat partial ones as complete.
BOOST_AUTO_TEST_CASE(consistentPartialAnswerIsAccepted)
{
    const AnswerChecker checker(makeDocument());
    auto checked = checker.checkSearch(0, 200, makeAnswer().dump());
    BOOST_TEST((checked.outcome == Outcome::Done));
    BOOST_TEST(checked.coverageError == "");
    BOOST_TEST(!checked.complete);
    BOOST_TEST(checked.missing.at("zone_out") == 1U);
    BOOST_TEST(checker.groups(0) == 3U);
    auto answer = makeAnswer();
    for (unsigned row = 0; row < rowsPerShard; ++row)
        answer["rows"].push_back(Json::parse(makeRow("s3", 1, 7, row)));
    answer["complete"] = true;
    answer["coverage"] = { { "shards", 3 }, { "covered", 3 }, { "missing", Json::array() } };
    BOOST_TEST(checker.checkSearch(0, 200, answer.dump()).complete);
}

// Rows that contradict the reported coverage or versions must be detected.
BOOST_AUTO_TEST_CASE(answersWithFalseCoverageAreDetected)
{
    auto answer = makeAnswer();
    answer["rows"].erase(0);
    BOOST_TEST(coverageErrorOf(answer) != "");
    answer = makeAnswer();
    answer["rows"].push_back(answer["rows"][0]);
    BOOST_TEST(coverageErrorOf(answer) != "");
    answer = makeAnswer();
    answer["rows"][0]["index"] = 8;
    BOOST_TEST(coverageErrorOf(answer) != "");
    answer = makeAnswer();
    answer["rows"].push_back(Json::parse(makeRow("s3", 1, 7, 0)));
    BOOST_TEST(coverageErrorOf(answer) != "");
    answer = makeAnswer();
    answer["complete"] = true;
    BOOST_TEST(coverageErrorOf(answer) != "");
    answer = makeAnswer();
    answer["coverage"]["covered"] = 3;
    BOOST_TEST(coverageErrorOf(answer) != "");
    answer = makeAnswer();
    answer["coverage"]["shards"] = 2;
    BOOST_TEST(coverageErrorOf(answer) != "");
    answer = makeAnswer();
    answer["coverage"]["missing"].push_back(answer["coverage"]["missing"][0]);
    BOOST_TEST(coverageErrorOf(answer) != "");
}

// A caller that relies on a status that contradicts the outcome could repeat a submit that ran.
BOOST_AUTO_TEST_CASE(answerWhoseStatusContradictsItsOutcomeIsMalformed)
{
    const AnswerChecker checker(makeDocument());
    const std::string notRun = R"({"outcome":"not_run","reason":"queue_full"})";
    const auto checked = checker.checkSearch(0, 503, notRun);
    BOOST_TEST((checked.outcome == Outcome::NotRun));
    BOOST_TEST(checked.reason == "queue_full");
    BOOST_TEST((checker.checkSearch(0, 200, notRun).outcome == Outcome::Malformed));
    BOOST_TEST((checker.checkSearch(0, 503, makeAnswer().dump()).outcome == Outcome::Malformed));
    BOOST_TEST((checker.checkSearch(0, 200, "{").outcome == Outcome::Malformed));
    BOOST_TEST((checker.checkSearch(0, 400, "column 3").outcome == Outcome::Rejected));
    BOOST_TEST((AnswerChecker::checkSubmit(200, R"({"outcome":"done"})").outcome == Outcome::Malformed));
    BOOST_TEST((AnswerChecker::checkSubmit(504, R"({"outcome":"unknown"})").outcome == Outcome::Unknown));
}

// Results of two runs are comparable only if equal seeds give the same load.
BOOST_AUTO_TEST_CASE(scheduleIsDeterminedBySeedAndSettings)
{
    const LoadSettings settings { 5, 200, 20s, 50, 50 };
    const auto schedule = makeSchedule(makeDocument(), settings);
    const auto repeated = makeSchedule(makeDocument(), settings);
    BOOST_REQUIRE(schedule.size() == repeated.size());
    std::map<std::string, std::set<std::uint64_t>> daemonsPerKey;
    std::size_t submits = 0;
    for (std::size_t index = 0; index < schedule.size(); ++index) {
        BOOST_TEST((schedule[index].at == repeated[index].at));
        BOOST_TEST(schedule[index].statement == repeated[index].statement);
        if (index > 0)
            BOOST_TEST((schedule[index - 1].at <= schedule[index].at));
        if (schedule[index].kind == PlannedRequest::Kind::Search)
            continue;
        ++submits;
        // The first operation of the document is idempotent and must not be used.
        BOOST_TEST(schedule[index].statement.starts_with("submit credit key "));
        daemonsPerKey[schedule[index].key].insert(schedule[index].daemonSelector % Endpoints::daemonCount);
    }
    const auto duplicated
        = std::ranges::count_if(daemonsPerKey, [](const auto& entry) { return entry.second.size() == 2; });
    BOOST_TEST(submits == daemonsPerKey.size() + static_cast<std::size_t>(duplicated));
    BOOST_TEST(duplicated > 0);
    const LoadSettings other { 6, 200, 20s, 50, 50 };
    BOOST_TEST((makeSchedule(makeDocument(), other).front().at != schedule.front().at));
}

// A wrong rank would report a lower tail latency than callers see.
BOOST_AUTO_TEST_CASE(quantilesUseTheNearestRank)
{
    std::vector<double> values(1000);
    std::iota(values.rbegin(), values.rend(), 1.0);
    BOOST_TEST(quantile(values, 0.5) == 500.0);
    BOOST_TEST(quantile(values, 0.999) == 999.0);
    BOOST_TEST(quantile(values, 1.0) == 1000.0);
    std::vector<double> none;
    BOOST_TEST(quantile(none, 0.99) == 0.0);
}

// Duplicate runs, runs reported as not run and missing runs reported as done must be counted; a duplicate run
// of a credit pays a lab twice.
BOOST_AUTO_TEST_CASE(submitOutcomesAreCheckedAgainstCountedRuns)
{
    const char* counters = R"({"upstreams":[
        {"searches":4,"submits":2,"over_limit":1,"over_cold_limit":0,"over_connections":0,"cancelled":0,
         "abandoned":0,"wrong_shard":0,"runs":{"a":1,"b":1}},
        {"searches":6,"submits":1,"over_limit":0,"over_cold_limit":0,"over_connections":2,"cancelled":0,
         "abandoned":0,"wrong_shard":0,"runs":{"a":1}}],"zone_last_work_ns":{"z1":5}})";
    const auto totals = sumCounters(counters);
    BOOST_TEST(totals.searches == 10U);
    const std::map<std::string, KeyOutcomes> keys { { "a", { 2, 1, 0 } }, { "b", { 1, 0, 1 } },
        { "c", { 1, 1, 0 } }, { "d", { 1, 0, 1 } } };
    const auto violations = verifySubmits(keys, totals);
    BOOST_TEST(violations.duplicateRuns == 1U);
    BOOST_TEST(violations.ranDespiteNotRun == 1U);
    BOOST_TEST(violations.doneWithoutRun == 1U);
}

// A run that violates an invariant must fail. Unanswered requests are no violation in scenarios that kill a
// daemon.
BOOST_AUTO_TEST_CASE(countsThatMustBeZeroAreReportedAsViolations)
{
    RunReport report;
    report.scenario = "steady";
    report.load.samples = { { 1s, 20ms, true, true, true, 10 }, { 2s, 40ms, true, true, false, 10 } };
    report.warmupSubrequests = 5;
    report.counters.searches = 27;
    evaluate(report, 1s);
    BOOST_TEST(report.violations.empty());
    BOOST_TEST(report.fullCoveragePercent == 50.0);
    BOOST_TEST(report.extraLoadPercent == 10.0);
    evaluate(report, 2s);
    BOOST_TEST(report.searchMillis.p50 == 40.0);
    report.load.unanswered = 1;
    evaluate(report, 0s);
    BOOST_TEST(report.violations.size() == 1U);
    report.scenario = "kill";
    evaluate(report, 0s);
    BOOST_TEST(report.violations.empty());
    report.counters.overLimit = 2;
    report.scenarioResult.takeOutSeconds = 4.0;
    evaluate(report, 0s);
    BOOST_TEST(report.violations.size() == 2U);
    BOOST_TEST(Json::parse(toJson(report)).at("over_limit_sends") == 2);
    BOOST_TEST(toSvg(report).ends_with("</svg>\n"));
    report.load.samples.clear();
    evaluate(report, 0s);
    BOOST_TEST(report.violations.size() == 3U);
}

// A child process that outlived the benchmark would keep its ports and disturb the next run.
BOOST_AUTO_TEST_CASE(childProcessesAreTerminatedByTheDestructor)
{
    const std::string log = "/dev/null";
    pid_t pid = 0;
    {
        ChildProcess child(
            { "/bin/sh", "-c", "echo ready http=127.0.0.1:7 peer=x; exec sleep 60" }, log, 10s);
        pid = child.pid();
        BOOST_TEST(child.readyValue("http") == "127.0.0.1:7");
        BOOST_TEST(child.readyValue("admin") == "");
        child.signal(SIGSTOP);
    }
    BOOST_TEST(::kill(pid, 0) != 0);
    ChildProcess stopped({ "/bin/sh", "-c", "echo ready x=1; exec sleep 60" }, log, 10s);
    stopped.signal(SIGTERM);
    BOOST_TEST((stopped.wait(10s) == 128 + SIGTERM));
    BOOST_CHECK_THROW(ChildProcess({ "/bin/sh", "-c", "echo no; exit 1" }, log, 10s), std::runtime_error);
    BOOST_CHECK_THROW(ChildProcess({ "/nonexistent" }, log, 10s), std::runtime_error);
}
