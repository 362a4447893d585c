#include "cluster.h"

#include "config/document_json.h"
#include "http_call.h"
#include "store/etcd_store.h"

#include <csignal>
#include <stdexcept>
#include <thread>

namespace banyancroft::tools {

namespace {

constexpr const char* configKey = "/banyancroft/config";
constexpr const char* vmPrefix = "/platform/vms/";
constexpr const char* operatorToken = "bench-operator";
constexpr auto startTimeout = std::chrono::seconds(20);
constexpr auto readyPollPeriod = std::chrono::milliseconds(50);

/** Calls the store and waits for the result. */
template <typename Result, typename Start> Result storeCall(std::uint16_t port, const Start& start)
{
    boost::asio::io_context ioContext(1);
    store::EtcdStore store(ioContext, { .address = "127.0.0.1", .port = port });
    std::optional<Result> result;
    Error failure;
    start(store, [&](std::optional<Result> value, const Error& reason) {
        result = std::move(value);
        failure = reason;
    });
    ioContext.run();
    if (!result)
        throw std::runtime_error("call to the store failed: " + toString(failure));
    return *result;
}

} // namespace

Cluster::Cluster(ClusterSettings settings, Endpoints& endpoints)
    : settings_(std::move(settings))
    , endpoints_(endpoints)
    , daemons_(Endpoints::daemonCount)
{
    platform_.emplace(
        std::vector<std::string> { settings_.platformProgram }, logPath("platform"), startTimeout);
    storePort_ = portOf(platform_->readyValue("http"));
    platformAdminPort_ = portOf(platform_->readyValue("admin"));
    upstreams_.emplace(
        std::vector<std::string> { settings_.upstreamProgram, "--config=" + settings_.configPath,
            "--ephemeral-ports", "--threads=2", "--service-time=" + settings_.serviceTime,
            "--seed=" + std::to_string(settings_.seed) },
        logPath("upstreams"), startTimeout);
    upstreamAdminPort_ = portOf(upstreams_->readyValue("admin"));

    const auto text = adminCall(upstreamAdminPort_, "GET", "/document");
    Error reason;
    auto document = config::parseDocument(text, reason);
    if (!document)
        throw std::runtime_error(toString(reason));
    document_ = std::move(*document);
    writeStore(configKey, text);
    for (std::size_t daemon = 0; daemon < Endpoints::daemonCount; ++daemon)
        writeStore(vmPrefix + vmOf(daemon), R"({"zone":")" + zoneOf(daemon) + R"(","state":"live"})");
    for (std::size_t daemon = 0; daemon < Endpoints::daemonCount; ++daemon)
        startDaemon(daemon);
}

std::string Cluster::zoneOf(std::size_t daemon) const
{
    return document_.zones.at(daemon % document_.zones.size()).id.str();
}

std::string Cluster::vmOf(std::size_t daemon) const { return "vm-" + std::to_string(daemon + 1); }

void Cluster::startDaemon(std::size_t daemon)
{
    std::string seeds;
    for (const auto& peer : peers_) {
        if (peer.empty())
            continue;
        if (!seeds.empty())
            seeds += ',';
        seeds += peer;
    }
    std::vector<std::string> command { settings_.daemonProgram, "--vm=" + vmOf(daemon),
        "--zone=" + zoneOf(daemon), "--listen=127.0.0.1:0", "--peer-listen=127.0.0.1:0",
        "--store=127.0.0.1:" + std::to_string(storePort_), std::string("--operator-token=") + operatorToken,
        "--lease=" + settings_.lease };
    if (!seeds.empty())
        command.push_back("--seeds=" + seeds);
    command.insert(command.end(), settings_.daemonFlags.begin(), settings_.daemonFlags.end());
    daemons_.at(daemon).emplace(command, logPath(vmOf(daemon)), startTimeout);
    peers_.at(daemon) = daemons_[daemon]->readyValue("peer");
    endpoints_.set(daemon, portOf(daemons_[daemon]->readyValue("http")));
}

std::optional<int> Cluster::restartDaemon(std::size_t daemon, Duration timeout)
{
    // The port stays published until the process has exited, since the load balancer sends until it is not
    // ready.
    auto& child = daemons_.at(daemon).value();
    child.signal(SIGTERM);
    const auto status = child.wait(timeout);
    endpoints_.set(daemon, 0);
    daemons_[daemon].reset();
    startDaemon(daemon);
    // As in a rolling restart by an operator, the next daemon is restarted only when this one is ready;
    // otherwise a zone with two daemons could have none.
    waitReady(daemon, BootClock::now() + timeout);
    return status;
}

void Cluster::killDaemon(std::size_t daemon)
{
    daemons_.at(daemon)->signal(SIGKILL);
    daemons_[daemon]->wait(startTimeout);
    endpoints_.set(daemon, 0);
    daemons_[daemon].reset();
}

void Cluster::waitReady(Duration timeout)
{
    const auto deadline = BootClock::now() + timeout;
    for (std::size_t daemon = 0; daemon < Endpoints::daemonCount; ++daemon)
        waitReady(daemon, deadline);
}

void Cluster::waitReady(std::size_t daemon, TimePoint deadline) const
{
    for (;;) {
        const auto answer = httpCall(endpoints_.port(daemon), "GET", "/readyz");
        if (answer && answer->status == 200)
            return;
        if (BootClock::now() >= deadline) {
            throw std::runtime_error(vmOf(daemon) + " is not ready: "
                + (answer ? std::to_string(answer->status) + " " + answer->body : std::string("no answer")));
        }
        std::this_thread::sleep_for(readyPollPeriod);
    }
}

std::string Cluster::platformAdmin(std::string_view target, const std::string& body) const
{
    return adminCall(platformAdminPort_, target == "/books" ? "GET" : "POST", target, body);
}

std::string Cluster::upstreamAdmin(std::string_view target, const std::string& body) const
{
    return adminCall(upstreamAdminPort_, target == "/books" ? "GET" : "POST", target, body);
}

store::HttpResponse Cluster::executeStatement(std::size_t daemon, const std::string& statement) const
{
    auto answer = httpCall(endpoints_.port(daemon), "POST", "/v1/query", statement,
        { { "Authorization", std::string("Bearer ") + operatorToken } });
    return answer ? std::move(*answer) : store::HttpResponse { 0, "no answer" };
}

config::Document Cluster::storedDocument() const
{
    const auto listing = storeCall<store::Listing>(
        storePort_, [](store::EtcdStore& store, auto callback) { store.get(configKey, callback); });
    Error reason;
    const auto document
        = listing.entries.empty() ? std::nullopt : config::parseDocument(listing.entries[0].value, reason);
    if (!document)
        throw std::runtime_error("no valid configuration in the store: " + toString(reason));
    return *document;
}

void Cluster::writeStore(const std::string& key, const std::string& value) const
{
    const auto result = storeCall<store::SwapResult>(storePort_, [&](store::EtcdStore& store, auto callback) {
        store.compareAndSwap({ key, {}, value, {} }, callback);
    });
    if (!result.swapped)
        throw std::runtime_error("key " + key + " already exists in the store");
}

} // namespace banyancroft::tools
