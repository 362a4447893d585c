#include "scenario.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <unistd.h>

namespace banyancroft::review2 {

namespace {

constexpr unsigned longestRunS = 115;

void giveUp(int /*signal*/) { ::_exit(static_cast<int>(Outcome::CouldNotRun)); }

} // namespace

void runCase(int argumentCount, char** arguments,
    const std::function<Outcome(Stage& stage, Record& record, bool hasTrouble)>& run)
{
    auto outcome = Outcome::CouldNotRun;
    ::signal(SIGPIPE, SIG_IGN);
    ::signal(SIGALRM, giveUp);
    ::alarm(longestRunS);
    seconds();
    const char* trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string(trouble) != "0";
    if (argumentCount == 2) {
        Record record(arguments[1]);
        Stage stage;
        try {
            outcome = run(stage, record, hasTrouble);
        } catch (const std::exception& error) {
            record.say(std::string("could not run: ") + error.what());
        }
        record.say(outcome == Outcome::Held  ? "held"
                : outcome == Outcome::Broken ? "BROKEN"
                                             : "could not run");
        // Threads of the stand-ins still run; they end with the program.
        ::_exit(static_cast<int>(outcome));
    }
    ::_exit(static_cast<int>(outcome));
}

nlohmann::json configuration(unsigned version, const std::vector<RouteOptions>& routes,
    const std::vector<ServiceOptions>& services, unsigned maxBodyBytes)
{
    auto routeList = nlohmann::json::array();
    for (const auto& route : routes) {
        routeList.push_back(
            { { "name", route.name }, { "hostname", host }, { "prefix", "/" + route.name + "/" },
                { "routeType", route.isIdempotent ? "idempotent" : "non_idempotent" },
                { "timeoutMs", route.timeoutMs }, { "targetLatencyMs", 300 },
                { "maxAttempts", route.maxAttempts }, { "priority", 0 }, { "service", route.service } });
    }
    auto serviceList = nlohmann::json::array();
    for (const auto& service : services) {
        serviceList.push_back({ { "name", service.name }, { "healthPath", "/health" }, { "maxConns", 400 },
            { "warmupS", service.warmupS }, { "warmupPerS", service.warmupPerS } });
    }
    return { { "version", version }, { "routes", routeList }, { "services", serviceList },
        { "limits",
            { { "maxHeaderBytes", 16'384 }, { "maxBodyBytes", maxBodyBytes }, { "headerTimeoutMs", 3000 },
                { "idleTimeoutMs", 15'000 } } } };
}

std::string clientRequest(const std::string& method, const std::string& path, const std::string& attempt,
    unsigned deadlineMs, std::string_view body)
{
    return serialise(method + " " + path + " HTTP/1.1",
        { { "Host", host }, { "X-Attempt-Id", attempt }, { "X-Deadline-Ms", std::to_string(deadlineMs) } },
        body);
}

} // namespace banyancroft::review2
