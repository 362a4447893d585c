#include "gateway/gateway.h"

#include "front_server.h"
#include "membership.h"
#include "own_answers.h"
#include "readiness.h"
#include "request_runner.h"
#include "run_after.h"
#include "store_sync.h"
#include "telemetry/log.h"
#include "traffic.h"
#include "view_codec.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <csignal>
#include <iterator>
#include <map>
#include <set>

namespace banyancroft::gateway {

namespace {

using telemetry::log;
using telemetry::LogLevel;

/** Resolution of timeouts that are not set for a single request. */
constexpr Duration tickPeriod = std::chrono::milliseconds(100);
/** Settings may change without a signal. */
constexpr Duration reloadPeriod = std::chrono::seconds(5);
constexpr Duration stopPeriod = std::chrono::milliseconds(20);
/** Time to live of a registration: long enough to outlast short outages of the store. */
constexpr Duration registrationLease = std::chrono::seconds(5);
/** Connections wait this long for the first listing of the store, which usually takes some 20 ms. */
constexpr Duration longestSilentStart = std::chrono::milliseconds(250);
/** Connections to the readiness and metrics addresses. */
constexpr std::size_t maxProbeConnections = 32;
/** Connections of other VMs that ask for changes. */
constexpr std::size_t maxRelayConnections = 200;
/** Parts of the time in which a change has to be known: the reader's pause, that of the VMs which ask it, and
 * the age at which they ask the store. The rest is for one call that gets no answer. */
constexpr double storePausePart = 0.3;
constexpr double peerPausePart = 0.1;
constexpr double stalePart = 0.65;
/** Part of the sockets that callers may use; the rest is for replicas and the store. */
constexpr std::size_t callerSocketPart = 2;

SyncPauses syncPauses(Duration changeBound)
{
    return { scaled(changeBound, storePausePart), scaled(changeBound, peerPausePart),
        scaled(changeBound, stalePart) };
}

} // namespace

class Gateway::Impl {
public:
    Impl(boost::asio::io_context& ioContext, Settings settings, Dialect dialect, StoreLayout layout,
        store::PolledStore& store)
        : ioContext_(ioContext)
        , settings_(std::move(settings))
        , dialect_(std::move(dialect))
        , layout_(std::move(layout))
        , traffic_(ioContext, settings_, dialect_, metrics_, BootClock::now())
        , members_(settings_.vm)
        , sync_(ioContext, store, layout_.watchedPrefix, syncPauses(settings_.changeBound), syncHooks(),
              metrics_)
        , registration_(ioContext, store, layout_.memberPrefix + settings_.vm.str(),
              layout_.encodeMember({ settings_.zone, settings_.relay }),
              std::max<Duration>(settings_.leastLease, registrationLease))
        , callers_(ioContext, settings_.maxSockets / callerSocketPart,
              [this](
                  const CallerRequest& request) { RequestRunner::run(traffic_, request, BootClock::now()); })
        , probes_(ioContext, maxProbeConnections, [this](const CallerRequest& request) { probe(request); })
        , metricsServer_(
              ioContext, maxProbeConnections, [this](const CallerRequest& request) { showMetrics(request); })
        , relayServer_(
              ioContext, maxRelayConnections, [this](const CallerRequest& request) { relay(request); })
        , signals_(ioContext, SIGTERM, SIGINT, SIGHUP)
        , tickTimer_(ioContext)
        , stopTimer_(ioContext)
    {
        metrics_.gauge("banyancroft_gateway_config_version", "Version of the configuration in force",
            [this] { return static_cast<double>(traffic_.configuration().version().value); });
        metrics_.gauge("banyancroft_gateway_upstreams", "Replicas that are registered",
            [this] { return static_cast<double>(traffic_.registry().size()); });
        metrics_.gauge("banyancroft_gateway_vms", "Live VMs that share limits",
            [this] { return static_cast<double>(traffic_.liveVms()); });
        metrics_.gauge("banyancroft_gateway_ready", "1 while the readiness probe answers 200",
            [this] { return isReadyNow(BootClock::now()) ? 1.0 : 0.0; });
        metrics_.gauge("banyancroft_view_age_seconds", "Time since the view was the newest of the store",
            [this] { return toMillis(sync_.age(BootClock::now())) / 1000; });
    }

    bool start(Error& reason)
    {
        if (!callers_.listen(settings_.callers, reason) || !probes_.listen(settings_.readiness, reason)
            || !metricsServer_.listen(settings_.metrics, reason)
            || (settings_.relay.port != 0 && !relayServer_.listen(settings_.relay, reason)))
            return false;
        log(LogLevel::Info, "gateway", "started",
            { { "version", BANYANCROFT_VERSION }, { "zone", settings_.zone.str() },
                { "callers", settings_.callers.address + ":" + std::to_string(settings_.callers.port) } });
        startedAt_ = BootClock::now();
        probes_.begin();
        metricsServer_.begin();
        if (settings_.relay.port != 0)
            relayServer_.begin();
        registration_.start();
        waitForSignal();
        tick();
        return true;
    }

    std::function<std::optional<Settings>(Error&)> reload_;

private:
    StoreSync::Hooks syncHooks()
    {
        StoreSync::Hooks hooks;
        hooks.updated = [this](const ViewUpdate& update) {
            if (update.isFull)
                return applyListing(update.content.entries);
            for (const auto& entry : update.content.entries)
                applyChange(entry);
            noteMembers();
        };
        hooks.storeReturned = [this](TimePoint at) { traffic_.registry().storeRecovered(at); };
        hooks.isReader = [this] { return members_.reader(settings_.zone) == settings_.vm; };
        hooks.peer = [this](PeerChoice choice) { return peer(choice); };
        return hooks;
    }

    std::optional<ListenAddress> peer(PeerChoice choice)
    {
        if (choice == PeerChoice::Reader)
            return members_.relayOf(members_.reader(settings_.zone));
        auto relays = members_.otherRelays();
        if (relays.empty())
            std::copy_if(settings_.seeds.begin(), settings_.seeds.end(), std::back_inserter(relays),
                [this](const auto& seed) { return seed.address != settings_.relay.address; });
        if (relays.empty())
            return std::nullopt;
        const auto index
            = static_cast<std::size_t>(traffic_.randomShare() * static_cast<double>(relays.size()));
        return relays[std::min(index, relays.size() - 1)];
    }

    /** Tells another VM what it lacks of this VM's view of the store. */
    void relay(const CallerRequest& request)
    {
        http::Response response;
        const auto& target = request.head.target;
        const auto known = target.starts_with(relayPath)
            ? http::parseNumber(std::string_view(target).substr(relayPath.size()))
            : std::nullopt;
        if (!known) {
            response.status = statusNotFound;
        } else if (sync_.view().isEmpty()) {
            response.status = statusUnavailable;
        } else {
            response.fields.emplace_back("Content-Type", "application/msgpack");
            response.body = encodeUpdate(sync_.view().since({ *known }), BootClock::now());
        }
        request.connection->respond(response, false);
    }

    /** The item, or OtherKey for a value that cannot be read. */
    StoreItem decode(const store::KeyValue& entry)
    {
        Error reason;
        auto item = layout_.decode(entry, reason);
        if (item)
            return std::move(*item);
        malformed_.add();
        log(LogLevel::Warn, "store", "value cannot be read",
            { { "key", entry.key }, { "revision", std::to_string(entry.modified.value) },
                { "reason", toString(reason) } });
        return OtherKey {};
    }

    void applyListing(std::span<const store::KeyValue> entries)
    {
        const auto now = BootClock::now();
        std::vector<upstreams::UpstreamRecord> records;
        std::set<AvailabilityZone> zonesOut;
        std::map<VmId, MemberRecord> vms;
        for (const auto& entry : entries) {
            auto item = decode(entry);
            if (auto* configuration = std::get_if<routing::Configuration>(&item))
                acceptConfiguration(std::move(*configuration), entry.modified, now);
            if (auto* change = std::get_if<upstreams::RegistryChange>(&item); change && change->record)
                records.push_back(std::move(*change->record));
            if (const auto* zone = std::get_if<ZoneOutChange>(&item))
                zonesOut.insert(zone->zone);
            if (auto* member = std::get_if<MemberChange>(&item); member && member->record)
                vms[member->vm] = std::move(*member->record);
        }
        traffic_.registry().applyListing(records, now);
        setZonesOut(std::move(zonesOut));
        members_.listed(vms, now);
        hasListed_ = true;
        noteMembers();
        callers_.begin();
    }

    void applyChange(const store::KeyValue& entry)
    {
        const auto now = BootClock::now();
        auto item = entry.modified ? decode(entry) : layout_.decodeRemoval(entry.key);
        if (auto* configuration = std::get_if<routing::Configuration>(&item))
            acceptConfiguration(std::move(*configuration), entry.modified, now);
        if (const auto* change = std::get_if<upstreams::RegistryChange>(&item))
            traffic_.registry().apply(*change, now);
        if (const auto* zone = std::get_if<ZoneOutChange>(&item)) {
            auto zones = traffic_.registry().zonesOut();
            if (zone->isOut) {
                zones.insert(zone->zone);
            } else {
                zones.erase(zone->zone);
            }
            setZonesOut(std::move(zones));
        }
        if (auto* member = std::get_if<MemberChange>(&item)) {
            if (member->record) {
                members_.joined(member->vm, std::move(*member->record));
            } else {
                members_.left(member->vm, now);
            }
        }
    }

    void setZonesOut(std::set<AvailabilityZone> zones)
    {
        if (zones == traffic_.registry().zonesOut())
            return;
        std::string names;
        for (const auto& zone : zones)
            names.append(names.empty() ? "" : ",").append(zone.view());
        log(LogLevel::Info, "registry", "availability zones taken out", { { "zones", names } });
        traffic_.registry().setZonesOut(std::move(zones));
    }

    void acceptConfiguration(routing::Configuration configuration, store::Revision revision, TimePoint now)
    {
        const auto version = configuration.version;
        const auto limits = configuration.limits;
        const bool accepted = traffic_.configuration().update(std::move(configuration), now);
        log(LogLevel::Info, "configuration",
            accepted ? "configuration accepted" : "configuration is not newer",
            { { "version", std::to_string(version.value) },
                { "in_force", std::to_string(traffic_.configuration().version().value) },
                { "revision", std::to_string(revision.value) } });
        if (accepted)
            callers_.setLimits(
                { limits.headerBytes, limits.bodyBytes }, { limits.headerTimeout, limits.idleTimeout });
    }

    void noteMembers()
    {
        auto vms = members_.live(BootClock::now());
        if (vms == traffic_.vms())
            return;
        log(LogLevel::Info, "membership", "number of live VMs changed",
            { { "before", std::to_string(traffic_.liveVms()) }, { "now", std::to_string(vms.size()) } });
        traffic_.setVms(std::move(vms));
    }

    bool isReadyNow(TimePoint now)
    {
        ReadinessInputs inputs;
        inputs.hasConfiguration = traffic_.configuration().current() != nullptr;
        inputs.hasRegistrations = hasListed_;
        inputs.isStopping = stopping_;
        inputs.isCutOff = traffic_.reach().isCutOff(now);
        return isReady(inputs);
    }

    void probe(const CallerRequest& request)
    {
        http::Response response;
        const auto now = BootClock::now();
        const bool ready = isReadyNow(now);
        if (request.head.target != dialect_.readyPath) {
            response.status = statusNotFound;
        } else if (!ready) {
            response.status = statusUnavailable;
        }
        if (ready != wasReady_) {
            wasReady_ = ready;
            log(LogLevel::Info, "gateway", ready ? "ready" : "not ready",
                { { "view_age_ms", std::to_string(toMillis(sync_.age(now))) },
                    { "config", std::to_string(traffic_.configuration().version().value) },
                    { "cut_off", traffic_.reach().isCutOff(now) ? "yes" : "no" },
                    { "stopping", stopping_ ? "yes" : "no" } });
        }
        request.connection->respond(response, false);
    }

    void showMetrics(const CallerRequest& request)
    {
        http::Response response;
        if (request.head.target == settings_.metricsPath) {
            response.fields.emplace_back("Content-Type", "text/plain; version=0.0.4");
            response.body = metrics_.write();
        } else {
            response.status = statusNotFound;
        }
        request.connection->respond(response, false);
    }

    void waitForSignal()
    {
        signals_.async_wait([this](const boost::system::error_code& failure, int signal) {
            if (failure)
                return;
            if (signal == SIGHUP) {
                reload();
            } else {
                beginStop();
            }
            waitForSignal();
        });
    }

    void reload()
    {
        nextReload_ = BootClock::now() + reloadPeriod;
        if (!reload_)
            return;
        Error reason;
        const auto settings = reload_(reason);
        if (reason) {
            log(LogLevel::Warn, "gateway", "settings cannot be read again, the old ones stay",
                { { "reason", toString(reason) } });
        }
        if (!settings)
            return;
        traffic_.applySettings(*settings);
        settings_.stopGrace = settings->stopGrace;
        log(LogLevel::Info, "gateway", "settings read again",
            { { "retry_ratio", std::to_string(settings->retries.ratio) },
                { "retry_slack", std::to_string(settings->retries.slack) },
                { "stop_grace_ms", std::to_string(toMillis(settings->stopGrace)) } });
    }

    void beginStop()
    {
        if (stopping_)
            return;
        stopping_ = true;
        stoppedAt_ = BootClock::now();
        log(LogLevel::Info, "gateway", "stopping",
            { { "connections", std::to_string(callers_.connectionCount()) },
                { "busy", std::to_string(callers_.busyCount()) } });
        callers_.stopKeepingConnections();
        registration_.stop([] {});
        goOnStopping();
    }

    void goOnStopping()
    {
        const auto now = BootClock::now();
        const auto busy = callers_.busyCount();
        if (stopStep(now - stoppedAt_, settings_.stopGrace, busy) == StopStep::Exit) {
            log(LogLevel::Info, "gateway", "stopped",
                { { "busy", std::to_string(busy) },
                    { "connections", std::to_string(callers_.connectionCount()) } });
            telemetry::flushLog();
            return ioContext_.stop();
        }
        runAfter(stopTimer_, stopPeriod, [this] { goOnStopping(); });
    }

    void tick()
    {
        const auto now = BootClock::now();
        sync_.step(now);
        traffic_.tick(now);
        // Callers of a VM that still knows nothing are told so rather than kept waiting.
        if (!hasListed_ && now - startedAt_ > longestSilentStart)
            callers_.begin();
        callers_.expire(now);
        probes_.expire(now);
        metricsServer_.expire(now);
        relayServer_.expire(now);
        noteMembers();
        if (now >= nextReload_)
            reload();
        telemetry::flushLog();
        runAfter(tickTimer_, tickPeriod, [this] { tick(); });
    }

    boost::asio::io_context& ioContext_;
    Settings settings_;
    const Dialect dialect_;
    const StoreLayout layout_;
    telemetry::Metrics metrics_;
    telemetry::Counter& malformed_
        = metrics_.counter("banyancroft_store_malformed_total", "Values of the store that cannot be read");
    Traffic traffic_;
    MemberCount members_;
    StoreSync sync_;
    Registration registration_;
    FrontServer callers_;
    FrontServer probes_;
    FrontServer metricsServer_;
    FrontServer relayServer_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer tickTimer_;
    boost::asio::steady_timer stopTimer_;
    TimePoint startedAt_ {};
    TimePoint stoppedAt_ {};
    TimePoint nextReload_ {};
    bool hasListed_ = false;
    bool stopping_ = false;
    bool wasReady_ = false;
};

Gateway::Gateway(boost::asio::io_context& ioContext, Settings settings, Dialect dialect, StoreLayout layout,
    store::PolledStore& store)
    : impl_(
        std::make_unique<Impl>(ioContext, std::move(settings), std::move(dialect), std::move(layout), store))
{
}

Gateway::~Gateway() = default;

bool Gateway::start(Error& reason) { return impl_->start(reason); }

void Gateway::onReload(std::function<std::optional<Settings>(Error&)> reload)
{
    impl_->reload_ = std::move(reload);
}

} // namespace banyancroft::gateway
