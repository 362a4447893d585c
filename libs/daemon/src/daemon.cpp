#include "daemon/daemon.h"

#include "control_plane.h"
#include "process_metrics.h"
#include "query_service.h"
#include "telemetry/log.h"
#include "telemetry/trace.h"
#include "worker.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <atomic>
#include <csignal>
#include <random>

namespace banyancroft::daemon {

namespace {

using telemetry::log;
using telemetry::LogLevel;
using Tcp = boost::asio::ip::tcp;

constexpr std::chrono::milliseconds readinessPeriod { 50 };
constexpr std::chrono::milliseconds stopPollPeriod { 20 };
constexpr std::size_t maxStoredTraces = 4096;

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) ^ device();
}

EntryMetrics entryMetrics(telemetry::Metrics& metrics)
{
    return {
        metrics.counter("banyancroft_searches_total", "Searches begun"),
        metrics.counter("banyancroft_partial_answers_total", "Searches answered without all shards"),
        metrics.counter("banyancroft_refused_searches_total", "Searches refused as not run"),
        metrics.counter("banyancroft_subrequests_total", "Sub-requests sent, hedges and retries included"),
        metrics.counter("banyancroft_hedges_total", "Second copies of late sub-requests"),
        metrics.counter("banyancroft_retries_total", "Sub-requests sent again after a failure"),
        metrics.counter("banyancroft_restarts_total", "Searches restarted at another snapshot"),
        metrics.counter("banyancroft_unknown_replies_total", "Replies to no open query, dropped"),
        metrics.counter("banyancroft_submits_total", "Submits begun"),
        metrics.latency("banyancroft_search_seconds", "Time from a parsed search to its answer"),
    };
}

} // namespace

class Daemon::Impl {
public:
    explicit Impl(Settings settings)
        : settings_(std::move(settings))
        , incarnation_ { randomNumber() | 1 }
        , signals_(ioContext_)
        , acceptor_(ioContext_)
        , stopTimer_(ioContext_)
        , traces_(maxStoredTraces)
    {
    }

    ~Impl()
    {
        for (auto& worker : workers_)
            worker->stop();
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    std::optional<BoundAddresses> start(Error& reason)
    {
        if (!listenForPeers(reason))
            return std::nullopt;
        const std::string bound = toString(acceptor_.local_endpoint());
        const std::string ownAddress = settings_.peerAddress.empty() ? bound : settings_.peerAddress;
        makeWorkers(ownAddress);
        makeControl(ownAddress);
        auto http = listenForCallers(reason);
        if (!http)
            return std::nullopt;
        for (auto& worker : workers_)
            worker->start();
        acceptPeer();
        control_->start();
        waitForSignal();
        scheduleReadiness();
        log(LogLevel::Info, "daemon", "started",
            { { "version", BANYANCROFT_VERSION }, { "zone", settings_.zone.str() }, { "http", *http },
                { "peer", ownAddress }, { "incarnation", std::to_string(incarnation_.value) } });
        return BoundAddresses { *http, bound };
    }

    int run()
    {
        auto guard = boost::asio::make_work_guard(ioContext_);
        ioContext_.run();
        for (auto& worker : workers_)
            worker->stop();
        return workAborted_ ? 1 : 0;
    }

    void requestStop()
    {
        boost::asio::post(ioContext_, [this] { beginStop(); });
    }

private:
    /** Number of operations that still have to finish before a planned stop is complete. */
    struct RemainingWork {
        std::size_t requests = 0;
        std::size_t queries = 0;
        std::size_t inFlight = 0;

        bool empty() const { return requests == 0 && queries == 0 && inFlight == 0; }
    };

    bool listenForPeers(Error& reason)
    {
        const auto endpoint = *parseEndpoint(settings_.peerListen);
        boost::system::error_code code;
        acceptor_.open(endpoint.protocol(), code);
        if (!code)
            acceptor_.set_option(boost::asio::socket_base::reuse_address(true), code);
        if (!code)
            acceptor_.bind(endpoint, code);
        if (!code)
            acceptor_.listen(boost::asio::socket_base::max_listen_connections, code);
        if (!code)
            return true;
        reason = { ErrorKind::InvalidInput,
            "--peer-listen: cannot listen on " + settings_.peerListen + ": " + code.message(),
            "choose an address of this VM and a free port" };
        return false;
    }

    void makeWorkers(const std::string& ownAddress)
    {
        const auto metrics = entryMetrics(metrics_);
        queryMetrics_.emplace(makeQueryMetrics(metrics_));
        addProcessMetrics(metrics_);
        metrics_.gauge("banyancroft_control_cpu_seconds_total", "Processor time of the control thread",
            [this] { return controlCpu_.seconds(); });
        const wire::Hello hello { settings_.vm, incarnation_, settings_.zone, {}, false };
        std::vector<Worker*> all;
        for (unsigned index = 0; index < settings_.trafficThreads; ++index) {
            Worker::Hooks hooks;
            hooks.onHttp = [this, index](const HttpRequest& request, HttpServer::Respond respond) {
                services_[index]->handle(request, std::move(respond));
            };
            hooks.claim = [this, index](const ServiceId& service, const IdempotencyKey& key,
                              std::string fingerprint, TimePoint deadline,
                              std::function<void(ClaimReply)> callback) {
                claim(*workers_[index], service, key, std::move(fingerprint), deadline, std::move(callback));
            };
            hooks.onControlMessage = [this](const std::string& address, wire::Message message) {
                boost::asio::post(ioContext_, [this, address, message = std::move(message)]() mutable {
                    control_->onMessage({}, std::move(message), [](const wire::Message&) {});
                });
            };
            workers_.push_back(std::make_unique<Worker>(
                index, hello, ownAddress, randomNumber(), HttpLimits {}, metrics, traces_, std::move(hooks)));
            all.push_back(workers_.back().get());
            services_.push_back(makeService(*workers_.back()));
        }
        for (auto& worker : workers_)
            worker->setWorkers(all);
    }

    std::unique_ptr<QueryService> makeService(Worker& worker)
    {
        QueryService::Hooks hooks;
        hooks.ready = [this] { return ready_.load(); };
        hooks.metricsPage = [this] { return metrics_.write(); };
        hooks.command
            = [this, &worker](query::Statement statement, std::function<void(CommandResult)> callback) {
                  boost::asio::post(ioContext_,
                      [this, &worker, statement = std::move(statement), callback = std::move(callback)] {
                          control_->runCommand(statement, [&worker, callback](CommandResult result) {
                              worker.post([callback, result = std::move(result)] { callback(result); });
                          });
                      });
              };
        return std::make_unique<QueryService>(
            worker.entry(), traces_, *queryMetrics_, settings_, randomNumber(), std::move(hooks));
    }

    void makeControl(const std::string& ownAddress)
    {
        ControlPlane::Hooks hooks;
        hooks.onRouting = [this](const RoutingTablePointer& table) { publish(table); };
        hooks.onAuthority = [this](const UpstreamId& upstream, const Authority& authority) {
            if (settings_.testDirect)
                return;
            Worker& owner = workers_.front()->ownerOf(upstream);
            owner.post([&owner, upstream, authority] { owner.home().setAuthority(upstream, authority); });
        };
        hooks.collectInFlight = [this](std::function<void(std::vector<membership::InFlight>)> callback) {
            collectInFlight(std::move(callback));
        };
        hooks.onHandOverDone = [this] { handOverDone_ = true; };
        control_ = std::make_unique<ControlPlane>(ioContext_, settings_, incarnation_, ownAddress,
            ControlPlane::ByteCounters { controlSent_, controlReceived_ }, std::move(hooks));
    }

    std::optional<std::string> listenForCallers(Error& reason)
    {
        auto endpoint = *parseEndpoint(settings_.listen);
        for (auto& worker : workers_) {
            // The first listener may get an ephemeral port, which the others then share.
            auto bound = worker->http().listen(endpoint, reason);
            if (!bound)
                return std::nullopt;
            endpoint = *bound;
        }
        return toString(endpoint);
    }

    void acceptPeer()
    {
        acceptor_.async_accept([this](const boost::system::error_code& code, Tcp::socket socket) {
            if (code == boost::asio::error::operation_aborted)
                return;
            if (!code)
                receiveHello(std::move(socket));
            acceptPeer();
        });
    }

    // Reads the Hello of a peer, then keeps a control connection or transfers a traffic connection to a
    // worker.
    void receiveHello(Tcp::socket socket)
    {
        boost::system::error_code code;
        const bool isV6 = socket.local_endpoint(code).address().is_v6();
        // Fails when the peer has already reset the connection.
        if (code)
            return;
        auto vm = std::make_shared<std::optional<VmId>>();
        PeerConnection::Hooks hooks;
        hooks.onMessage
            = [this, vm, isV6](const std::shared_ptr<PeerConnection>& connection, wire::Message message) {
                  if (*vm)
                      return control_->onMessage(**vm, std::move(message),
                          [weak = std::weak_ptr(connection)](const wire::Message& reply) {
                              if (auto target = weak.lock())
                                  target->send(reply);
                          });
                  const auto* hello = std::get_if<wire::Hello>(&message);
                  if (!hello)
                      return connection->close();
                  if (hello->control) {
                      connection->countBytes(controlSent_, controlReceived_);
                      *vm = hello->vm;
                      return;
                  }
                  transferToWorker(*connection, isV6);
              };
        std::make_shared<PeerConnection>(std::move(socket), nextConnectionId(), std::move(hooks))->start();
    }

    void transferToWorker(PeerConnection& connection, bool isV6)
    {
        auto [descriptor, frames] = connection.release();
        if (descriptor < 0)
            return;
        Worker& worker = *workers_[nextWorker_++ % workers_.size()];
        worker.post([&worker, descriptor = descriptor, frames = std::move(frames), isV6]() mutable {
            worker.adoptConnection(descriptor, std::move(frames), isV6);
        });
    }

    void claim(Worker& worker, const ServiceId& service, const IdempotencyKey& key, std::string fingerprint,
        TimePoint deadline, std::function<void(ClaimReply)> callback)
    {
        boost::asio::post(ioContext_,
            [this, &worker, service, key, fingerprint = std::move(fingerprint), deadline,
                callback = std::move(callback)]() mutable {
                control_->claims().claim(service, key, std::move(fingerprint), deadline,
                    [this, &worker, callback = std::move(callback)](claims::ClaimAnswer answer) {
                        worker.post([callback, reply = toReply(worker, std::move(answer))]() mutable {
                            callback(std::move(reply));
                        });
                    });
            });
    }

    ClaimReply toReply(Worker& worker, claims::ClaimAnswer answer)
    {
        ClaimReply reply;
        reply.kind = answer.kind;
        reply.reason = answer.reason;
        reply.result = std::move(answer.result);
        if (!answer.held)
            return reply;
        reply.finish = [this, &worker, held = std::move(*answer.held)](
                           Outcome outcome, std::string result, std::function<void()> onRecorded) {
            // Counted as unrecorded until the store confirms it, so that a planned stop waits for the
            // outcome.
            boost::asio::post(ioContext_,
                [this, &worker, held, outcome, result = std::move(result),
                    onRecorded = std::move(onRecorded)] {
                    control_->claims().finish(held, outcome, result, [&worker, onRecorded] {
                        if (onRecorded)
                            worker.post(onRecorded);
                    });
                });
        };
        return reply;
    }

    void publish(const RoutingTablePointer& table)
    {
        const bool newDocument = !publishedTable_ || publishedTable_->document != table->document;
        publishedTable_ = table;
        std::vector<std::vector<home::Target>> targets(workers_.size());
        if (newDocument)
            collectTargets(*table->document, targets);
        for (std::size_t index = 0; index < workers_.size(); ++index) {
            Worker& worker = *workers_[index];
            worker.post([&worker, table, newDocument, own = std::move(targets[index])] {
                worker.entry().apply(table);
                if (newDocument)
                    worker.home().apply(table->document->policy, own);
            });
        }
    }

    void collectTargets(const config::Document& document, std::vector<std::vector<home::Target>>& targets)
    {
        const bool serving = control_->serving();
        for (const auto& service : document.services) {
            for (const auto& group : service.groups) {
                for (const auto& upstream : group.upstreams) {
                    if (upstream.zone != settings_.zone && !settings_.testDirect)
                        continue;
                    home::Target target { upstream, service.id, service.slots, service.connections,
                        service.coldLimit, serving, control_->authority(upstream.id) };
                    if (settings_.testDirect)
                        useFixedShare(target);
                    targets[workers_.front()->ownerOf(upstream.id).index()].push_back(std::move(target));
                }
            }
        }
    }

    /** Baseline for measurements: each of the 8 daemons of a present deployment takes an equal share of an
     * upstream. */
    static void useFixedShare(home::Target& target)
    {
        constexpr unsigned daemonCount = 8;
        constexpr unsigned minConnections = 2;
        target.slots = std::max(1U, target.slots / daemonCount);
        target.coldLimit = std::max(1U, target.coldLimit / daemonCount);
        target.connections = std::max(minConnections, target.connections / daemonCount);
        target.zoneServing = true;
        target.authority = { Share::Full, TimePoint::max(), 0, {} };
    }

    void collectInFlight(std::function<void(std::vector<membership::InFlight>)> callback)
    {
        struct Collection {
            std::vector<membership::InFlight> counts;
            std::size_t pendingWorkers = 0;
            std::function<void(std::vector<membership::InFlight>)> callback;
        };
        auto collection = std::make_shared<Collection>();
        collection->pendingWorkers = workers_.size();
        collection->callback = std::move(callback);
        for (auto& worker : workers_) {
            worker->post([this, &worker = *worker, collection] {
                std::vector<membership::InFlight> own;
                for (const auto& status : worker.home().status()) {
                    if (status.running > 0)
                        own.push_back({ status.upstream, status.running });
                }
                boost::asio::post(ioContext_, [collection, own = std::move(own)] {
                    collection->counts.insert(collection->counts.end(), own.begin(), own.end());
                    if (--collection->pendingWorkers == 0)
                        collection->callback(std::move(collection->counts));
                });
            });
        }
    }

    void scheduleReadiness()
    {
        controlCpu_.sample();
        ready_ = !stopping_ && control_->serving() && control_->joinedOrTimedOut();
        stopTimer_.expires_after(readinessPeriod);
        stopTimer_.async_wait([this](const boost::system::error_code& code) {
            if (!code && !stopping_)
                scheduleReadiness();
        });
    }

    void waitForSignal()
    {
        boost::system::error_code ignored;
        signals_.add(SIGTERM, ignored);
        signals_.add(SIGINT, ignored);
        signals_.async_wait([this](const boost::system::error_code& code, int signal) {
            if (code)
                return;
            log(LogLevel::Info, "daemon", "signal received", { { "signal", std::to_string(signal) } });
            if (stopping_)
                return abortStop("second signal");
            beginStop();
            waitForSignal();
        });
    }

    void beginStop()
    {
        if (stopping_)
            return;
        stopping_ = true;
        ready_ = false;
        stopStartedAt_ = BootClock::now();
        control_->stop();
        // Gives the load balancer time to notice that this daemon is not ready.
        runAfterDelay(settings_.lameDuck, [this] {
            for (auto& worker : workers_)
                worker->post([&worker = *worker] { worker.http().drain(); });
            pollStop();
        });
    }

    void runAfterDelay(Duration delay, std::function<void()> function)
    {
        stopTimer_.expires_after(delay);
        stopTimer_.async_wait([function = std::move(function)](const boost::system::error_code& code) {
            if (!code)
                function();
        });
    }

    void pollStop()
    {
        auto remaining = std::make_shared<RemainingWork>();
        auto pendingWorkers = std::make_shared<std::size_t>(workers_.size());
        for (auto& worker : workers_) {
            worker->post([this, &worker = *worker, remaining, pendingWorkers] {
                const RemainingWork own { worker.http().openRequests(), worker.entry().openQueries(),
                    worker.home().inFlight() };
                boost::asio::post(ioContext_, [this, remaining, pendingWorkers, own] {
                    remaining->requests += own.requests;
                    remaining->queries += own.queries;
                    remaining->inFlight += own.inFlight;
                    if (--*pendingWorkers == 0)
                        evaluateStop(*remaining);
                });
            });
        }
    }

    void evaluateStop(const RemainingWork& remaining)
    {
        remaining_ = remaining;
        const bool finished = remaining.empty() && control_->claims().unrecorded() == 0 && handOverDone_;
        const bool idle = remaining.empty() && control_->claims().unrecorded() == 0;
        // Without the store no hand-over is possible; the lease of this daemon expires by itself.
        const bool cannotHandOver = idle && control_->members().membership().storeFailing(BootClock::now());
        if (finished || cannotHandOver) {
            control_->members().revokeLease();
            log(LogLevel::Info, "daemon", "planned stop complete",
                { { "millis", std::to_string(toMicros(BootClock::now() - stopStartedAt_) / 1000) },
                    { "hand_over_done", handOverDone_ ? "true" : "false" } });
            // Delays the exit so that the revocation is sent.
            return runAfterDelay(stopPollPeriod, [this] { ioContext_.stop(); });
        }
        if (BootClock::now() - stopStartedAt_ >= settings_.stopLimit)
            return abortStop("stop limit reached");
        runAfterDelay(stopPollPeriod, [this] { pollStop(); });
    }

    void abortStop(std::string_view cause)
    {
        const std::size_t unrecorded = control_->claims().unrecorded();
        workAborted_ = !remaining_.empty() || unrecorded > 0;
        log(workAborted_ ? LogLevel::Error : LogLevel::Warn, "daemon", "planned stop aborted",
            { { "cause", std::string(cause) }, { "requests_cut", std::to_string(remaining_.requests) },
                { "queries_cut", std::to_string(remaining_.queries) },
                { "in_flight_cut", std::to_string(remaining_.inFlight) },
                { "outcomes_unrecorded", std::to_string(unrecorded) },
                { "hand_over_done", handOverDone_ ? "true" : "false" } });
        ioContext_.stop();
    }

    const Settings settings_;
    const Incarnation incarnation_;
    boost::asio::io_context ioContext_ { 1 };
    boost::asio::signal_set signals_;
    Tcp::acceptor acceptor_;
    boost::asio::steady_timer stopTimer_;
    telemetry::Metrics metrics_;
    telemetry::TraceRing traces_;
    telemetry::Counter& controlSent_ = metrics_.counter(
        "banyancroft_control_sent_bytes_total", "Bytes sent between control threads, store excluded");
    telemetry::Counter& controlReceived_ = metrics_.counter(
        "banyancroft_control_received_bytes_total", "Bytes received between control threads, store excluded");
    ThreadCpuTime controlCpu_;
    std::optional<QueryMetrics> queryMetrics_;
    std::vector<std::unique_ptr<QueryService>> services_;
    std::vector<std::unique_ptr<Worker>> workers_;
    std::unique_ptr<ControlPlane> control_;
    RoutingTablePointer publishedTable_;
    std::size_t nextWorker_ = 0;
    std::atomic<bool> ready_ { false };
    bool stopping_ = false;
    bool handOverDone_ = false;
    bool workAborted_ = false;
    TimePoint stopStartedAt_ {};
    RemainingWork remaining_;
};

Daemon::Daemon(Settings settings)
    : impl_(std::make_unique<Impl>(std::move(settings)))
{
}

Daemon::~Daemon() = default;

std::optional<BoundAddresses> Daemon::start(Error& reason) { return impl_->start(reason); }

int Daemon::run() { return impl_->run(); }

void Daemon::requestStop() { impl_->requestStop(); }

} // namespace banyancroft::daemon
