#pragma once

#include "net.h"
#include "record.h"

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace banyancroft::review2 {

/** Result of a case; its value is the exit code. */
enum class Outcome {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
};

/** Holds the stand-ins of a case until the program has ended: their threads use them to the last. */
class Stage {
public:
    template <typename StandIn, typename... Arguments> StandIn& make(Arguments&&... arguments)
    {
        auto standIn = std::make_shared<StandIn>(std::forward<Arguments>(arguments)...);
        standIns_.push_back(standIn);
        return *standIn;
    }

private:
    std::vector<std::shared_ptr<void>> standIns_;
};

/**
 * Runs a case and ends the program with its outcome. Arguments of the program: path of the record.
 * With TROUBLE=0 in the environment the disruption is left out.
 */
[[noreturn]] void runCase(int argumentCount, char** arguments,
    const std::function<Outcome(Stage& stage, Record& record, bool hasTrouble)>& run);

struct RouteOptions {
    std::string name;
    std::string service;
    bool isIdempotent = true;
    unsigned timeoutMs = 4000;
    unsigned maxAttempts = 2;
};

struct ServiceOptions {
    std::string name;
    unsigned warmupS = 0;
    unsigned warmupPerS = 0;
};

/** Host of all routes. The prefix of a route is its name between slashes. */
constexpr const char* host = "case.example";

/** A configuration in full, as `op/config` holds it. */
nlohmann::json configuration(unsigned version, const std::vector<RouteOptions>& routes,
    const std::vector<ServiceOptions>& services, unsigned maxBodyBytes = 262'144);

/** A request of a client attempt, with the deadline that it waits. */
std::string clientRequest(const std::string& method, const std::string& path, const std::string& attempt,
    unsigned deadlineMs, std::string_view body = {});

} // namespace banyancroft::review2
