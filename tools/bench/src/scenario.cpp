#include "scenario.h"

#include "counter_totals.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <functional>
#include <future>
#include <stdexcept>
#include <thread>

namespace banyancroft::tools {

using Json = nlohmann::json;

namespace {

/** Index of the daemon that scenarios with a single faulty daemon use. */
constexpr std::size_t faultedDaemon = 3;
/** Index into Document::zones of the zone that is taken out or restarted. */
constexpr std::size_t takenOutZone = 1;
constexpr auto stopTimeout = std::chrono::seconds(35);
constexpr double stragglerFactor = 10.0;
constexpr unsigned coldAnswers = 40;
constexpr unsigned downMillis = 500;
constexpr unsigned raceRounds = 5;
constexpr unsigned concurrentOperators = 4;
constexpr unsigned statusAccepted = 200;
/** Time that a daemon stays stopped after its lease has expired. */
constexpr auto freezeMargin = std::chrono::seconds(2);
/** Time in which a daemon has to write the newer configuration back to an older store. */
constexpr auto rollForwardTimeout = std::chrono::seconds(5);

/** Executes the steps of a scenario. */
class ScenarioRunner {
public:
    ScenarioRunner(Cluster& cluster, TimePoint start, Duration length, Duration lease)
        : cluster_(cluster)
        , start_(start)
        , length_(length)
        , lease_(lease)
    {
    }

    void steady() { }

    void straggler()
    {
        waitUntil(0.2);
        const auto& group = cluster_.document().services.at(0).groups.at(0);
        const Json body { { "upstream", group.upstreams.at(0).id.str() }, { "factor", stragglerFactor } };
        cluster_.upstreamAdmin("/straggle", body.dump());
        waitUntil(0.8);
        cluster_.upstreamAdmin("/straggle", R"({"factor":1})");
    }

    void coldRestart()
    {
        const auto& service = cluster_.document().services.at(0);
        waitUntil(0.25);
        Json body { { "service", service.id.str() },
            { "zone", cluster_.document().zones.at(takenOutZone).id.str() },
            { "cold_answers", coldAnswers } };
        cluster_.upstreamAdmin("/restart", body.dump());
        waitUntil(0.6);
        body = { { "upstream", service.groups.at(0).upstreams.at(0).id.str() },
            { "cold_answers", coldAnswers }, { "down_ms", downMillis } };
        cluster_.upstreamAdmin("/restart", body.dump());
    }

    void zoneOutAndBack()
    {
        waitUntil(0.25);
        const auto accepted = takeOut();
        waitUntil(0.65);
        measureTakeOut(accepted);
        requireAccepted(0, "return zone " + zone());
    }

    void rollingRestart()
    {
        waitUntil(0.1);
        for (std::size_t daemon = 0; daemon < Endpoints::daemonCount; ++daemon) {
            const auto status = cluster_.restartDaemon(daemon, stopTimeout);
            if (status == 0)
                continue;
            ++result_.failedStops;
            result_.problems.push_back(cluster_.vmOf(daemon) + ": exit status of the planned stop: "
                + (status ? std::to_string(*status) : std::string("none within the timeout")));
        }
    }

    void platformOutage()
    {
        waitUntil(0.2);
        cluster_.platformAdmin("/outage", R"({"mode":"refuse"})");
        waitUntil(0.8);
        cluster_.platformAdmin("/outage", R"({"mode":"off"})");
    }

    void kill()
    {
        waitUntil(0.25);
        cluster_.killDaemon(faultedDaemon);
        waitUntil(0.7);
        cluster_.startDaemon(faultedDaemon);
    }

    void freeze()
    {
        waitUntil(0.25);
        cluster_.daemon(faultedDaemon).signal(SIGSTOP);
        std::this_thread::sleep_for(lease_ + freezeMargin);
        cluster_.daemon(faultedDaemon).signal(SIGCONT);
    }

    /** Group by group, adds the new index version and then removes the old one. */
    void indexChange()
    {
        serveIndexes(0.2, { 1, 2 });
        serveIndexes(0.6, { 2 });
    }

    /** Several operators change the same version concurrently; exactly one may be accepted. */
    void operatorRace()
    {
        waitUntil(0.2);
        for (unsigned round = 0; round < raceRounds; ++round) {
            const auto document = cluster_.storedDocument();
            const auto version = document.version.value;
            std::vector<std::future<unsigned>> statuses;
            for (unsigned operatorIndex = 0; operatorIndex < concurrentOperators; ++operatorIndex) {
                // Each operator changes a different service, since two equal changes could both count as
                // accepted.
                const auto& service = document.services.at(operatorIndex % document.services.size());
                const auto limit = service.coldLimit < service.slots ? service.coldLimit + 1 : 1U;
                const auto statement = "set service " + service.id.str() + " cold_limit "
                    + std::to_string(limit) + " if version " + std::to_string(version);
                statuses.push_back(std::async(std::launch::async, [this, operatorIndex, statement] {
                    return cluster_.executeStatement(operatorIndex, statement).status;
                }));
            }
            unsigned accepted = 0;
            for (auto& status : statuses)
                accepted += status.get() == statusAccepted ? 1 : 0;
            const auto now = cluster_.storedVersion();
            if (accepted == 1 && now == version + 1)
                continue;
            ++result_.lostChanges;
            result_.problems.push_back(std::to_string(accepted) + " of " + std::to_string(concurrentOperators)
                + " changes of version " + std::to_string(version)
                + " were accepted; the version in the store is " + std::to_string(now));
        }
    }

    void storeReturnsOlder()
    {
        waitUntil(0.15);
        cluster_.platformAdmin("/snapshot", R"({"name":"older"})");
        const auto accepted = takeOut();
        const auto version = cluster_.storedVersion();
        waitUntil(0.45);
        cluster_.platformAdmin("/restore", R"({"name":"older"})");
        const auto deadline = BootClock::now() + rollForwardTimeout;
        while (cluster_.storedVersion() < version) {
            if (BootClock::now() >= deadline) {
                ++result_.lostChanges;
                result_.problems.emplace_back(
                    "no daemon wrote the newer configuration back to the restored store in time");
                break;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        waitUntil(0.9);
        measureTakeOut(accepted);
    }

    ScenarioResult result() { return std::move(result_); }

private:
    std::string zone() const { return cluster_.document().zones.at(takenOutZone).id.str(); }

    void waitUntil(double share)
    {
        const auto due = start_ + std::chrono::duration_cast<Duration>(length_ * share);
        const auto left = due - BootClock::now();
        if (left > Duration::zero())
            std::this_thread::sleep_for(left);
    }

    void requireAccepted(std::size_t daemon, const std::string& statement)
    {
        const auto answer = cluster_.executeStatement(daemon, statement);
        if (answer.status != statusAccepted) {
            throw std::runtime_error(
                statement + " was not accepted: status " + std::to_string(answer.status) + " " + answer.body);
        }
    }

    TimePoint takeOut()
    {
        requireAccepted(0, "take out zone " + zone());
        return BootClock::now();
    }

    void measureTakeOut(TimePoint accepted)
    {
        const auto counters = sumCounters(cluster_.upstreamAdmin("/books"));
        const auto last = counters.zoneLastRequest.at(zone());
        result_.takeOutSeconds = std::max(0.0, std::chrono::duration<double>(last - accepted).count());
    }

    void serveIndexes(double from, const std::vector<std::uint64_t>& versions)
    {
        std::vector<std::string> groups;
        for (const auto& service : cluster_.document().services) {
            for (const auto& group : service.groups)
                groups.push_back(group.id.str());
        }
        constexpr double share = 0.2;
        for (std::size_t index = 0; index < groups.size(); ++index) {
            waitUntil(from + share * static_cast<double>(index) / static_cast<double>(groups.size()));
            cluster_.upstreamAdmin(
                "/serve", Json { { "group", groups[index] }, { "index", versions } }.dump());
        }
    }

    Cluster& cluster_;
    TimePoint start_;
    Duration length_;
    Duration lease_;
    ScenarioResult result_;
};

struct Scenario {
    const char* name;
    void (ScenarioRunner::*run)();
    bool allowsUnansweredRequests;
};

constexpr std::array scenarios {
    Scenario { "steady", &ScenarioRunner::steady, false },
    Scenario { "straggler", &ScenarioRunner::straggler, false },
    Scenario { "cold-restart", &ScenarioRunner::coldRestart, false },
    Scenario { "zone-out-and-back", &ScenarioRunner::zoneOutAndBack, false },
    Scenario { "rolling-restart", &ScenarioRunner::rollingRestart, false },
    Scenario { "platform-outage", &ScenarioRunner::platformOutage, false },
    Scenario { "kill", &ScenarioRunner::kill, true },
    Scenario { "freeze", &ScenarioRunner::freeze, true },
    Scenario { "index-change", &ScenarioRunner::indexChange, false },
    Scenario { "operator-race", &ScenarioRunner::operatorRace, false },
    Scenario { "store-returns-older", &ScenarioRunner::storeReturnsOlder, false },
};

const Scenario& find(std::string_view name)
{
    const auto* scenario = std::ranges::find(scenarios, name, &Scenario::name);
    if (scenario == scenarios.end())
        throw std::runtime_error("scenario \"" + std::string(name) + "\" is unknown");
    return *scenario;
}

} // namespace

std::vector<std::string> scenarioNames()
{
    std::vector<std::string> names;
    names.reserve(scenarios.size());
    for (const auto& scenario : scenarios)
        names.emplace_back(scenario.name);
    return names;
}

bool allowsUnansweredRequests(std::string_view scenario) { return find(scenario).allowsUnansweredRequests; }

ScenarioResult runScenario(
    std::string_view name, Cluster& cluster, TimePoint start, Duration length, Duration lease)
{
    ScenarioRunner runner(cluster, start, length, lease);
    std::string problem;
    try {
        (runner.*find(name).run)();
    } catch (const std::exception& failure) {
        problem = failure.what();
    }
    auto result = runner.result();
    if (!problem.empty())
        result.problems.push_back(problem);
    return result;
}

} // namespace banyancroft::tools
