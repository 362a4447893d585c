#include "query_service.h"

#include "answer_json.h"
#include "hop_spans.h"
#include "query/parser.h"
#include "telemetry/log.h"

#include <nlohmann/json.hpp>

namespace banyancroft::daemon {

namespace {

using telemetry::log;
using telemetry::LogLevel;

constexpr std::string_view traceTarget = "/v1/traces/";
constexpr std::string_view bearerPrefix = "Bearer ";
// Statements are truncated to this length in logs and explain records, so that one caller cannot fill them.
constexpr std::size_t maxRecordedStatementBytes = 512;

unsigned httpStatus(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return 200;
    case Outcome::NotRun:
        return 503;
    case Outcome::Unknown:
        return 504;
    }
    return 500;
}

unsigned httpStatus(const CommandResult& result)
{
    switch (result.error.kind) {
    case ErrorKind::None:
        return 200;
    case ErrorKind::InvalidInput:
        return 400;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::Conflict:
        return 409;
    case ErrorKind::Forbidden:
        return 403;
    case ErrorKind::Internal:
    case ErrorKind::MalformedMessage:
        return 500;
    case ErrorKind::TimedOut:
    case ErrorKind::Unavailable:
    case ErrorKind::Overloaded:
        break;
    }
    return result.unknown ? 504 : 503;
}

// Compares in a time that does not depend on where the texts differ, so that response times reveal no secret.
bool equalsInConstantTime(std::string_view left, std::string_view right)
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i)
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    return difference == 0;
}

bool exceedsSizeLimit(std::string_view statement)
{
    const bool loadsConfig = statement.substr(0, statement.find_first_of(" \t\n")) == "load";
    return statement.size() > (loadsConfig ? query::maxLoadConfigBytes : query::maxStatementBytes);
}

HttpResponse plainText(unsigned status, std::string body)
{
    return { status, "text/plain; charset=utf-8", std::move(body) };
}

} // namespace

/** A statement that is being processed. */
struct QueryService::Call {
    HttpServer::Respond respond;
    telemetry::TraceContext trace;
    std::string parentSpan;
    std::string statement;
    std::string_view spanName;
    std::uint64_t startNanos = 0;
    TimePoint startedAt {};

    Duration elapsed() const { return BootClock::now() - startedAt; }
};

QueryMetrics makeQueryMetrics(telemetry::Metrics& metrics)
{
    return {
        metrics.counter("banyancroft_http_requests_total", "HTTP requests read"),
        metrics.counter("banyancroft_rejected_statements_total", "Statements with an error"),
        metrics.counter("banyancroft_forbidden_total", "Operators' commands without the credential"),
        metrics.counter("banyancroft_commands_total", "Operators' commands begun"),
    };
}

QueryService::QueryService(Entry& entry, telemetry::TraceRing& traces, QueryMetrics metrics,
    const Settings& settings, std::uint64_t seed, Hooks hooks)
    : entry_(entry)
    , traces_(traces)
    , metrics_(metrics)
    , settings_(settings)
    , random_(seed)
    , hooks_(std::move(hooks))
{
}

void QueryService::handle(const HttpRequest& request, HttpServer::Respond respond)
{
    metrics_.requests.add();
    const std::string_view target = request.target;
    if (target == "/v1/query") {
        if (request.method != "POST")
            return respond(plainText(405, "send the statement by POST\n"));
        return handleStatement(request, std::move(respond));
    }
    if (request.method != "GET")
        return respond(plainText(405, "use GET here, or POST /v1/query\n"));
    if (target == "/healthz")
        return respond(plainText(200, "ok\n"));
    if (target == "/readyz")
        return respond(hooks_.ready() ? plainText(200, "ready\n") : plainText(503, "not ready\n"));
    if (target == "/metrics")
        return respond({ 200, "text/plain; version=0.0.4; charset=utf-8", hooks_.metricsPage() });
    if (target.starts_with(traceTarget)) {
        const auto spans = traces_.spans(std::string(target.substr(traceTarget.size())));
        if (!spans.empty())
            return respond({ 200, "application/json", telemetry::toOtlpJson(spans, settings_.vm.view()) });
    }
    respond(plainText(404, "not found; statements go to POST /v1/query\n"));
}

bool QueryService::authorized(const HttpRequest& request) const
{
    std::string_view value = request.authorization;
    if (settings_.operatorToken.empty() || !value.starts_with(bearerPrefix))
        return false;
    value.remove_prefix(bearerPrefix.size());
    return equalsInConstantTime(value, settings_.operatorToken);
}

void QueryService::handleStatement(const HttpRequest& request, HttpServer::Respond respond)
{
    auto call = std::make_shared<Call>();
    call->respond = std::move(respond);
    call->trace = telemetry::startSpan(request.traceparent, [this] { return random_(); });
    if (auto parent = telemetry::parseTraceparent(request.traceparent))
        call->parentSpan = parent->spanId;
    call->startNanos = unixNanos();
    call->startedAt = BootClock::now();
    call->statement = request.body.substr(0, maxRecordedStatementBytes);
    call->spanName = "statement";

    Error reason;
    auto statement = query::parseStatement(request.body, reason);
    if (!statement) {
        metrics_.rejectedStatements.add();
        const unsigned status = exceedsSizeLimit(request.body) ? 413 : 400;
        return finish(call, status, errorJson(reason, call->trace.traceId), true);
    }
    if (query::isOperatorCommand(*statement) && !authorized(request)) {
        metrics_.forbidden.add();
        const Error error { ErrorKind::Forbidden, "operators' commands need a credential",
            "send the header Authorization: Bearer TOKEN" };
        return finish(call, 401, errorJson(error, call->trace.traceId), true);
    }
    if (const auto* search = std::get_if<query::Search>(&*statement))
        return run(call, *search);
    if (const auto* submit = std::get_if<query::Submit>(&*statement))
        return run(call, *submit);
    if (const auto* explain = std::get_if<query::Explain>(&*statement))
        return run(call, *explain);
    runCommand(call, std::move(*statement));
}

void QueryService::run(const CallPointer& call, const query::Search& statement)
{
    call->spanName = "search";
    const auto* document = entry_.document();
    if (!document) {
        const Error error { ErrorKind::Unavailable, "no configuration is known yet",
            "try another daemon, or load a configuration" };
        return finish(call, 503, errorJson(error, call->trace.traceId), true);
    }
    const bool known = std::any_of(document->collections.begin(), document->collections.end(),
        [&](const auto& collection) { return collection.name == statement.collection; });
    if (!known) {
        const Error error { ErrorKind::NotFound, "no collection is named \"" + statement.collection + "\"",
            "ask for a collection of the configuration; see show coverage" };
        return finish(call, 404, errorJson(error, call->trace.traceId), true);
    }
    search::SearchRequest request;
    request.collection = statement.collection;
    request.where = statement.where;
    request.limit = statement.limit.value_or(0);
    request.deadline = call->startedAt + statement.deadline.value_or(document->policy.defaultDeadline);
    request.requireAll = statement.requireAll;
    request.ownZone = settings_.zone;
    request.traceparent = call->trace.traceparent();
    entry_.search(std::move(request), [this, call](const search::Answer& answer) {
        const bool refused = answer.refusal != Reason::None;
        traces_.setExplainRecord(call->trace.traceId, explainJson(answer, call->statement, call->elapsed()));
        finish(call, refused ? 503 : 200, toJson(answer, call->trace.traceId), refused || !answer.complete);
    });
}

void QueryService::run(const CallPointer& call, const query::Submit& statement)
{
    call->spanName = "submit";
    const auto* document = entry_.document();
    SubmitCall submit { statement.operation, statement.key, statement.payload, {},
        call->trace.traceparent() };
    const Duration longest = document ? document->policy.maxDeadline : Duration(std::chrono::seconds(2));
    submit.deadline = call->startedAt + std::min(longest, statement.deadline.value_or(longest));
    if (document) {
        auto operation = std::find_if(document->operations.begin(), document->operations.end(),
            [&](const auto& candidate) { return candidate.name == statement.operation; });
        const bool needsKey = operation != document->operations.end() && operation->nonIdempotent;
        if (needsKey && statement.key.empty()) {
            const Error error { ErrorKind::InvalidInput,
                statement.operation + " is not idempotent and needs a key",
                "add key \"…\" after the operation; use the same key for the same work" };
            return finish(call, 400, errorJson(error, call->trace.traceId), true);
        }
    }
    entry_.submit(std::move(submit), [this, call](const SubmitResult& result) {
        traces_.setExplainRecord(call->trace.traceId, explainJson(result, call->statement, call->elapsed()));
        if (result.unknownOperation) {
            const Error error { ErrorKind::NotFound, "the operation is not in the configuration in force",
                "ask for an operation of the configuration; see show config" };
            return finish(call, 404, errorJson(error, call->trace.traceId), true);
        }
        if (result.keyMismatch) {
            const Error error { ErrorKind::Conflict, "the key was used for another operation or payload",
                "use a new key for new work" };
            return finish(call, 409, errorJson(error, call->trace.traceId), true);
        }
        finish(call, httpStatus(result.outcome), toJson(result, call->trace.traceId),
            result.outcome != Outcome::Done);
    });
}

void QueryService::run(const CallPointer& call, const query::Explain& statement)
{
    call->spanName = "explain";
    auto record = traces_.explainRecord(statement.traceId);
    if (!record) {
        const Error error { ErrorKind::NotFound, "this daemon keeps no record of trace " + statement.traceId,
            "ask the daemon that answered the query; old records are dropped" };
        return finish(call, 404, errorJson(error, call->trace.traceId), true);
    }
    finish(call, 200, toJson(CommandResult { {}, false, *record }, call->trace.traceId), false);
}

void QueryService::runCommand(const CallPointer& call, query::Statement statement)
{
    call->spanName = "command";
    metrics_.commands.add();
    hooks_.command(std::move(statement), [this, call](const CommandResult& result) {
        log(LogLevel::Info, "command", "command finished",
            { { "trace", call->trace.traceId }, { "statement", call->statement },
                { "error", std::string(toString(result.error.kind)) } });
        finish(
            call, httpStatus(result), toJson(result, call->trace.traceId), static_cast<bool>(result.error));
    });
}

void QueryService::finish(const CallPointer& call, unsigned status, std::string body, bool failed)
{
    telemetry::Span span;
    span.context = call->trace;
    span.parentSpanId = call->parentSpan;
    span.name = std::string(call->spanName);
    span.startUnixNanos = call->startNanos;
    span.endUnixNanos = unixNanos();
    span.attributes.push_back({ "http.status_code", std::to_string(status) });
    span.failed = failed;
    if (call->trace.sampled)
        traces_.addSpan(std::move(span));
    if (telemetry::logEnabled(LogLevel::Debug))
        log(LogLevel::Debug, "query", "answered",
            { { "trace", call->trace.traceId }, { "status", std::to_string(status) },
                { "millis", std::to_string(toMillis(call->elapsed())) } });
    call->respond({ status, "application/json", std::move(body) });
}

} // namespace banyancroft::daemon
