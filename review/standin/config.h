#pragma once

#include <string>

namespace review {

/** A route to one service, with the figures of the small deployments. */
struct RouteOptions {
    std::string name;
    std::string service;
    bool idempotent = true;
    unsigned maxAttempts = 2;
    unsigned timeoutMs = 5000;
    unsigned objectiveMs = 500;
    /** Cold phase of the replicas; zero requests a second: without a limit. */
    double warmupSeconds = 0;
    double warmupPerSecond = 0;
};

/** Value of `op/config` with one route on host HOST and prefix /NAME/. */
std::string configuration(unsigned version, const RouteOptions& route, const std::string& host);

} // namespace review
