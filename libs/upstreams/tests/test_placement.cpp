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

/** Three replicas of a shard in zones a, b and c, as seen from zone a. */
struct Shard {
    Registry registry { 2s, [](RegistryEvent, const Upstream&) {} };
    std::map<std::uint64_t, bool> connectionFree;
    bool maySend = true;
    double draw = 0;

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

    Placement choose(TimePoint now, std::vector<std::uint64_t> tried = {})
    {
        PlacementHooks hooks;
        hooks.connectDelay = [this](const UpstreamPointer& upstream) -> std::optional<Duration> {
            const auto found = connectionFree.find(upstream->number);
            if (found != connectionFree.end() && !found->second)
                return std::nullopt;
            return Duration::zero();
        };
        hooks.maySend = [this](const Upstream&) { return maySend; };
        hooks.random = [this] { return draw; };
        PlacementRequest request;
        request.typicalLatency = typicalLatency;
        request.ownZone = AvailabilityZone("a");
        request.tried = tried;
        return place(registry.upstreams(ServiceId("shard")), registry, request, hooks, now);
    }

    std::string zoneOf(const Placement& placement) const
    {
        return placement.upstream ? placement.upstream->record.zone.str() : "none";
    }
};

/** Sends and answers `count` requests one after the other. */
void answer(UpstreamHealth& health, TimePoint from, Duration time, int count)
{
    for (int i = 0; i < count; ++i) {
        const auto sentAt = from + i * (time + 1ms);
        health.sent(sentAt);
        health.answered(sentAt, sentAt + time, typicalLatency);
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(theOwnZoneIsUsedWhileItCostsNoWaiting)
{
    Shard shard;
    BOOST_TEST(shard.zoneOf(shard.choose(start)) == "a");
    shard.in("a").health.loadReported({ 3, 6, 3 }, start);
    BOOST_TEST(shard.zoneOf(shard.choose(start)) != "a");
}

// A paused replica holds requests for 150 ms; the next request must not join them.
BOOST_AUTO_TEST_CASE(aReplicaThatStandsStillIsPassedOver)
{
    Shard shard;
    shard.in("a").health.sent(start);
    BOOST_TEST(shard.zoneOf(shard.choose(start + 10ms)) == "a");
    BOOST_TEST(shard.zoneOf(shard.choose(start + 80ms)) != "a");
    shard.in("a").health.answered(start, start + 160ms, typicalLatency);
    answer(shard.in("a").health, start + 161ms, 14ms, 12);
    BOOST_TEST(shard.zoneOf(shard.choose(start + 400ms)) == "a");
}

// Replicas that turn slow (8 times the usual time) keep answering and stay registered.
BOOST_AUTO_TEST_CASE(aSlowReplicaIsPassedOverAndTriedAgainLater)
{
    Shard shard;
    answer(shard.in("a").health, start, 120ms, 4);
    const auto after = start + 600ms;
    BOOST_TEST(shard.zoneOf(shard.choose(after)) != "a");
    BOOST_TEST(shard.in("a").health.relativeLatency(after) > 3.0);
    BOOST_TEST(shard.zoneOf(shard.choose(after + 30s)) == "a");
}

// Replicas that refuse every second request answer their health checks all the same.
BOOST_AUTO_TEST_CASE(aReplicaThatRefusesIsRankedByItsRefusals)
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
    BOOST_TEST(shard.zoneOf(shard.choose(start + 110ms)) == "c");
}

BOOST_AUTO_TEST_CASE(aReplicaThatRefusesConnectionsIsLeftOutUntilOneSucceeds)
{
    Shard shard;
    auto& health = shard.in("a").health;
    health.connectFailed(true, start);
    BOOST_TEST(health.isSuspect(start));
    BOOST_TEST(shard.zoneOf(shard.choose(start + 10s)) != "a");
    BOOST_TEST(health.needsProbe(start + 1s));
    health.connected(start + 1s);
    BOOST_TEST(!health.isSuspect(start + 1s));
    BOOST_TEST(shard.zoneOf(shard.choose(start + 2s)) == "a");
}

// One connection that times out may be a lost packet; one beside unanswered requests is not.
BOOST_AUTO_TEST_CASE(silenceAndAFailedConnectionTogetherMakeAReplicaSuspect)
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

BOOST_AUTO_TEST_CASE(replicasOfAZoneTakenOutGetNothing)
{
    Shard shard;
    shard.registry.setZonesOut({ AvailabilityZone("a"), AvailabilityZone("b") });
    BOOST_TEST(shard.zoneOf(shard.choose(start)) == "c");
    shard.registry.setZonesOut({ AvailabilityZone("a"), AvailabilityZone("b"), AvailabilityZone("c") });
    BOOST_TEST(shard.zoneOf(shard.choose(start)) == "none");
}

BOOST_AUTO_TEST_CASE(aReplicaThatAnsweredAsAnotherIsNotAskedAgain)
{
    Shard shard;
    shard.in("a").misdirected = true;
    BOOST_TEST(shard.zoneOf(shard.choose(start)) != "a");
}

BOOST_AUTO_TEST_CASE(aRequestNeverGoesToTheSameReplicaTwice)
{
    Shard shard;
    std::vector<std::uint64_t> tried;
    for (int i = 0; i < 3; ++i) {
        const auto placement = shard.choose(start, tried);
        BOOST_REQUIRE(placement.upstream);
        BOOST_TEST((std::find(tried.begin(), tried.end(), placement.upstream->number) == tried.end()));
        tried.push_back(placement.upstream->number);
    }
    BOOST_TEST(shard.zoneOf(shard.choose(start, tried)) == "none");
}

BOOST_AUTO_TEST_CASE(busyConnectionsAreToldApartFromMissingReplicas)
{
    Shard shard;
    for (const std::string zone : { "a", "b", "c" })
        shard.connectionFree[shard.in(zone).number] = false;
    const auto placement = shard.choose(start);
    BOOST_TEST(!placement.upstream);
    BOOST_TEST(placement.canWait);
}

// The load a replica tells ages within a few service times; an old report must not keep it away.
BOOST_AUTO_TEST_CASE(oldLoadReportsLoseTheirWeight)
{
    UpstreamHealth health;
    health.loadReported({ 3, 9, 3 }, start);
    const auto fresh = health.expectedDelay(3, typicalLatency, start);
    const auto old = health.expectedDelay(3, typicalLatency, start + 2s);
    BOOST_TEST((fresh > 3 * typicalLatency));
    BOOST_TEST((old < typicalLatency + 1ms));
}

BOOST_AUTO_TEST_CASE(aColdReplicaGetsNoMoreThanItsShareInAnySecond)
{
    ColdRequestLimiter pacer(start - 10s);
    std::vector<TimePoint> starts;
    for (auto now = start; now < start + 5s; now += 7ms) {
        if (pacer.maySend(3.5, now)) {
            pacer.sent(now);
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

// All VMs are killed and start again within a second: both processes of a VM count for the replica.
BOOST_AUTO_TEST_CASE(aRestartDoesNotDoubleWhatAColdReplicaGets)
{
    int sent = 0;
    for (int vm = 0; vm < 8; ++vm) {
        for (const auto startedAt : { start - 10s, start + 300ms }) {
            ColdRequestLimiter pacer(startedAt);
            const auto end = startedAt < start ? start + 250ms : start + 1s;
            for (auto now = std::max(start, startedAt); now < end; now += 10ms) {
                if (pacer.maySend(1.1, now)) {
                    pacer.sent(now);
                    ++sent;
                }
            }
        }
    }
    BOOST_TEST(sent <= 11);
}

// With many VMs, an even share of what a cold replica bears would be less than one request for each.
BOOST_AUTO_TEST_CASE(allVmsTogetherSendAColdReplicaWhatItBears)
{
    std::set<VmId> vms;
    for (int i = 0; i < 40; ++i)
        vms.insert(VmId("vm-" + std::to_string(i)));
    for (const double bears : { 1.0, 4.0, 17.5, 80.0 }) {
        double total = 0;
        for (const auto& vm : vms)
            total += coldShare(UpstreamId("r1"), bears, vms, vm);
        BOOST_TEST(total <= bears + 1e-9);
        BOOST_TEST(total > bears - 1);
    }
    BOOST_TEST(coldShare(UpstreamId("r1"), 5, { VmId("only") }, VmId("only")) == 5);
    BOOST_TEST(coldShare(UpstreamId("r1"), 0.5, { VmId("only") }, VmId("only")) == 0);
}

// A service of which all replicas are cold is served slowly and not refused as unavailable.
BOOST_AUTO_TEST_CASE(aColdReplicaIsWaitedFor)
{
    Shard shard;
    shard.maySend = false;
    const auto placement = shard.choose(start);
    BOOST_TEST(!placement.upstream);
    BOOST_TEST(placement.canWait);
}

// With more VMs than connections, replicas reset two of three new connections.
BOOST_AUTO_TEST_CASE(connectionsAreDividedBetweenTheVms)
{
    // Enough for several connections of each VM to each replica.
    BOOST_TEST(connectionShare(31, 3, 8).perReplica == 2U);
    BOOST_TEST(connectionShare(31, 3, 8).replicas == 3U);
    // Fewer than VMs: one connection to some replicas, and never none.
    BOOST_TEST(connectionShare(72, 3, 81).perReplica == 1U);
    BOOST_TEST(connectionShare(72, 3, 81).replicas == 2U);
    BOOST_TEST(connectionShare(5, 3, 500).replicas == 1U);
    BOOST_TEST(connectionShare(5, 0, 0).perReplica >= 1U);
    for (const unsigned vms : { 1U, 8U, 81U, 300U }) {
        const auto share = connectionShare(72, 3, vms);
        BOOST_TEST(share.perReplica * share.replicas * vms <= 72U * 3U + vms, vms);
    }
}

BOOST_AUTO_TEST_CASE(keptReplicasAreSpreadEvenlyAndReplaced)
{
    Shard shard;
    const auto replicas = shard.registry.upstreams(ServiceId("shard"));
    std::map<std::string, int> vmsPerReplica;
    for (int i = 0; i < 81; ++i) {
        const AvailabilityZone zone(std::string(1, static_cast<char>('a' + i % 4)));
        const auto kept
            = replicaSubset(replicas, 2, shard.registry, VmId("vm-" + std::to_string(i)), zone, start);
        BOOST_REQUIRE(kept.size() == 2U);
        // The own availability zone has a replica in all but one of the four.
        BOOST_TEST((i % 4 == 3 || kept.front()->record.zone == zone));
        for (const auto& replica : kept)
            ++vmsPerReplica[replica->record.id.str()];
    }
    for (const auto& [replica, vms] : vmsPerReplica)
        BOOST_TEST(vms <= 72, replica << " " << vms);
    // A silent replica is replaced by another one.
    shard.in("a").health.connectFailed(true, start);
    const auto kept = replicaSubset(replicas, 2, shard.registry, VmId("vm-1"), AvailabilityZone("a"), start);
    BOOST_REQUIRE(kept.size() == 2U);
    for (const auto& replica : kept)
        BOOST_TEST(replica->record.zone.str() != "a");
}
