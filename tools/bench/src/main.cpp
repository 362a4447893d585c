#include "cluster.h"
#include "command_line/command_line.h"
#include "load_generator.h"
#include "load_schedule.h"
#include "report.h"
#include "scenario.h"

#include <absl/flags/flag.h>

#include <algorithm>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

ABSL_FLAG(std::string, deployment, "pilak-balik", "pilak-balik or hunangsthak");
ABSL_FLAG(std::string, scenario, "steady", "name of the scenario; --list prints all names");
ABSL_FLAG(bool, list, false, "print the names of the scenarios and exit");
ABSL_FLAG(std::uint64_t, seed, 1, "random seed of the load and the service times");
ABSL_FLAG(double, seconds, 20, "duration of the measured load in seconds");
ABSL_FLAG(double, warmup, 6, "duration of the load before the measured part in seconds");
ABSL_FLAG(double, rate, 100, "requests per second over all daemons");
ABSL_FLAG(std::string, service_time, "lognormal:4ms:0.5",
    "service time of the upstreams; fixed:MEANms, exponential:MEANms or lognormal:MEDIANms:SIGMA");
ABSL_FLAG(int, lease_seconds, 4,
    "store lease of the daemons in seconds; shorter than in production to keep runs short");
ABSL_FLAG(bool, baseline, false,
    "run the daemons without homes (--test-direct) and without hedging (--test-no-hedge)");
ABSL_FLAG(bool, no_hedge, false, "run the daemons without hedging (--test-no-hedge)");
ABSL_FLAG(std::string, json, "", "file to write all results to as JSON");
ABSL_FLAG(std::string, svg, "", "file to write a chart of the run to");
ABSL_FLAG(std::string, programs, "build", "build folder that holds the programs");
ABSL_FLAG(std::string, daemon, "", "path of banyancroftd; default: in the build folder");
ABSL_FLAG(std::string, examples, "examples", "folder with the configuration documents");
ABSL_FLAG(std::string, logs, "out", "folder for the logs of daemons and emulators");

namespace {

using namespace banyancroft;
using namespace banyancroft::tools;

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

ClusterSettings makeSettings(const std::string& variant)
{
    const auto build = absl::GetFlag(FLAGS_programs);
    ClusterSettings settings;
    settings.daemonProgram = absl::GetFlag(FLAGS_daemon);
    if (settings.daemonProgram.empty())
        settings.daemonProgram = build + "/banyancroftd/banyancroftd";
    settings.platformProgram = build + "/tools/platform_emulator/banyancroft-platform-emulator";
    settings.upstreamProgram = build + "/tools/upstream_emulator/banyancroft-upstream-emulator";
    settings.configPath = absl::GetFlag(FLAGS_examples) + "/" + absl::GetFlag(FLAGS_deployment) + ".json";
    settings.logFolder = absl::GetFlag(FLAGS_logs) + "/" + absl::GetFlag(FLAGS_deployment) + "-"
        + absl::GetFlag(FLAGS_scenario) + "-" + variant + "-" + std::to_string(absl::GetFlag(FLAGS_seed));
    settings.serviceTime = absl::GetFlag(FLAGS_service_time);
    settings.lease = std::to_string(absl::GetFlag(FLAGS_lease_seconds)) + "s";
    settings.seed = absl::GetFlag(FLAGS_seed);
    if (variant == "baseline") {
        settings.daemonFlags = { "--test-direct", "--test-no-hedge" };
    } else if (variant == "no-hedge") {
        settings.daemonFlags = { "--test-no-hedge" };
    }
    std::filesystem::remove_all(settings.logFolder);
    std::filesystem::create_directories(settings.logFolder);
    return settings;
}

void writeFile(const std::string& path, const std::string& text)
{
    if (path.empty())
        return;
    std::ofstream file(path);
    file << text;
    if (!file)
        std::fprintf(stderr, "banyancroft-bench: cannot write %s; check the path\n", path.c_str());
}

void printCounts(const char* title, const std::map<std::string, std::uint64_t>& counts)
{
    for (const auto& [reason, count] : counts) {
        std::fprintf(
            stderr, "%s: %llu x %s\n", title, static_cast<unsigned long long>(count), reason.c_str());
    }
}

int run()
{
    constexpr auto readyTimeout = std::chrono::seconds(30);
    // The last step of a scenario may end shortly after the last answer.
    constexpr auto scenarioGracePeriod = std::chrono::milliseconds(500);
    RunReport report;
    report.deployment = absl::GetFlag(FLAGS_deployment);
    report.scenario = absl::GetFlag(FLAGS_scenario);
    report.variant = absl::GetFlag(FLAGS_baseline) ? "baseline"
        : absl::GetFlag(FLAGS_no_hedge)            ? "no-hedge"
                                                   : "homes";
    report.seed = absl::GetFlag(FLAGS_seed);
    report.seconds = absl::GetFlag(FLAGS_seconds);
    report.rate = absl::GetFlag(FLAGS_rate);
    const auto warmup = toDuration(absl::GetFlag(FLAGS_warmup));
    const auto length = toDuration(report.seconds);

    Endpoints endpoints;
    Cluster cluster(makeSettings(report.variant), endpoints);
    cluster.waitReady(readyTimeout);
    LoadSettings load;
    load.seed = report.seed;
    load.rate = report.rate;
    load.length = warmup + length;
    const auto schedule = makeSchedule(cluster.document(), load);
    const AnswerChecker checker(cluster.document());

    const auto start = BootClock::now();
    const std::chrono::seconds lease(absl::GetFlag(FLAGS_lease_seconds));
    auto scenario = std::async(std::launch::async, [&] {
        std::this_thread::sleep_for(warmup);
        report.warmupSubrequests = sumCounters(cluster.upstreamAdmin("/books")).searches;
        return runScenario(report.scenario, cluster, start + warmup, length, lease);
    });
    report.load = runLoad(schedule, checker, endpoints, start);
    const bool scenarioFinished = scenario.wait_for(scenarioGracePeriod) == std::future_status::ready;
    report.scenarioResult = scenario.get();
    if (!scenarioFinished)
        report.scenarioResult.problems.emplace_back("the load ended before the scenario; increase --seconds");
    report.counters = sumCounters(cluster.upstreamAdmin("/books"));
    report.platformCounters = cluster.platformAdmin("/books");
    evaluate(report, warmup);

    std::printf("%s%s", tableHeader().c_str(), tableRow(report).c_str());
    writeFile(absl::GetFlag(FLAGS_json), toJson(report));
    writeFile(absl::GetFlag(FLAGS_svg), toSvg(report));
    for (const auto& problem : report.scenarioResult.problems)
        std::fprintf(stderr, "problem: %s\n", problem.c_str());
    for (const auto& fault : report.load.faults)
        std::fprintf(stderr, "fault: %s\n", fault.c_str());
    printCounts("missing shards", report.load.missingShards);
    printCounts("not done", report.load.reasons);
    return report.violations.empty() ? 0 : 1;
}

/** @return empty, or an error message if a flag is invalid */
std::string checkFlags()
{
    const auto deployment = absl::GetFlag(FLAGS_deployment);
    if (deployment != "pilak-balik" && deployment != "hunangsthak")
        return "--deployment: \"" + deployment + "\" is unknown; give pilak-balik or hunangsthak";
    const auto names = scenarioNames();
    if (std::ranges::find(names, absl::GetFlag(FLAGS_scenario)) == names.end())
        return "--scenario: \"" + absl::GetFlag(FLAGS_scenario) + "\" is unknown; --list prints the names";
    if (absl::GetFlag(FLAGS_seconds) <= 0 || absl::GetFlag(FLAGS_rate) <= 0
        || absl::GetFlag(FLAGS_warmup) < 0)
        return "--seconds and --rate must be positive, --warmup must not be negative";
    return {};
}

} // namespace

int main(int argc, char** argv)
{
    parseCommandLine(argc, argv, "banyancroft-bench",
        "Starts daemons and emulators on loopback, generates load, injects the faults of a scenario and "
        "checks every answer. Exits with status 1 if a count that must be zero is not.");
    if (absl::GetFlag(FLAGS_list)) {
        for (const auto& name : scenarioNames())
            std::printf("%s\n", name.c_str());
        return 0;
    }
    if (const auto problem = checkFlags(); !problem.empty()) {
        std::fprintf(stderr, "banyancroft-bench: %s\n", problem.c_str());
        return 2;
    }
    try {
        return run();
    } catch (const std::exception& problem) {
        std::fprintf(stderr, "banyancroft-bench: %s\n", problem.what());
        return 1;
    }
}
