#include "control_plane.h"

#include "run_after.h"
#include "telemetry/log.h"

#include <algorithm>

namespace banyancroft::daemon {

namespace {

using telemetry::log;
using telemetry::LogLevel;

// Membership::tick() has to be called at least this often.
constexpr std::chrono::milliseconds tickPeriod { 100 };
constexpr std::chrono::seconds vmListPeriod { 2 };
// A member without a digest from a watcher for this many heartbeats requests the state from a peer.
constexpr int maxMissedHeartbeats = 4;
// Fallback for a watch that hangs without an error. At the planned size the document has 450 KB, so a shorter
// period would exceed the limit of 17 KB/s for control traffic.
constexpr std::chrono::seconds slowReadPeriod { 60 };
// Read period until a configuration is known.
constexpr std::chrono::seconds initialReadPeriod { 2 };
// A daemon that receives digests from its zone's watchers does not read the store itself.
constexpr std::chrono::seconds digestTimeout { 10 };
// A join takes one promise duration and one maximum deadline, 4 s by default.
constexpr Duration joinTimeout = std::chrono::seconds(10);
constexpr Duration storeDeadline = std::chrono::seconds(1);

store::EtcdStore::Options storeOptions(const Settings& settings)
{
    store::EtcdStore::Options options;
    const auto endpoint = parseEndpoint(settings.store);
    options.address = endpoint->address().to_string();
    options.port = endpoint->port();
    options.localAddress = settings.storeSource;
    options.clientName = settings.vm.str();
    options.deadline = storeDeadline;
    return options;
}

membership::Settings membershipSettings(
    const Settings& settings, Incarnation incarnation, const std::string& address)
{
    membership::Settings result;
    result.zone = settings.zone;
    result.vm = settings.vm;
    result.incarnation = incarnation;
    result.address = address;
    result.lease = settings.lease;
    result.renewEvery = settings.lease / 3;
    result.promise = settings.promise;
    return result;
}

claims::Claims::Hooks claimHooks(
    boost::asio::io_context& ioContext, std::mt19937_64& random, const Settings& settings)
{
    return { [] { return BootClock::now(); },
        [&ioContext](Duration delay, std::function<void()> function) {
            runAfter(ioContext, delay, std::move(function));
        },
        [&random] { return random(); },
        // The renewal of the lease is the longest interval at which a daemon hears from the store.
        settings.lease / 3 + storeDeadline,
        [] {
            log(LogLevel::Error, "claims",
                "store returned to an older state; refusing submits while claims are written back");
        } };
}

} // namespace

ControlPlane::ControlPlane(boost::asio::io_context& ioContext, const Settings& settings,
    Incarnation incarnation, std::string ownAddress, ByteCounters counters, Hooks hooks)
    : ioContext_(ioContext)
    , settings_(settings)
    , ownAddress_(std::move(ownAddress))
    , hooks_(std::move(hooks))
    , random_(incarnation.value)
    , store_(ioContext, storeOptions(settings))
    , network_(ioContext, { settings.vm, incarnation, settings.zone, {}, true },
          { [this](const std::string& address, wire::Message message) {
               onMessage({}, std::move(message),
                   [this, address](wire::Message reply) { network_.send(address, std::move(reply)); });
           },
              [](const std::string&, bool) {} })
    , members_(store_, membershipSettings(settings, incarnation, ownAddress_),
          { [] { return BootClock::now(); }, hooks_.onAuthority, hooks_.collectInFlight,
              [this](const std::string& address, wire::Message message) {
                  network_.send(address, std::move(message));
              },
              [this] { routingChanged_ = true; }, hooks_.onHandOverDone,
              [this](store::Revision revision) { claims_.revisionSeen(revision); } })
    , configuration_(store_, ioContext,
          [this](std::shared_ptr<const config::Document> document) { onDocument(std::move(document)); })
    , claims_(store_, std::string(storePrefix) + "claims/", claimHooks(ioContext, random_, settings))
    , tickTimer_(ioContext)
    , heartbeatTimer_(ioContext)
    , vmTimer_(ioContext)
{
    network_.countBytes(counters.sent, counters.received);
}

ControlPlane::~ControlPlane() { *alive_ = false; }

void ControlPlane::start()
{
    readStore();
    for (const auto& seed : settings_.seeds)
        requestState(seed);
    scheduleTick();
    scheduleHeartbeat();
    scheduleVmList();
}

void ControlPlane::stop() { members_.run(members_.membership().stop(BootClock::now())); }

void ControlPlane::scheduleTick()
{
    tickTimer_.expires_after(tickPeriod);
    tickTimer_.async_wait([this, alive = alive_](const boost::system::error_code& code) {
        if (code || !*alive)
            return;
        tick();
        scheduleTick();
    });
}

void ControlPlane::tick()
{
    members_.run(members_.membership().tick(BootClock::now()));
    // Rebuilds at most once per tick, however many views have changed.
    if (std::exchange(routingChanged_, false))
        rebuildRouting();
    // A daemon that is not yet a member has no watcher to send it digests, so it watches the store itself.
    const auto* view = members_.membership().view();
    const bool isMember = view && view->find(settings_.vm);
    if (!isMember || members_.membership().watcher())
        watchStore();
}

void ControlPlane::scheduleHeartbeat()
{
    // Jitter keeps the digests of a zone's daemons from arriving together.
    std::uniform_real_distribution<double> jitter(0.8, 1.2);
    const auto period = std::chrono::duration_cast<Duration>(settings_.heartbeat * jitter(random_));
    heartbeatTimer_.expires_after(period);
    heartbeatTimer_.async_wait([this, alive = alive_](const boost::system::error_code& code) {
        if (code || !*alive)
            return;
        heartbeat();
        scheduleHeartbeat();
    });
}

void ControlPlane::heartbeat()
{
    const TimePoint now = BootClock::now();
    const auto* own = members_.membership().view();
    if (members_.membership().watcher()) {
        for (const auto& member : own->members) {
            if (member.address != ownAddress_)
                network_.send(member.address, digest());
        }
        for (const auto* view : members_.views().all()) {
            if (view->zone == settings_.zone || view->members.empty())
                continue;
            std::uniform_int_distribution<std::size_t> pick(0, view->members.size() - 1);
            network_.send(view->members[pick(random_)].address, digest());
        }
        return;
    }
    if (document_ && now - lastDigest_ < settings_.heartbeat * maxMissedHeartbeats)
        return;
    std::vector<std::string> peers = settings_.seeds;
    if (own) {
        for (const auto& member : own->members)
            peers.push_back(member.address);
    }
    std::erase(peers, ownAddress_);
    if (peers.empty())
        return;
    std::uniform_int_distribution<std::size_t> pick(0, peers.size() - 1);
    requestState(peers[pick(random_)]);
}

void ControlPlane::scheduleVmList()
{
    vmTimer_.expires_after(vmListPeriod);
    vmTimer_.async_wait([this, alive = alive_](const boost::system::error_code& code) {
        if (code || !*alive)
            return;
        const auto* view = members_.membership().view();
        // The VM list is needed only to find out whether departing members have stopped.
        if (members_.membership().watcher() || (view && !view->departing.empty()))
            members_.listVms();
        scheduleVmList();
    });
}

void ControlPlane::readStore()
{
    store_.get(configstore::documentKey,
        [this, alive = alive_](std::optional<store::Listing> listing, const Error&) {
            if (!*alive || !listing)
                return;
            if (listing->entries.empty())
                return configuration_.onStoreEmpty();
            onStoreValues(listing->entries);
        });
    // The prefix also holds the member records, which are few; this read is infrequent.
    store_.list(zonePrefix, [this, alive = alive_](std::optional<store::Listing> listing, const Error&) {
        if (*alive && listing)
            onStoreValues(listing->entries);
    });
    scheduleRead();
}

void ControlPlane::scheduleRead()
{
    std::uniform_real_distribution<double> jitter(0.8, 1.2);
    const Duration period = document_ ? Duration(slowReadPeriod) : Duration(initialReadPeriod);
    const auto delay = std::chrono::duration_cast<Duration>(period * jitter(random_));
    runAfter(ioContext_, delay, [this, alive = alive_] {
        if (!*alive)
            return;
        const bool receivesDigests = BootClock::now() - lastDigest_ < digestTimeout;
        if (members_.membership().watcher() || !receivesDigests)
            readStore();
        else
            scheduleRead();
    });
}

void ControlPlane::watchStore()
{
    // Two watches, since one watch on the common prefix would also deliver every claim.
    watchPrefix(std::string(configstore::documentKey));
    watchPrefix(std::string(zonePrefix));
}

void ControlPlane::watchPrefix(const std::string& prefix)
{
    if (!watchedPrefixes_.insert(prefix).second)
        return;
    // The listing gives the revision after which the watch has to start.
    store_.list(prefix, [this, alive = alive_, prefix](std::optional<store::Listing> listing, const Error&) {
        if (!*alive)
            return;
        if (!listing) {
            watchedPrefixes_.erase(prefix);
            return;
        }
        claims_.revisionSeen(listing->revision);
        onStoreValues(listing->entries);
        const auto onChange = [this, alive](std::span<const store::KeyValue> values) {
            if (*alive)
                onStoreValues(values);
        };
        const auto onEnd = [this, alive, prefix](const Error& reason) {
            if (!*alive)
                return;
            log(LogLevel::Warn, "control", "store watch ended; restarting it",
                { { "prefix", prefix }, { "reason", toString(reason) } });
            watchedPrefixes_.erase(prefix);
        };
        store_.watch(prefix, listing->revision, onChange, onEnd);
    });
}

void ControlPlane::onStoreValues(std::span<const store::KeyValue> values)
{
    for (const auto& value : values) {
        if (value.key == configstore::documentKey)
            configuration_.onStoreValue(value);
        else
            members_.onStoreValue(value);
    }
}

void ControlPlane::onDocument(std::shared_ptr<const config::Document> document)
{
    log(LogLevel::Info, "configuration", "configuration in force",
        { { "version", std::to_string(document->version.value) },
            { "layout", std::to_string(document->layout.value) } });
    document_ = std::move(document);
    if (settings_.testNoHedge) {
        auto copy = std::make_shared<config::Document>(*document_);
        copy->policy.hedge = false;
        document_ = std::move(copy);
    }
    std::vector<UpstreamId> own;
    for (const auto& service : document_->services) {
        for (const auto& group : service.groups) {
            for (const auto& upstream : group.upstreams) {
                if (upstream.zone == settings_.zone)
                    own.push_back(upstream.id);
            }
        }
    }
    members_.run(members_.membership().setUpstreams(own, BootClock::now()));
    rebuildRouting();
}

void ControlPlane::rebuildRouting()
{
    if (!document_)
        return;
    auto table = std::make_shared<RoutingTable>();
    table->document = document_;
    for (const auto& service : document_->services) {
        for (const auto& group : service.groups) {
            for (const auto& upstream : group.upstreams) {
                if (settings_.testDirect)
                    table->homes.emplace(upstream.id, ownAddress_);
                else if (const auto* home = members_.views().homeOf(upstream.zone, upstream.id))
                    table->homes.emplace(upstream.id, home->address);
            }
        }
    }
    routing_ = table;
    hooks_.onRouting(routing_);
}

bool ControlPlane::serving() const
{
    if (!document_)
        return false;
    auto zone = std::find_if(document_->zones.begin(), document_->zones.end(),
        [this](const auto& candidate) { return candidate.id == settings_.zone; });
    return zone != document_->zones.end() && zone->serving;
}

bool ControlPlane::joinedOrTimedOut() const
{
    // During an outage of the store a new daemon cannot join, but can still serve as an entry.
    return members_.membership().active() || BootClock::now() - startedAt_ >= joinTimeout;
}

Authority ControlPlane::authority(const UpstreamId& upstream) const
{
    return members_.membership().authority(upstream);
}

wire::Digest ControlPlane::digest() const
{
    wire::Digest digest;
    if (document_)
        digest.configVersion = document_->version;
    for (const auto* view : members_.views().all())
        digest.views.push_back({ view->zone, view->number });
    return digest;
}

void ControlPlane::requestState(const std::string& address)
{
    const auto known = digest();
    network_.send(address, wire::StateRequest { known.configVersion, known.views });
}

void ControlPlane::onMessage(
    const VmId& vm, wire::Message message, const std::function<void(wire::Message)>& reply)
{
    if (const auto* digest = std::get_if<wire::Digest>(&message))
        onDigest(*digest, reply);
    else if (const auto* request = std::get_if<wire::StateRequest>(&message))
        onStateRequest(*request, reply);
    else if (const auto* state = std::get_if<wire::StateReply>(&message))
        onStateReply(*state);
    else if (const auto* promiseRequest = std::get_if<wire::PromiseRequest>(&message))
        members_.onPromiseRequest(vm, *promiseRequest);
    else if (const auto* promise = std::get_if<wire::Promise>(&message))
        members_.onPromise(vm, *promise);
}

void ControlPlane::onDigest(const wire::Digest& digest, const std::function<void(wire::Message)>& reply)
{
    lastDigest_ = BootClock::now();
    const auto own = this->digest();
    bool behind = digest.configVersion > own.configVersion;
    bool ahead = own.configVersion > digest.configVersion;
    for (const auto& remote : digest.views) {
        const auto* view = members_.views().find(remote.zone);
        behind = behind || !view || remote.view > view->number;
        ahead = ahead || (view && view->number > remote.view);
    }
    if (behind)
        reply(wire::StateRequest { own.configVersion, own.views });
    // Any member sends newer state back to a watcher, so that a watcher cut off from the store does not keep
    // its zone at an old version.
    if (ahead)
        onStateRequest({ digest.configVersion, digest.views }, reply);
}

void ControlPlane::onStateRequest(
    const wire::StateRequest& request, const std::function<void(wire::Message)>& reply)
{
    wire::StateReply state;
    if (document_ && document_->version > request.knownConfigVersion)
        state.config = configuration_.registry().text();
    for (const auto* view : members_.views().all()) {
        auto remote = std::find_if(request.knownViews.begin(), request.knownViews.end(),
            [view](const auto& candidate) { return candidate.zone == view->zone; });
        if (remote == request.knownViews.end() || remote->view < view->number)
            state.views.push_back({ view->zone, view->number, membership::serialize(*view) });
    }
    if (!state.config.empty() || !state.views.empty())
        reply(std::move(state));
}

void ControlPlane::onStateReply(const wire::StateReply& reply)
{
    lastDigest_ = BootClock::now();
    for (const auto& encoded : reply.views) {
        Error reason;
        if (auto view = membership::parseView(encoded.text, reason))
            members_.onPeerView(*view);
        else
            log(LogLevel::Warn, "control", "ignored a malformed view from a peer",
                { { "reason", toString(reason) } });
    }
    if (!reply.config.empty())
        configuration_.onPeerDocument(reply.config);
}

} // namespace banyancroft::daemon
