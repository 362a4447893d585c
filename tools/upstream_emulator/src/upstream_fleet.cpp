#include "upstream_emulator/upstream_fleet.h"

#include "config/document_json.h"
#include "http_server/http_server.h"
#include "replica_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <future>
#include <thread>
#include <vector>

namespace banyancroft::tools {

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace {

/** An io_context and the thread that runs it. */
struct IoThread {
    asio::io_context ioContext { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> guard { ioContext.get_executor() };
    std::thread thread;
};

/** One emulated upstream and the io_context that it runs on. */
struct Member {
    asio::io_context* ioContext = nullptr;
    std::unique_ptr<ReplicaServer> server;
    std::string id;
    std::string group;
    std::string service;
    std::string zone;

    bool matches(const Json& body) const
    {
        const auto same = [&body](const char* name, const std::string& value) {
            return !body.contains(name) || body[name] == value;
        };
        return same("upstream", id) && same("group", group) && same("service", service) && same("zone", zone);
    }
};

Replica::Settings makeSettings(const config::Service& service, const config::ShardGroup& group,
    const config::Upstream& upstream, const UpstreamFleet::Options& options)
{
    Replica::Settings settings;
    settings.id = upstream.id.str();
    settings.service = service.id.str();
    settings.group = group.id.str();
    settings.zone = upstream.zone.str();
    for (const auto& shard : group.shards)
        settings.shards.insert(shard.str());
    settings.slots = service.slots;
    settings.coldLimit = service.coldLimit;
    settings.connections = service.connections;
    settings.serviceTime = options.serviceTime;
    settings.seed = options.seed;
    return settings;
}

} // namespace

class UpstreamFleet::Impl {
public:
    Impl(config::Document document, const Options& options)
        : document_(std::move(document))
        , signals_(adminContext_, SIGINT, SIGTERM)
        , admin_(adminContext_,
              { "127.0.0.1", options.adminPort, {}, HttpServer::Options {}.maxBodyBytes, {} },
              [this](const std::shared_ptr<HttpExchange>& exchange) { handleAdminRequest(*exchange); })
    {
        for (unsigned thread = 0; thread < std::max(1U, options.threads); ++thread)
            ioThreads_.push_back(std::make_unique<IoThread>());
        for (auto& service : document_.services) {
            for (auto& group : service.groups) {
                for (auto& upstream : group.upstreams)
                    addUpstream(service, group, upstream, options);
            }
        }
        signals_.async_wait([this](const auto&, int) { adminContext_.stop(); });
        for (const auto& ioThread : ioThreads_)
            ioThread->thread = std::thread([&context = ioThread->ioContext] { context.run(); });
    }

    ~Impl()
    {
        for (const auto& ioThread : ioThreads_)
            ioThread->ioContext.stop();
        for (const auto& ioThread : ioThreads_)
            ioThread->thread.join();
    }

    void addUpstream(config::Service& service, config::ShardGroup& group, config::Upstream& upstream,
        const Options& options)
    {
        Member member;
        member.ioContext = &ioThreads_[members_.size() % ioThreads_.size()]->ioContext;
        member.id = upstream.id.str();
        member.group = group.id.str();
        member.service = service.id.str();
        member.zone = upstream.zone.str();
        member.server = std::make_unique<ReplicaServer>(*member.ioContext,
            makeSettings(service, group, upstream, options), upstream.address,
            options.ephemeralPorts ? std::uint16_t { 0 } : upstream.port, service.connectTime);
        upstream.port = member.server->port();
        members_.push_back(std::move(member));
    }

    /** Runs an action on the thread of the upstream and waits for its result. */
    template <typename Action> auto runOnOwningThread(const Member& member, const Action& action)
    {
        std::packaged_task<decltype(action(*member.server))()> task([&] { return action(*member.server); });
        auto result = task.get_future();
        asio::post(*member.ioContext, [&task] { task(); });
        return result.get();
    }

    void handleAdminRequest(HttpExchange& exchange)
    {
        const auto& request = exchange.request();
        if (request.method == "GET" && request.target == "/books")
            return exchange.reply({ 200, {}, counters().dump() });
        if (request.method == "GET" && request.target == "/document")
            return exchange.reply({ 200, {}, config::toJson(document_) });
        try {
            const auto body = request.body.empty() ? Json::object() : Json::parse(request.body);
            const auto problem = command(request.target, body);
            exchange.reply({ problem.empty() ? 200U : 400U, {}, problem.empty() ? "{}" : problem });
        } catch (const Json::exception& problem) {
            exchange.reply({ 400, {}, problem.what() });
        }
    }

    std::string command(const std::string& name, const Json& body)
    {
        bool found = false;
        for (const auto& member : members_) {
            if (!member.matches(body))
                continue;
            found = true;
            auto problem = runOnOwningThread(member, [&](ReplicaServer& server) {
                if (name != "/books/reset")
                    return server.command(name, body);
                server.resetCounters();
                return std::string();
            });
            if (!problem.empty())
                return problem;
        }
        return found ? "" : "no upstream matches the given fields";
    }

    Json counters()
    {
        Json upstreams = Json::array();
        Json zones = Json::object();
        for (const auto& member : members_) {
            auto entry = runOnOwningThread(member, [](ReplicaServer& server) { return server.counters(); });
            const auto last = entry["last_work_ns"].get<std::int64_t>();
            zones[member.zone] = std::max(last, zones.value(member.zone, std::int64_t { 0 }));
            upstreams.push_back(std::move(entry));
        }
        return { { "upstreams", upstreams }, { "zone_last_work_ns", zones } };
    }

    config::Document document_;
    std::vector<std::unique_ptr<IoThread>> ioThreads_;
    std::vector<Member> members_;
    asio::io_context adminContext_ { 1 };
    asio::signal_set signals_;
    HttpServer admin_;
};

UpstreamFleet::UpstreamFleet(config::Document document, const Options& options)
    : impl_(std::make_unique<Impl>(std::move(document), options))
{
}

UpstreamFleet::~UpstreamFleet() = default;
std::uint16_t UpstreamFleet::adminPort() const { return impl_->admin_.port(); }
const config::Document& UpstreamFleet::document() const { return impl_->document_; }
void UpstreamFleet::run() { impl_->adminContext_.run(); }
void UpstreamFleet::stop() { impl_->adminContext_.stop(); }

} // namespace banyancroft::tools
