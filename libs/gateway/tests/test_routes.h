#pragma once

#include "gateway_fixture.h"

#include <string>
#include <vector>

namespace banyancroft::gateway {

inline routing::Route singleRoute(bool idempotent)
{
    routing::Route route;
    route.name = idempotent ? "lookup" : "credit";
    route.host = "h";
    route.pathPrefix = idempotent ? "/lookup/" : "/credit/";
    route.idempotent = idempotent;
    route.timeout = std::chrono::seconds(5);
    route.latencyObjective = std::chrono::milliseconds(500);
    route.maxUpstreams = 2;
    route.split = { { ServiceId("ledger"), 1 } };
    return route;
}

inline routing::Route gatherRoute(std::size_t shards, double minCoverage)
{
    routing::Route route;
    route.name = "sweep";
    route.host = "h";
    route.pathPrefix = "/sweep/";
    route.idempotent = true;
    route.timeout = std::chrono::seconds(5);
    route.latencyObjective = std::chrono::milliseconds(300);
    route.maxUpstreams = 2;
    for (std::size_t i = 0; i < shards; ++i)
        route.gather.shards.emplace_back("shard-" + std::to_string(i));
    route.gather.topRecords = 3;
    route.gather.minCoverage = minCoverage;
    return route;
}

inline routing::Configuration configurationOf(std::vector<routing::Route> routes, std::uint64_t version = 1)
{
    routing::Configuration configuration;
    configuration.version = { version };
    for (const auto& route : routes) {
        auto services = route.gather.shards;
        for (const auto& part : route.split)
            services.push_back(part.service);
        for (const auto& id : services) {
            routing::Service service;
            service.id = id;
            service.maxConnections = 20;
            configuration.services.push_back(service);
        }
    }
    configuration.routes = std::move(routes);
    return configuration;
}

inline FakeReplica::Script serves(const std::string& body)
{
    return [body](const http::RequestHead& head, const std::string&) {
        return FakeResponse { GatewayFixture::signedResponse(head, "s-" + body.substr(0, 4), body) };
    };
}

inline FakeReplica::Script respondsWith(const std::string& bytes, bool close = false)
{
    return [bytes, close](const http::RequestHead&, const std::string&) {
        return FakeResponse { bytes, close };
    };
}

inline FakeReplica::Script neverAnswers() { return respondsWith(""); }

constexpr const char* notRunResponse = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

inline int totalRequests(const GatewayFixture& fixture)
{
    int total = 0;
    for (const auto& replica : fixture.replicas)
        total += replica->receivedRequests();
    return total;
}

} // namespace banyancroft::gateway
