#include "replica_server.h"

#include "upstream_emulator/rows.h"

#include <boost/asio/steady_timer.hpp>

#include <charconv>

namespace banyancroft::tools {

namespace asio = boost::asio;
using Json = nlohmann::json;
using boost::system::error_code;

namespace {

/** Deadline of a request without X-Deadline-Ms. */
constexpr std::uint64_t defaultDeadlineMillis = 10'000;

std::uint64_t numberHeader(const HttpRequest& request, std::string_view name, std::uint64_t fallback)
{
    const auto text = request.header(name);
    std::uint64_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string joinVersions(const std::vector<std::uint64_t>& versions)
{
    std::string text;
    for (const auto version : versions) {
        if (!text.empty())
            text += ',';
        text += std::to_string(version);
    }
    return text;
}

} // namespace

/** One request that occupies a slot. */
struct ReplicaServer::ActiveRequest {
    ActiveRequest(asio::io_context& ioContext, std::shared_ptr<HttpExchange> requestExchange)
        : timer(ioContext)
        , exchange(std::move(requestExchange))
    {
    }

    std::uint64_t number = 0;
    asio::steady_timer timer;
    std::shared_ptr<HttpExchange> exchange;
    bool clientDisconnected = false;
};

ReplicaServer::ReplicaServer(asio::io_context& ioContext, Replica::Settings settings,
    const std::string& address, std::uint16_t port, Duration connectTime)
    : ioContext_(ioContext)
    , replica_(std::move(settings))
    , http_(ioContext,
          { address, port, connectTime, HttpServer::Options {}.maxBodyBytes,
              [this](const std::string&) {
                  if (http_.connections() < replica_.settings().connections)
                      return true;
                  ++replica_.counters().overConnections;
                  return false;
              } },
          [this](const std::shared_ptr<HttpExchange>& exchange) { receive(exchange); })
{
}

ReplicaServer::~ReplicaServer() = default;

void ReplicaServer::receive(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto& request = exchange->request();
    if (request.target == "/health" && request.method == "GET")
        return exchange->reply({ 200, { { "Content-Type", "application/json" } }, health().dump() });
    if (request.method != "POST")
        return exchange->reply({ 405, {}, {} });
    if (request.target == "/cancel")
        return cancel(*exchange);
    if (request.target == "/search")
        return search(exchange);
    if (request.target == "/submit")
        return submit(exchange);
    exchange->reply({ 404, {}, {} });
}

bool ReplicaServer::shedRequest(HttpExchange& exchange)
{
    if (!replica_.drawPercent(shedPercent_))
        return false;
    ++replica_.counters().shed;
    auto headers = stateHeaders();
    headers.emplace_back("X-Not-Run", "1");
    exchange.reply({ 503, std::move(headers), {} });
    return true;
}

void ReplicaServer::search(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto& request = exchange->request();
    const auto body = Json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("shards") || !body["shards"].is_array()) {
        ++replica_.counters().malformed;
        return exchange->reply({ 400, {}, "the body has no array \"shards\"" });
    }
    if (shedRequest(*exchange))
        return;
    const auto layout
        = Replica::selectVersion(replica_.servedLayouts, numberHeader(request, "X-Layout-Version", 0));
    const auto index
        = Replica::selectVersion(replica_.servedIndexes, numberHeader(request, "X-Index-Version", 0));
    if (layout == 0 || index == 0) {
        ++replica_.counters().wrongVersion;
        auto headers = stateHeaders();
        headers.emplace_back("X-Not-Run", "1");
        return exchange->reply({ 409, std::move(headers), {} });
    }
    std::string rows;
    std::uint64_t left = body.value("limit", std::uint64_t { 0 });
    if (left == 0)
        left = std::numeric_limits<std::uint64_t>::max();
    for (const auto& shard : body["shards"]) {
        const auto name = shard.is_string() ? shard.get<std::string>() : std::string();
        if (!replica_.servesShard(name)) {
            ++replica_.counters().wrongShard;
            return exchange->reply({ 400, {}, "a shard is not served by this upstream" });
        }
        for (unsigned row = 0; row < rowsPerShard && left > 0; ++row, --left)
            rows.append(makeRow(name, layout, index, row)).append("\n");
    }
    HttpReply reply { 200, { { "Content-Type", "application/x-ndjson" } }, std::move(rows) };
    reply.headers.emplace_back("X-Layout-Version", std::to_string(layout));
    reply.headers.emplace_back("X-Index-Version", std::to_string(index));
    start(Replica::RequestKind::Search, exchange, std::move(reply));
}

void ReplicaServer::submit(const std::shared_ptr<HttpExchange>& exchange)
{
    const auto& request = exchange->request();
    const auto body = Json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("operation")) {
        ++replica_.counters().malformed;
        return exchange->reply({ 400, {}, "the body has no \"operation\"" });
    }
    if (shedRequest(*exchange))
        return;
    const std::string key(request.header("Idempotency-Key"));
    if (!key.empty())
        replica_.recordRun(key);
    const Json result { { "result",
        { { "operation", body["operation"] }, { "key", key }, { "upstream", replica_.settings().id } } } };
    start(Replica::RequestKind::Submit, exchange,
        { 200, { { "Content-Type", "application/json" } }, result.dump() });
}

void ReplicaServer::start(
    Replica::RequestKind kind, const std::shared_ptr<HttpExchange>& exchange, HttpReply reply)
{
    const auto now = BootClock::now();
    auto time = replica_.begin(kind, now);
    const std::chrono::milliseconds deadline(
        numberHeader(exchange->request(), "X-Deadline-Ms", defaultDeadlineMillis));
    const bool late = stalled_ || time > deadline;
    if (late)
        time = deadline;
    auto active = std::make_shared<ActiveRequest>(ioContext_, exchange);
    active->number = ++lastRequestNumber_;
    activeRequests_[active->number] = active;
    // A closed connection does not free the slot: the request runs until it ends or is cancelled.
    exchange->onClosed([weak = std::weak_ptr<ActiveRequest>(active)] {
        if (const auto open = weak.lock())
            open->clientDisconnected = true;
    });
    active->timer.expires_after(time);
    active->timer.async_wait([this, active, late, reply = std::move(reply)](error_code failure) mutable {
        if (failure || !activeRequests_.contains(active->number))
            return;
        if (late) {
            ++replica_.counters().deadlineExceeded;
            reply = { 504, {}, {} };
        }
        finish(active, std::move(reply), !late);
    });
}

void ReplicaServer::finish(const std::shared_ptr<ActiveRequest>& active, HttpReply reply, bool answered)
{
    activeRequests_.erase(active->number);
    replica_.end(answered);
    if (active->clientDisconnected) {
        ++replica_.counters().abandoned;
        return;
    }
    if (answered && malformedReplies_ > 0) {
        --malformedReplies_;
        return active->exchange->replyRaw("HTTP/1.1 2\x01\xff garbage\r\nX-Boot-Id\r\n\r\n\x7f{");
    }
    for (auto& header : stateHeaders())
        reply.headers.push_back(std::move(header));
    active->exchange->reply(std::move(reply));
}

void ReplicaServer::cancel(HttpExchange& exchange)
{
    const auto id = exchange.request().header("X-Request-Id");
    for (const auto& [number, active] : activeRequests_) {
        if (id.empty() || active->exchange->request().header("X-Request-Id") != id)
            continue;
        ++replica_.counters().cancelled;
        const auto cancelled = active;
        cancelled->timer.cancel();
        activeRequests_.erase(number);
        replica_.end(false);
        // Without X-Not-Run, since the request had already started.
        cancelled->exchange->reply({ 503, stateHeaders(), "cancelled" });
        break;
    }
    exchange.reply({ 200, {}, {} });
}

std::vector<HttpHeader> ReplicaServer::stateHeaders() const
{
    return { { "X-Boot-Id", replica_.bootId() }, { "X-Cold", replica_.cold(BootClock::now()) ? "1" : "0" },
        { "X-Load", std::to_string(replica_.running()) },
        { "X-Served-Index", joinVersions(replica_.servedIndexes) },
        { "X-Served-Layout", joinVersions(replica_.servedLayouts) } };
}

Json ReplicaServer::health()
{
    const char* state = replica_.draining ? "draining" : replica_.cold(BootClock::now()) ? "cold" : "warm";
    Json result { { "state", state }, { "boot", replica_.bootId() }, { "load", replica_.running() },
        { "slots", replica_.settings().slots }, { "index", replica_.servedIndexes },
        { "layout", replica_.servedLayouts } };
    result.update(healthOverride_);
    return result;
}

std::string ReplicaServer::command(const std::string& name, const Json& body)
{
    if (name == "/restart") {
        restart(body);
    } else if (name == "/straggle") {
        const auto factor = body.at("factor").get<double>();
        if (factor <= 0)
            return "factor must be positive";
        replica_.slowdownFactor = factor;
    } else if (name == "/drain") {
        replica_.draining = body.at("on").get<bool>();
    } else if (name == "/serve") {
        if (body.contains("index"))
            replica_.servedIndexes = body["index"].get<std::vector<std::uint64_t>>();
        if (body.contains("layout"))
            replica_.servedLayouts = body["layout"].get<std::vector<std::uint64_t>>();
    } else if (name == "/health") {
        // "freeze" repeats the present report, as from a health endpoint that lags behind.
        healthOverride_ = body.value("freeze", false) ? health() : body.value("override", Json::object());
        if (!healthOverride_.is_object())
            healthOverride_ = Json::object();
    } else if (name == "/stall") {
        stalled_ = body.at("on").get<bool>();
    } else if (name == "/garbage") {
        malformedReplies_ = body.at("answers").get<unsigned>();
    } else if (name == "/shed") {
        shedPercent_ = body.at("percent").get<double>();
    } else {
        return "unknown command " + name;
    }
    return {};
}

void ReplicaServer::restart(const Json& body)
{
    const auto interrupted = std::exchange(activeRequests_, {});
    for (const auto& [number, active] : interrupted)
        active->timer.cancel();
    replica_.restart(body.value("cold_answers", std::uint64_t { 0 }),
        std::chrono::milliseconds(body.value("cold_ms", 0U)), BootClock::now());
    const auto down = std::chrono::milliseconds(body.value("down_ms", 0U));
    if (down.count() == 0)
        return http_.resetConnections();
    http_.stopListening();
    http_.resetConnections();
    auto timer = std::make_shared<asio::steady_timer>(ioContext_, down);
    timer->async_wait([this, timer](error_code failure) {
        if (!failure)
            http_.listen();
    });
}

Json ReplicaServer::counters()
{
    const auto& settings = replica_.settings();
    const auto& counters = replica_.counters();
    return { { "upstream", settings.id }, { "service", settings.service }, { "group", settings.group },
        { "zone", settings.zone }, { "searches", counters.searches }, { "submits", counters.submits },
        { "max_running", counters.maxRunning }, { "running", replica_.running() },
        { "over_limit", counters.overLimit }, { "over_cold_limit", counters.overColdLimit },
        { "over_connections", counters.overConnections }, { "cancelled", counters.cancelled },
        { "deadline_exceeded", counters.deadlineExceeded }, { "abandoned", counters.abandoned },
        { "shed", counters.shed }, { "wrong_version", counters.wrongVersion },
        { "wrong_shard", counters.wrongShard }, { "malformed", counters.malformed },
        { "runs", counters.runs }, { "last_work_ns", counters.lastRequest.time_since_epoch().count() },
        { "connections", http_.connections() } };
}

} // namespace banyancroft::tools
