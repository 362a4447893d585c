#include "gateway/gateway.h"

#include "dispatch_tier.h"
#include "evacuations.h"
#include "http_listener.h"
#include "local_responses.h"
#include "membership.h"
#include "planned_stop.h"
#include "readiness.h"
#include "request_runner.h"
#include "rollout_writer.h"
#include "run_after.h"
#include "store_sync.h"
#include "telemetry/log.h"
#include "traffic_manager.h"
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

/** Resolution of timeouts that have no timer of their own. */
constexpr Duration tickPeriod = std::chrono::milliseconds(100);
/** Interval of settings reloads; settings may change without a signal. */
constexpr Duration reloadPeriod = std::chrono::seconds(5);
/** Time to live of this VM's registration; long enough to survive short outages of the store. */
constexpr Duration registrationLease = std::chrono::seconds(5);
/** Callers' connections are not accepted for up to this time while the first listing of the store, which
 * usually takes some 20 ms, is pending. */
constexpr Duration maxInitialListingWait = std::chrono::milliseconds(250);
/** Maximum connections to each of the readiness and metrics addresses. */
constexpr std::size_t maxProbeConnections = 32;
/** Maximum connections of other VMs that poll for changes. */
constexpr std::size_t maxRelayConnections = 200;
/** Times in which a VM that has just started asks only its peers for a first view, see SyncIntervals. */
constexpr Duration peersFirstAfterStart = std::chrono::milliseconds(100);
constexpr Duration respondingPeersFirstAfterStart = std::chrono::milliseconds(1500);
/** A VM with this many cores is expected to dispatch, so others depend on it from the start. */
constexpr double expectedDispatcherProcessors = 0.25;
/** Callers may use 1 / callerSocketDivisor of the sockets; the rest is for replicas and the store. */
constexpr std::size_t callerSocketDivisor = 2;

SyncIntervals syncIntervals(const Settings& settings)
{
    return { scaled(settings.maxPropagationDelay, storePollFraction),
        scaled(settings.maxPropagationDelay, peerPollFraction),
        scaled(settings.maxPropagationDelay, staleFraction), peersFirstAfterStart,
        respondingPeersFirstAfterStart };
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
        , sync_(ioContext, store, layout_.watchedPrefix, syncIntervals(settings_), syncHooks(), metrics_)
        , registration_(ioContext, store, layout_.memberPrefix + settings_.vm.str(),
              layout_.encodeMember(
                  { settings_.zone, settings_.relay, settings_.handover, settings_.processors }),
              std::max<Duration>(settings_.minLeaseTtl, registrationLease))
        , rolloutWriter_(ioContext, traffic_, members_, store, layout_, metrics_)
        , callerListener_(ioContext, settings_.maxSockets / callerSocketDivisor, traffic_.memory(),
              [this](const CallerRequest& request) { serveCaller(request); })
        , readinessListener_(ioContext, maxProbeConnections, traffic_.memory(),
              [this](const CallerRequest& request) { serveReadiness(request); })
        , metricsListener_(ioContext, maxProbeConnections, traffic_.memory(),
              [this](const CallerRequest& request) { serveMetrics(request); })
        , relayListener_(ioContext, maxRelayConnections, traffic_.memory(),
              [this](const CallerRequest& request) { serveRelay(request); })
        , tier_(traffic_, members_, registration_, tierHooks())
        , stop_(ioContext, callerListener_, traffic_, stopHooks())
        , signals_(ioContext, SIGTERM, SIGINT, SIGHUP)
        , tickTimer_(ioContext)
    {
        callerListener_.onSlowCaller([this] { traffic_.recordSlowCaller(); });
        callerListener_.onWaiting([this] { traffic_.recordMemoryWait("body of a request"); });
        callerListener_.onRefusal(
            [this](const http::RequestHead& head, std::size_t bytes, TimePoint arrivedAt) {
                return traffic_.refusalOfWaiting(head, bytes, arrivedAt, BootClock::now());
            });
        metrics_.gauge("banyancroft_gateway_config_version", "Version of the configuration in force",
            [this] { return static_cast<double>(traffic_.configuration().version().value); });
        metrics_.gauge("banyancroft_gateway_upstreams", "Replicas that are registered",
            [this] { return static_cast<double>(traffic_.registry().size()); });
        metrics_.gauge("banyancroft_gateway_dispatchers", "Live VMs that dispatch and share limits",
            [this] { return static_cast<double>(traffic_.dispatchers().size()); });
        metrics_.gauge("banyancroft_gateway_is_dispatcher", "1 while this VM dispatches",
            [this] { return tier_.isDispatching() ? 1.0 : 0.0; });
        metrics_.gauge("banyancroft_gateway_utilization", "Fraction of the processors that sends use",
            [this] { return tier_.utilization(); });
        metrics_.gauge("banyancroft_gateway_ready", "1 while the readiness probe answers 200",
            [this] { return isReadyNow(BootClock::now()) ? 1.0 : 0.0; });
        metrics_.gauge("banyancroft_view_age_seconds", "Time since the view was the newest of the store",
            [this] { return toMillis(sync_.age(BootClock::now())) / 1000; });
        metrics_.gauge("banyancroft_store_era", "Times that the store was restored, as of this VM's view",
            [this] { return static_cast<double>(sync_.view().era().value); });
    }

    bool start(Error& reason)
    {
        if (!callerListener_.listen(settings_.callers, reason)
            || !readinessListener_.listen(settings_.readiness, reason)
            || !metricsListener_.listen(settings_.metrics, reason)
            || (settings_.relay.port != 0 && !relayListener_.listen(settings_.relay, reason))
            || !tier_.start(reason))
            return false;
        log(LogLevel::Info, "gateway", "started",
            { { "version", BANYANCROFT_VERSION }, { "zone", settings_.zone.str() },
                { "callers", settings_.callers.address + ":" + std::to_string(settings_.callers.port) } });
        startedAt_ = BootClock::now();
        readinessListener_.startAccepting();
        metricsListener_.startAccepting();
        if (settings_.relay.port != 0)
            relayListener_.startAccepting();
        tier_.update(startedAt_);
        waitForSignal();
        tick();
        return true;
    }

    std::function<std::optional<Settings>(Error&)> reload_;

private:
    StoreSync::Hooks syncHooks()
    {
        StoreSync::Hooks hooks;
        hooks.viewUpdated = [this](const ViewUpdate& update) {
            if (update.isFull)
                return applyListing(update.content.entries);
            for (const auto& entry : update.content.entries)
                applyChange(entry);
            tier_.update(BootClock::now());
        };
        hooks.storeRecovered = [this](TimePoint at) { traffic_.registry().storeRecovered(at); };
        hooks.storeRestored = [this](TimePoint at) { handleRestore(at); };
        hooks.outranks = layout_.outranks;
        hooks.isReader = [this] { return members_.storeReader(settings_.zone) == settings_.vm; };
        hooks.isSource = [this] { return isSourceOfChanges(); };
        hooks.peerAddress = [this](PeerChoice choice) { return peerAddress(choice); };
        return hooks;
    }

    /** True if other VMs depend on this one for changes of the store. */
    bool isSourceOfChanges() const
    {
        const auto& seeds = settings_.seeds;
        const bool isSeed = std::any_of(seeds.begin(), seeds.end(),
            [this](const ListenAddress& seed) { return seed.address == settings_.relay.address; });
        const bool expectsToDispatch = !hasListing_ && settings_.processors >= expectedDispatcherProcessors;
        return tier_.isDispatching() || isSeed || seeds.empty() || expectsToDispatch;
    }

    DispatchTier::Hooks tierHooks()
    {
        DispatchTier::Hooks hooks;
        hooks.hasListing = [this] { return hasListing_; };
        hooks.isStopping = [this] { return stop_.hasBegun(); };
        hooks.viewCurrentAt = [this] { return sync_.view().currentAt(); };
        hooks.fetchConfiguration = [this](const std::optional<VmId>& from) {
            sync_.refresh(from ? members_.relayAddress(*from) : std::nullopt, BootClock::now());
        };
        return hooks;
    }

    PlannedStop::Hooks stopHooks()
    {
        PlannedStop::Hooks hooks;
        hooks.grace = [this] { return settings_.stopGrace; };
        hooks.requestsOfOtherVms = [this] { return tier_.pendingRequests(); };
        hooks.exit = [this] { ioContext_.stop(); };
        return hooks;
    }

    void serveCaller(const CallerRequest& request)
    {
        const auto now = BootClock::now();
        if (!stop_.takesRequests())
            return stop_.refuse(request, now);
        tier_.serve(incomingRequest(request), now);
    }

    std::optional<ListenAddress> peerAddress(PeerChoice choice)
    {
        if (choice == PeerChoice::Reader)
            return members_.relayAddress(members_.storeReader(settings_.zone));
        auto relays = members_.otherRelayAddresses();
        if (relays.empty())
            std::copy_if(settings_.seeds.begin(), settings_.seeds.end(), std::back_inserter(relays),
                [this](const auto& seed) { return seed.address != settings_.relay.address; });
        if (relays.empty())
            return std::nullopt;
        const auto index
            = static_cast<std::size_t>(traffic_.uniformRandom() * static_cast<double>(relays.size()));
        return relays[std::min(index, relays.size() - 1)];
    }

    /** Sends another VM the part of this VM's view of the store that it lacks. */
    void serveRelay(const CallerRequest& request)
    {
        http::Response response;
        if (request.head.target == rolloutSamplesPath) {
            response.fields.emplace_back("Content-Type", "application/msgpack");
            response.body = rolloutWriter_.encodeSamples();
            return request.connection->respond(response, false);
        }
        const auto question = decodeQuestion(request.head.target);
        if (!question) {
            response.status = statusNotFound;
        } else if (sync_.view().isEmpty()) {
            response.status = statusUnavailable;
        } else {
            response.fields.emplace_back("Content-Type", "application/msgpack");
            response.body = encodeUpdate(
                sync_.view().since(question->known, question->knownRetained), BootClock::now());
        }
        request.connection->respond(response, false);
    }

    /** Decodes an entry; IgnoredKey if its value is malformed. */
    StoreItem decode(const store::KeyValue& entry)
    {
        Error reason;
        try {
            if (auto item = layout_.decode(entry, reason))
                return std::move(*item);
        } catch (const std::exception& error) {
            // The other entries of the update still have to be applied.
            reason = { ErrorKind::Internal, error.what(), "report the value of this key" };
        }
        malformedValues_.add();
        log(LogLevel::Warn, "store", "ignoring malformed value in the store",
            { { "key", entry.key }, { "revision", std::to_string(entry.modified.value) },
                { "reason", toString(reason) } });
        return IgnoredKey {};
    }

    /** What the copy lacks stays in force for a time, since operators, replicas and VMs write it again. */
    void handleRestore(TimePoint now)
    {
        const auto graceEnd = now + settings_.reregistrationGrace;
        traffic_.registry().storeRestored(now);
        members_.storeRestored(graceEnd);
        evacuations_.storeRestored(graceEnd);
        registration_.storeRestored();
        traffic_.rollouts().storeRestored(now);
    }

    void applyListing(std::span<const store::KeyValue> entries)
    {
        const auto now = BootClock::now();
        std::vector<upstreams::UpstreamRecord> records;
        std::set<AvailabilityZone> evacuatedZones;
        std::map<VmId, MemberRecord> vms;
        RolloutListing rollouts;
        for (const auto& entry : entries) {
            auto item = decode(entry);
            if (auto* configuration = std::get_if<routing::Configuration>(&item))
                acceptConfiguration(std::move(*configuration), entry.modified, now);
            if (auto* change = std::get_if<upstreams::RegistryChange>(&item); change && change->record)
                records.push_back(std::move(*change->record));
            if (const auto* zone = std::get_if<ZoneEvacuationChange>(&item))
                evacuatedZones.insert(zone->zone);
            if (auto* member = std::get_if<MemberChange>(&item); member && member->record)
                vms[member->vm] = std::move(*member->record);
            rollouts.add(item);
        }
        traffic_.rollouts().applyListing(std::move(rollouts), now);
        traffic_.registry().applyListing(records, now);
        evacuations_.replaceAll(std::move(evacuatedZones));
        applyEvacuations(now);
        members_.replaceAll(vms, now);
        hasListing_ = true;
        tier_.update(now);
        callerListener_.startAccepting();
    }

    void applyChange(const store::KeyValue& entry)
    {
        const auto now = BootClock::now();
        auto item = entry.modified ? decode(entry) : layout_.decodeRemoval(entry.key);
        if (auto* configuration = std::get_if<routing::Configuration>(&item))
            acceptConfiguration(std::move(*configuration), entry.modified, now);
        if (const auto* change = std::get_if<upstreams::RegistryChange>(&item))
            traffic_.registry().apply(*change, now);
        if (const auto* zone = std::get_if<ZoneEvacuationChange>(&item)) {
            evacuations_.set(zone->zone, zone->isEvacuated);
            applyEvacuations(now);
        }
        if (auto* member = std::get_if<MemberChange>(&item)) {
            if (member->record) {
                members_.add(member->vm, std::move(*member->record));
            } else {
                members_.remove(member->vm, now);
            }
        }
        traffic_.rollouts().apply(item, now);
    }

    void applyEvacuations(TimePoint now)
    {
        auto zones = evacuations_.zones(now);
        if (zones == traffic_.registry().evacuatedZones())
            return;
        std::string names;
        for (const auto& zone : zones)
            names.append(names.empty() ? "" : ",").append(zone.view());
        log(LogLevel::Info, "registry", "set of evacuated availability zones changed",
            { { "zones", names } });
        traffic_.registry().setEvacuatedZones(std::move(zones));
    }

    void acceptConfiguration(routing::Configuration configuration, store::Revision revision, TimePoint now)
    {
        const auto version = configuration.version;
        const auto limits = configuration.limits;
        const bool accepted = traffic_.configuration().update(std::move(configuration), now);
        log(LogLevel::Info, "configuration",
            accepted ? "configuration accepted" : "configuration ignored, not newer than the current one",
            { { "version", std::to_string(version.value) },
                { "in_force", std::to_string(traffic_.configuration().version().value) },
                { "revision", std::to_string(revision.value) } });
        if (accepted && traffic_.configuration().current()->sharedKeys() > 0)
            log(LogLevel::Warn, "configuration",
                "several customers hold the same API keys; the first customer of each key is used",
                { { "version", std::to_string(version.value) },
                    { "keys", std::to_string(traffic_.configuration().current()->sharedKeys()) } });
        if (accepted)
            callerListener_.setLimits(
                { limits.headerBytes, limits.bodyBytes }, { limits.headerTimeout, limits.idleTimeout });
    }

    /** True while this VM serves callers worse than those of other availability zones. */
    bool isCutOff(TimePoint now) { return traffic_.reach().isCutOff(now) || tier_.isZoneCutOff(); }

    bool isReadyNow(TimePoint now)
    {
        ReadinessInputs inputs;
        inputs.hasConfiguration = traffic_.configuration().current() != nullptr;
        inputs.hasRegistrations = hasListing_;
        inputs.isStopping = stop_.hasBegun();
        inputs.isCutOff = isCutOff(now);
        return isReady(inputs);
    }

    void serveReadiness(const CallerRequest& request)
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
                    { "cut_off", isCutOff(now) ? "yes" : "no" },
                    { "stopping", stop_.hasBegun() ? "yes" : "no" } });
        }
        request.connection->respond(response, false);
    }

    void serveMetrics(const CallerRequest& request)
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
            waitForSignal();
            if (signal == SIGHUP) {
                reload();
            } else {
                beginShutdown();
            }
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
            log(LogLevel::Warn, "gateway", "cannot reload settings, keeping the current ones",
                { { "reason", toString(reason) } });
        }
        if (!settings)
            return;
        traffic_.applySettings(*settings, BootClock::now());
        settings_.stopGrace = settings->stopGrace;
        log(LogLevel::Info, "gateway", "settings reloaded",
            { { "retry_ratio", std::to_string(settings->retries.ratio) },
                { "retry_slack", std::to_string(settings->retries.slack) },
                { "stop_grace_ms", std::to_string(toMillis(settings->stopGrace)) } });
    }

    void beginShutdown()
    {
        if (stop_.hasBegun())
            return;
        registration_.stop();
        stop_.begin(BootClock::now());
    }

    void tick()
    {
        // First, so that an error in one tick does not end the ticks.
        runAfter(tickTimer_, tickPeriod, [this] { tick(); });
        const auto now = BootClock::now();
        sync_.step(now);
        members_.applyDeferredRemovals(now);
        applyEvacuations(now);
        traffic_.tick(now);
        // Revisions of an older era may have been given out again, so no write may depend on them.
        if (!sync_.isOfOldEra())
            rolloutWriter_.tick(sync_.age(now), now);
        // Without a first listing, requests are refused from here on instead of being kept waiting.
        if (!hasListing_ && now - startedAt_ > maxInitialListingWait)
            callerListener_.startAccepting();
        callerListener_.expire(now);
        readinessListener_.expire(now);
        metricsListener_.expire(now);
        relayListener_.expire(now);
        tier_.tick(now);
        if (now >= nextReload_)
            reload();
        telemetry::flushLog();
    }

    boost::asio::io_context& ioContext_;
    Settings settings_;
    const Dialect dialect_;
    const StoreLayout layout_;
    telemetry::Metrics metrics_;
    telemetry::Counter& malformedValues_
        = metrics_.counter("banyancroft_store_malformed_total", "Values of the store that cannot be read");
    TrafficManager traffic_;
    MemberTracker members_;
    Evacuations evacuations_;
    StoreSync sync_;
    Registration registration_;
    RolloutWriter rolloutWriter_;
    HttpListener callerListener_;
    HttpListener readinessListener_;
    HttpListener metricsListener_;
    HttpListener relayListener_;
    DispatchTier tier_;
    PlannedStop stop_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer tickTimer_;
    TimePoint startedAt_ {};
    TimePoint nextReload_ {};
    bool hasListing_ = false;
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
