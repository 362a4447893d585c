#include "config.h"

#include <nlohmann/json.hpp>

namespace review {

std::string configuration(unsigned version, const RouteOptions& route, const std::string& host)
{
    using Json = nlohmann::json;
    const Json entry { { "name", route.name }, { "hostname", host }, { "prefix", "/" + route.name + "/" },
        { "service", route.service }, { "routeType", route.idempotent ? "idempotent" : "non_idempotent" },
        { "timeoutMs", route.timeoutMs }, { "targetLatencyMs", route.objectiveMs },
        { "maxAttempts", route.maxAttempts }, { "priority", 2 } };
    Json service { { "name", route.service }, { "healthPath", "/health" }, { "maxConns", 110 } };
    if (route.warmupPerSecond > 0) {
        service["warmupS"] = route.warmupSeconds;
        service["warmupPerS"] = route.warmupPerSecond;
    }
    const Json limits { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 262144 }, { "headerTimeoutMs", 2000 },
        { "idleTimeoutMs", 15000 } };
    return Json {
        { "version", version }, { "routes", Json::array({ entry }) },
        { "services", Json::array({ service }) }, { "limits", limits }
    }.dump();
}

} // namespace review
