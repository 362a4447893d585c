#include "platform_emulator/platform_emulator.h"

#include "http_server/http_server.h"
#include "platform_emulator/etcd_gateway.h"

#include <boost/asio/steady_timer.hpp>

#include <nlohmann/json.hpp>

#include <list>
#include <map>
#include <set>

namespace banyancroft::tools {

namespace asio = boost::asio;
using Json = nlohmann::json;
using boost::system::error_code;

namespace {

// Short compared with lease times, which are whole seconds.
constexpr auto leaseCheckPeriod = std::chrono::milliseconds(100);

enum class Outage { Off, Refuse, Stall };

struct Watcher {
    std::shared_ptr<HttpExchange> exchange;
    WatchRequest request;
    /** First revision that has not been sent. */
    std::int64_t nextRevision = 0;
    bool ended = false;
};

} // namespace

class PlatformEmulator::Impl {
public:
    Impl(asio::io_context& ioContext, const Options& options)
        : ioContext_(ioContext)
        , leaseTimer_(ioContext)
        , gateway_(state_)
        , http_(ioContext,
              { options.address, options.httpPort, {}, HttpServer::Options {}.maxBodyBytes,
                  [this](const std::string& remote) { return !blockedClients_.contains(remote); } },
              [this](std::shared_ptr<HttpExchange> exchange) { receive(std::move(exchange)); })
        , admin_(ioContext,
              { options.address, options.adminPort, {}, HttpServer::Options {}.maxBodyBytes, {} },
              [this](const std::shared_ptr<HttpExchange>& exchange) { handleAdminRequest(*exchange); })
    {
        checkLeases();
    }

    std::uint16_t httpPort() const { return http_.port(); }
    std::uint16_t adminPort() const { return admin_.port(); }

private:
    void checkLeases()
    {
        leaseTimer_.expires_after(leaseCheckPeriod);
        leaseTimer_.async_wait([this](error_code failure) {
            if (failure)
                return;
            // Clients cannot renew during an outage; setOutage() removes expired leases when it ends.
            if (outage_ == Outage::Off)
                state_.expireLeases(BootClock::now());
            deliverEvents();
            checkLeases();
        });
    }

    void receive(std::shared_ptr<HttpExchange> exchange)
    {
        const auto& request = exchange->request();
        if (blockedClients_.contains(std::string(request.header("X-Client-Name")))
            || blockedClients_.contains(request.remoteAddress)) {
            ++calls_["cut"];
            return exchange->reset();
        }
        if (outage_ == Outage::Stall) {
            ++calls_["stalled"];
            stalled_.push_back(std::move(exchange));
            return;
        }
        if (latency_.count() == 0)
            return serve(exchange);
        auto timer = std::make_shared<asio::steady_timer>(ioContext_, latency_);
        timer->async_wait([this, timer, exchange](error_code failure) {
            if (!failure)
                serve(exchange);
        });
    }

    void serve(const std::shared_ptr<HttpExchange>& exchange)
    {
        const auto& request = exchange->request();
        ++calls_[request.target];
        if (request.method != "POST")
            return exchange->reply({ 405, {}, {} });
        if (request.target == "/v3/watch")
            return startWatch(exchange);
        auto result = gateway_.handle(request.target, request.body, BootClock::now());
        deliverEvents();
        if (result.wrote)
            ++calls_["writes"];
        if (result.wrote && repliesToDrop_ > 0) {
            --repliesToDrop_;
            ++calls_["lost_replies"];
            return exchange->reset();
        }
        result.reply.headers.emplace_back("Content-Type", "application/json");
        exchange->reply(std::move(result.reply));
    }

    void startWatch(const std::shared_ptr<HttpExchange>& exchange)
    {
        const auto request = EtcdGateway::parseWatch(exchange->request().body);
        if (!request)
            return exchange->reply({ 400, {}, R"({"error":"no create_request","code":3})" });
        auto watcher = std::make_shared<Watcher>();
        watcher->exchange = exchange;
        watcher->request = *request;
        watcher->nextRevision = request->startRevision == 0 ? state_.revision() + 1 : request->startRevision;
        exchange->onClosed([this, watcher] { watchers_.remove(watcher); });
        exchange->startStream(
            { 200, { { "Content-Type", "application/json" } }, gateway_.encodeWatchCreated() });
        watchers_.push_back(watcher);
        deliverEvents();
    }

    void deliverEvents()
    {
        if (outage_ != Outage::Off)
            return;
        for (const auto& watcher : watchers_) {
            if (watcher->ended || watcher->nextRevision > state_.revision())
                continue;
            if (watcher->nextRevision <= state_.compactRevision()) {
                watcher->ended = true;
                watcher->exchange->sendChunk(gateway_.encodeCompacted());
                continue;
            }
            const auto events = state_.eventsSince(watcher->nextRevision, watcher->request.range);
            watcher->nextRevision = state_.revision() + 1;
            if (!events.empty())
                watcher->exchange->sendChunk(gateway_.encodeEvents(events));
        }
    }

    void setOutage(Outage outage)
    {
        const bool recovered = outage_ != Outage::Off && outage == Outage::Off;
        outage_ = outage;
        if (outage == Outage::Refuse) {
            http_.stopListening();
            http_.resetConnections();
        } else {
            http_.listen();
        }
        if (!recovered)
            return;
        // Stalled calls are reset, as by a proxy whose backend was unavailable.
        for (const auto& exchange : std::exchange(stalled_, {}))
            exchange->reset();
        state_.expireLeases(BootClock::now());
        deliverEvents();
    }

    void handleAdminRequest(HttpExchange& exchange)
    {
        const auto& request = exchange.request();
        if (request.method == "GET" && request.target == "/books")
            return exchange.reply({ 200, {}, counters().dump() });
        try {
            const auto body = request.body.empty() ? Json::object() : Json::parse(request.body);
            if (const auto problem = command(request.target, body); !problem.empty())
                return exchange.reply({ 400, {}, problem });
            exchange.reply({ 200, {}, "{}" });
        } catch (const Json::exception& problem) {
            exchange.reply({ 400, {}, problem.what() });
        }
    }

    /** @return empty, or what is wrong with the command */
    std::string command(const std::string& target, const Json& body)
    {
        if (target == "/outage") {
            const auto mode = body.at("mode").get<std::string>();
            if (mode != "off" && mode != "refuse" && mode != "stall")
                return "mode must be off, refuse or stall";
            setOutage(mode == "off" ? Outage::Off : mode == "refuse" ? Outage::Refuse : Outage::Stall);
        } else if (target == "/latency") {
            latency_ = std::chrono::milliseconds(body.at("ms").get<unsigned>());
        } else if (target == "/lose") {
            repliesToDrop_ = body.at("replies").get<unsigned>();
        } else if (target == "/cut") {
            blockedClients_.clear();
            for (const auto& client : body.at("clients")) {
                blockedClients_.insert(client.get<std::string>());
                http_.resetConnections(client.get<std::string>());
            }
            resetBlockedWatchers();
        } else if (target == "/snapshot") {
            snapshots_.insert_or_assign(body.at("name").get<std::string>(), state_);
        } else if (target == "/restore") {
            const auto found = snapshots_.find(body.at("name").get<std::string>());
            if (found == snapshots_.end())
                return "no snapshot has the given name";
            state_ = found->second;
            state_.extendLeases(BootClock::now());
            http_.resetConnections();
        } else if (target == "/books/reset") {
            calls_.clear();
        } else {
            return "unknown command " + target;
        }
        return {};
    }

    void resetBlockedWatchers()
    {
        const auto watchers = watchers_;
        for (const auto& watcher : watchers) {
            const auto& request = watcher->exchange->request();
            if (blockedClients_.contains(std::string(request.header("X-Client-Name"))))
                watcher->exchange->reset();
        }
    }

    Json counters() const
    {
        return { { "calls", calls_ }, { "revision", state_.revision() }, { "watches", watchers_.size() },
            { "connections", http_.connections() },
            { "keys", state_.range({ std::string(1, '\0'), std::string(1, '\0') }).size() } };
    }

    asio::io_context& ioContext_;
    asio::steady_timer leaseTimer_;
    KeyValueState state_;
    EtcdGateway gateway_;
    std::map<std::string, KeyValueState> snapshots_;
    std::list<std::shared_ptr<Watcher>> watchers_;
    std::vector<std::shared_ptr<HttpExchange>> stalled_;
    std::set<std::string> blockedClients_;
    std::map<std::string, std::uint64_t> calls_;
    Outage outage_ = Outage::Off;
    std::chrono::milliseconds latency_ {};
    unsigned repliesToDrop_ = 0;
    // Declared last: their destructors close connections, whose handlers use the members above.
    HttpServer http_;
    HttpServer admin_;
};

PlatformEmulator::PlatformEmulator(asio::io_context& ioContext, const Options& options)
    : impl_(std::make_unique<Impl>(ioContext, options))
{
}

PlatformEmulator::~PlatformEmulator() = default;
std::uint16_t PlatformEmulator::httpPort() const { return impl_->httpPort(); }
std::uint16_t PlatformEmulator::adminPort() const { return impl_->adminPort(); }

} // namespace banyancroft::tools
