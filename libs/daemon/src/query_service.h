#pragma once

#include "command_result.h"
#include "daemon/settings.h"
#include "entry.h"
#include "http_server.h"
#include "query/statement.h"
#include "telemetry/trace.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace banyancroft::daemon {

/** Metrics shared by the query services of all traffic threads. */
struct QueryMetrics {
    telemetry::Counter& requests;
    telemetry::Counter& rejectedStatements;
    telemetry::Counter& forbidden;
    telemetry::Counter& commands;
};

QueryMetrics makeQueryMetrics(telemetry::Metrics& metrics);

/**
 * Answers HTTP requests of callers and operators on one traffic thread: statements at POST /v1/query, and
 * /healthz, /readyz, /metrics, /v1/traces/ID.
 */
class QueryService {
public:
    struct Hooks {
        std::function<bool()> ready;
        std::function<std::string()> metricsPage;
        /** Runs a command on the control thread; the callback runs on this thread. */
        std::function<void(query::Statement, std::function<void(CommandResult)>)> command;
    };

    QueryService(Entry& entry, telemetry::TraceRing& traces, QueryMetrics metrics, const Settings& settings,
        std::uint64_t seed, Hooks hooks);

    void handle(const HttpRequest& request, HttpServer::Respond respond);

private:
    struct Call;
    using CallPointer = std::shared_ptr<Call>;

    void handleStatement(const HttpRequest& request, HttpServer::Respond respond);
    void run(const CallPointer& call, const query::Search& statement);
    void run(const CallPointer& call, const query::Submit& statement);
    void run(const CallPointer& call, const query::Explain& statement);
    void runCommand(const CallPointer& call, query::Statement statement);
    void finish(const CallPointer& call, unsigned status, std::string body, bool failed);
    bool authorized(const HttpRequest& request) const;

    Entry& entry_;
    telemetry::TraceRing& traces_;
    QueryMetrics metrics_;
    const Settings& settings_;
    std::mt19937_64 random_;
    Hooks hooks_;
};

} // namespace banyancroft::daemon
