#include "upstreams/cold_request_limiter.h"
#include "upstreams/cold_share.h"
#include "upstreams/connection_share.h"
#include "upstreams/placement.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace banyancroft;
using namespace banyancroft::upstreams;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };
constexpr Duration typicalLatency = 15ms;

/** Three replicas of a shard, one each in zones a, b and c; requests are placed by a VM in zone a. */
struct Shard {
    Registry registry { 2s, [](RegistryEvent, const Upstream&) {} };
    std::map<std::uint64_t, bool> connectionFree;
    bool maySend = true;
    double randomValue = 0;

    Shard()
    {
        for (const std::string zone : { "a", "b", "c" }) {
            UpstreamRecord record;
            record.id = UpstreamId("in-" + zone);
            record.service = ServiceId("shard");
            record.address = "10.0.0.1";
            record.port = static_cast<std::uint16_t>(80 + zone[0]);
            record.zone = AvailabilityZone(zone);
            record.slots = 3;
            registry.apply({ record.id, record }, start);
        }
    }

    Upstream& in(const std::string& zone)
    {
        for (const auto& upstream : registry.upstreams(ServiceId("shard"))) {
            if (upstream->record.zone.str() == zone)
                return *upstream;
        }
        throw std::logic_error("no replica in the zone");
    }

    Placement placeAt(TimePoint now, std::vector<std::uint64_t> excluded = {})
    {
        PlacementHooks hooks;
        hooks.connectDelay = [this](const UpstreamPointer& upstream) -> std::optional<Duration> {
            const auto found = connectionFree.find(upstream->number);
            if (found != connectionFree.end() && !found->second)
                return std::nullopt;
            return Duration::zero();
        };
        hooks.maySend = [this](const Upstream&) { return maySend; };
        hooks.random = [this] { return randomValue; };
        PlacementRequest request;
        request.typicalLatency = typicalLatency;
        request.ownZone = AvailabilityZone("a");
        request.excluded = excluded;
        return place(registry.upstreams(ServiceId("shard")), registry, request, hooks, now);
    }

    std::string zoneOf(const Placement& placement) const
    {
        return placement.upstream ? placement.upstream->record.zone.str() : "none";
    }
};

/** Sends `count` requests one after the other, each answered after `time`. */
void answerRequests(UpstreamHealth& health, TimePoint from, Duration time, int count)
{
    for (int i = 0; i < count; ++i) {
        const auto sentAt = from + i * (time + 1ms);
        health.sent(sentAt);
        health.answered(sentAt, sentAt + time, typicalLatency);
    }
}

} // namespace

// A replica that rests gets nothing; at the end it gets one request at a time until it has answered one.
BOOST_AUTO_TEST_CASE(restingReplicaIsAvoidedAndReturnsSlowly)
{
    Shard shard;
    const auto candidates = shard.registry.upstreams(ServiceId("shard"));
    for (const auto& upstream : candidates)
        shard.registry.applyStatement(
            upstream, { false, upstream->record.zone.str() == "a" ? 1s : 3s, {} }, start);
    BOOST_TEST(shard.zoneOf(shard.placeAt(start + 900ms)) == "none");
    BOOST_TEST(!shard.placeAt(start + 900ms).canWait);
    BOOST_TEST((earliestRestEnd(candidates, shard.registry, start + 500ms) == start + 1s));
    BOOST_TEST(shard.zoneOf(shard.placeAt(start + 1s)) == "a");
    shard.in("a").health.sent(start + 1s);
    BOOST_TEST(shard.zoneOf(shard.placeAt(start + 1100ms)) == "none");
    BOOST_TEST(shard.placeAt(start + 1100ms).canWait);
    shard.in("a").isReturning = false;
    BOOST_TEST(shard.zoneOf(shard.placeAt(start + 1100ms)) == "a");
    BOOST_TEST(!earliestRestEnd(candidates, shard.registry, start + 3s));
}

BOOST_AUTO_TEST_CASE(replicaInOwnZoneIsPreferredUntilItsQueueGrows)
{
    Shard shard;
    BOOST_TEST(shard.zoneOf(shard.placeAt(start)) == "a");
    shard.in("a").health.loadReported({ 3, 6, 3 }, start);
    BOOST_TEST(shard.zoneOf(shard.placeAt(start)) != "a");
}

// A paused replica delays its requests by about 150 ms; further requests must go to other replicas.
BOOST_AUTO_TEST_CASE(stalledReplicaIsAvoidedUntilItAnswersAgain)
{
    Shard shard;
    shard.in("a").health.sent(start);
    BOOST_TEST(shard.zoneOf(shard.placeAt(start + 10ms)) == "a");
    BOOST_TEST(shard.zoneOf(shard.placeAt(start + 80ms)) != "a");
    shard.in("a").health.answered(start, start + 160ms, typicalLatency);
    answerRequests(shard.in("a").health, start + 161ms, 14ms, 12);
    BOOST_TEST(shard.zoneOf(shard.placeAt(start + 400ms)) == "a");
}

// A replica that slows down to 8 times its usual latency keeps answering and stays registered.
BOOST_AUTO_TEST_CASE(slowReplicaIsAvoidedAndUsedAgainLater)
{
    Shard shard;
    answerRequests(shard.in("a").health, start, 120ms, 4);
    const auto after = start + 600ms;
    BOOST_TEST(shard.zoneOf(shard.placeAt(after)) != "a");
    BOOST_TEST(shard.in("a").health.relativeLatency(after) > 3.0);
    BOOST_TEST(shard.zoneOf(shard.placeAt(after + 30s)) == "a");
}

// Replicas that refuse every second request still pass their health checks.
BOOST_AUTO_TEST_CASE(replicasThatRefuseRequestsAreRankedLower)
{
    Shard shard;
    for (int i = 0; i < 10; ++i) {
        const auto sentAt = start + i * 10ms;
        for (const std::string zone : { "a", "b" }) {
            auto& health = shard.in(zone).health;
            health.sent(sentAt);
            if (i % 2 == 0) {
                health.refused(sentAt, sentAt + 1ms);
            } else {
                health.answered(sentAt, sentAt + 15ms, typicalLatency);
            }
        }
    }
    BOOST_TEST(shard.in("a").health.refusalShare(start + 100ms) > 0.2);
    BOOST_TEST(shard.zoneOf(shard.placeAt(start + 110ms)) == "c");
}

BOOST_AUTO_TEST_CASE(replicaThatRefusesConnectionsIsExcludedUntilAConnectionSucceeds)
{
    Shard shard;
    auto& health = shard.in("a").health;
    health.connectFailed(true, start);
    BOOST_TEST(health.isSuspect(start));
    BOOST_TEST(shard.zoneOf(shard.placeAt(start + 10s)) != "a");
    BOOST_TEST(health.needsProbe(start + 1s));
    health.connected(start + 1s);
    BOOST_TEST(!health.isSuspect(start + 1s));
    BOOST_TEST(shard.zoneOf(shard.placeAt(start + 2s)) == "a");
}

// A single connection time-out may be a lost packet; together with unanswered requests it shows a failed
// replica.
BOOST_AUTO_TEST_CASE(failedConnectionWithUnansweredRequestsMakesReplicaSuspect)
{
    UpstreamHealth health;
    health.connectFailed(false, start);
    BOOST_TEST(!health.isSuspect(start));
    UpstreamHealth silent;
    silent.sent(start);
    BOOST_TEST(silent.needsProbe(start + 300ms));
    silent.connectFailed(false, start + 400ms);
    BOOST_TEST(silent.isSuspect(start + 400ms));
}

BOOST_AUTO_TEST_CASE(replicasInEvacuatedZoneReceiveNoRequests)
{
    Shard shard;
    shard.registry.setEvacuatedZones({ AvailabilityZone("a"), AvailabilityZone("b") });
    BOOST_TEST(shard.zoneOf(shard.placeAt(start)) == "c");
    shard.registry.setEvacuatedZones({ AvailabilityZone("a"), AvailabilityZone("b"), AvailabilityZone("c") });
    BOOST_TEST(shard.zoneOf(shard.placeAt(start)) == "none");
}

BOOST_AUTO_TEST_CASE(misdirectedReplicaReceivesNoRequests)
{
    Shard shard;
    shard.in("a").misdirected = true;
    BOOST_TEST(shard.zoneOf(shard.placeAt(start)) != "a");
}

BOOST_AUTO_TEST_CASE(excludedReplicasAreNotSelected)
{
    Shard shard;
    std::vector<std::uint64_t> tried;
    for (int i = 0; i < 3; ++i) {
        const auto placement = shard.placeAt(start, tried);
        BOOST_REQUIRE(placement.upstream);
        BOOST_TEST((std::find(tried.begin(), tried.end(), placement.upstream->number) == tried.end()));
        tried.push_back(placement.upstream->number);
    }
    BOOST_TEST(shard.zoneOf(shard.placeAt(start, tried)) == "none");
}

BOOST_AUTO_TEST_CASE(requestCanWaitWhenAllConnectionsAreBusy)
{
    Shard shard;
    for (const std::string zone : { "a", "b", "c" })
        shard.connectionFree[shard.in(zone).number] = false;
    const auto placement = shard.placeAt(start);
    BOOST_TEST(!placement.upstream);
    BOOST_TEST(placement.canWait);
}

// Reported load is outdated after a few service times; an old report must not keep requests away.
BOOST_AUTO_TEST_CASE(loadReportsDecayWithTime)
{
    UpstreamHealth health;
    health.loadReported({ 3, 9, 3 }, start);
    const auto fresh = health.expectedDelay(3, typicalLatency, start);
    const auto old = health.expectedDelay(3, typicalLatency, start + 2s);
    BOOST_TEST((fresh > 3 * typicalLatency));
    BOOST_TEST((old < typicalLatency + 1ms));
}

// The slowness of a machine changes many times a second: the latest figure counts at once and not for long.
BOOST_AUTO_TEST_CASE(reportedSlownessCountsWhileItIsFresh)
{
    UpstreamHealth health;
    health.loadReported({ 0, 0, 3, 4.0 }, start);
    BOOST_TEST((health.expectedDelay(3, typicalLatency, start) == 4 * typicalLatency));
    BOOST_TEST((health.expectedDelay(3, typicalLatency, start + 500ms) < typicalLatency + 1ms));
    BOOST_TEST((health.reportAge(start + 500ms) == 500ms));
}

// Latency that a reported slowness explains must not count twice, and a replica that always reports the same
// figure, false or not, is judged by its latency alone.
BOOST_AUTO_TEST_CASE(reportedSlownessIsNotCountedOnTopOfLatency)
{
    UpstreamHealth health;
    auto now = start;
    for (int i = 0; i < 20; ++i) {
        health.sent(now);
        now += 4 * typicalLatency;
        health.loadReported({ 0, 0, 3, 4.0 }, now);
        health.answered(now - 4 * typicalLatency, now, typicalLatency);
    }
    const auto delay = health.expectedDelay(3, typicalLatency, now);
    BOOST_TEST((delay > scaled(typicalLatency, 3.5)));
    BOOST_TEST((delay < scaled(typicalLatency, 4.5)));
    // The machine has recovered, and its replica is used again without waiting for the decay of latency.
    health.loadReported({ 0, 0, 3, 1.0 }, now);
    BOOST_TEST((health.expectedDelay(3, typicalLatency, now) < scaled(typicalLatency, 1.2)));
}

BOOST_AUTO_TEST_CASE(requestsToColdReplicaStayWithinTheirLimitInAnySecond)
{
    ColdRequestLimiter limiter(start - 10s);
    std::vector<TimePoint> starts;
    for (auto now = start; now < start + 5s; now += 7ms) {
        if (limiter.maySend(3.5, now)) {
            limiter.sent(now);
            starts.push_back(now);
        }
    }
    for (const auto from : starts) {
        const auto within = std::count_if(
            starts.begin(), starts.end(), [&](TimePoint at) { return at >= from && at < from + 1s; });
        BOOST_TEST(within <= 3);
    }
    BOOST_TEST(starts.size() >= 12U);
    BOOST_TEST(!ColdRequestLimiter(start - 10s).maySend(0.6, start));
}

// All VMs are killed and restart within a second: the requests of both processes of a VM count towards the
// limit of the cold replica.
BOOST_AUTO_TEST_CASE(restartOfAllVmsDoesNotDoubleTheRateToColdReplica)
{
    int sent = 0;
    for (int vm = 0; vm < 8; ++vm) {
        for (const auto startedAt : { start - 10s, start + 300ms }) {
            ColdRequestLimiter limiter(startedAt);
            const auto end = startedAt < start ? start + 250ms : start + 1s;
            for (auto now = std::max(start, startedAt); now < end; now += 10ms) {
                if (limiter.maySend(1.1, now)) {
                    limiter.sent(now);
                    ++sent;
                }
            }
        }
    }
    BOOST_TEST(sent <= 11);
}

// With many VMs, an even share of a cold replica's rate limit is less than one request per second and VM.
BOOST_AUTO_TEST_CASE(sharesOfAllVmsAddUpToTheLimitOfColdReplica)
{
    std::set<VmId> vms;
    for (int i = 0; i < 40; ++i)
        vms.insert(VmId("vm-" + std::to_string(i)));
    for (const double limitPerSecond : { 1.0, 4.0, 17.5, 80.0 }) {
        double total = 0;
        for (const auto& vm : vms)
            total += coldShare(UpstreamId("r1"), limitPerSecond, vms, vm);
        BOOST_TEST(total <= limitPerSecond + 1e-9);
        BOOST_TEST(total > limitPerSecond - 1);
    }
    BOOST_TEST(coldShare(UpstreamId("r1"), 5, { VmId("only") }, VmId("only")) == 5);
    BOOST_TEST(coldShare(UpstreamId("r1"), 0.5, { VmId("only") }, VmId("only")) == 0);
}

// Requests to a service whose replicas are all cold must wait instead of being refused as unavailable.
BOOST_AUTO_TEST_CASE(requestCanWaitWhenAllReplicasAreCold)
{
    Shard shard;
    shard.maySend = false;
    const auto placement = shard.placeAt(start);
    BOOST_TEST(!placement.upstream);
    BOOST_TEST(placement.canWait);
}

// With more VMs than accepted connections, replicas reset two of three new connections unless each VM limits
// itself to its share.
BOOST_AUTO_TEST_CASE(connectionsAreDividedAmongTheVms)
{
    // Enough for each VM to have several connections to each replica.
    BOOST_TEST(connectionShare(31, 3, 8).perReplica == 2U);
    BOOST_TEST(connectionShare(31, 3, 8).replicas == 3U);
    // Fewer connections than VMs: one connection to each of a subset of the replicas, at least one.
    BOOST_TEST(connectionShare(72, 3, 81).perReplica == 1U);
    BOOST_TEST(connectionShare(72, 3, 81).replicas == 2U);
    BOOST_TEST(connectionShare(5, 3, 500).replicas == 1U);
    BOOST_TEST(connectionShare(5, 0, 0).perReplica >= 1U);
    for (const unsigned vms : { 1U, 8U, 81U, 300U }) {
        const auto share = connectionShare(72, 3, vms);
        BOOST_TEST(share.perReplica * share.replicas * vms <= 72U * 3U + vms, vms);
    }
}

BOOST_AUTO_TEST_CASE(replicaSubsetsSpreadEvenlyAndReplaceSuspectReplicas)
{
    Shard shard;
    const auto replicas = shard.registry.upstreams(ServiceId("shard"));
    std::map<std::string, int> vmsPerReplica;
    for (int i = 0; i < 81; ++i) {
        const AvailabilityZone zone(std::string(1, static_cast<char>('a' + i % 4)));
        const auto selected
            = replicaSubset(replicas, 2, shard.registry, VmId("vm-" + std::to_string(i)), zone, start);
        BOOST_REQUIRE(selected.size() == 2U);
        // Three of the four availability zones have a replica of their own.
        BOOST_TEST((i % 4 == 3 || selected.front()->record.zone == zone));
        for (const auto& replica : selected)
            ++vmsPerReplica[replica->record.id.str()];
    }
    for (const auto& [replica, vms] : vmsPerReplica)
        BOOST_TEST(vms <= 72, replica << " " << vms);
    // A suspect replica is replaced by another one.
    shard.in("a").health.connectFailed(true, start);
    const auto selected
        = replicaSubset(replicas, 2, shard.registry, VmId("vm-1"), AvailabilityZone("a"), start);
    BOOST_REQUIRE(selected.size() == 2U);
    for (const auto& replica : selected)
        BOOST_TEST(replica->record.zone.str() != "a");
}
