#include "upstreams/registry.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::upstreams;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };
const ServiceId service { "search" };

UpstreamRecord record(std::string id, std::uint64_t startedAtUnixMillis = 5000, std::uint64_t sequence = 1)
{
    UpstreamRecord result;
    result.id = UpstreamId(std::move(id));
    result.service = service;
    result.address = "10.0.0.1";
    result.port = 80;
    result.zone = AvailabilityZone("a");
    result.slots = 3;
    result.startedAtUnixMillis = startedAtUnixMillis;
    result.sequence = sequence;
    return result;
}

struct RegistryFixture {
    std::vector<RegistryEvent> events;
    Registry registry { 2s, [this](RegistryEvent event, const Upstream&) { events.push_back(event); } };

    void put(const UpstreamRecord& entry, TimePoint now) { registry.apply({ entry.id, entry }, now); }
    void remove(std::string id, TimePoint now) { registry.apply({ UpstreamId(std::move(id)), {} }, now); }
    std::size_t listedCount() const { return registry.upstreams(service).size(); }
};

} // namespace

BOOST_AUTO_TEST_CASE(drainingReplicaReceivesNoNewRequests)
{
    RegistryFixture fixture;
    fixture.put(record("r1"), start);
    const auto upstream = fixture.registry.upstreams(service).front();
    auto drainingRecord = record("r1", 5000, 2);
    drainingRecord.draining = true;
    fixture.put(drainingRecord, start + 1s);
    BOOST_TEST(fixture.listedCount() == 0U);
    BOOST_TEST(!upstream->usable);
    BOOST_TEST((fixture.events.back() == RegistryEvent::Draining));
}

// Some replicas stop without draining first; only the removal of their entry shows it.
BOOST_AUTO_TEST_CASE(replicaIsDroppedWhenItsEntryIsRemoved)
{
    RegistryFixture fixture;
    fixture.put(record("r1"), start);
    fixture.remove("r1", start + 10s);
    BOOST_TEST(fixture.listedCount() == 0U);
    BOOST_TEST(fixture.registry.size() == 0U);
}

// Guards against dropping all replicas because their entries expired during an outage of the store.
BOOST_AUTO_TEST_CASE(entriesThatExpiredDuringOutageMayBeRenewedWithinTheGracePeriod)
{
    RegistryFixture fixture;
    fixture.put(record("r1"), start);
    fixture.put(record("r2"), start);
    fixture.registry.storeRecovered(start + 20s);
    fixture.remove("r1", start + 20100ms);
    fixture.remove("r2", start + 20100ms);
    BOOST_TEST(fixture.listedCount() == 2U);
    fixture.put(record("r1", 5000, 9), start + 21s);
    fixture.registry.applyDeferredRemovals(start + 21500ms);
    BOOST_TEST(fixture.listedCount() == 2U);
    fixture.registry.applyDeferredRemovals(start + 22s);
    BOOST_TEST(fixture.listedCount() == 1U);
    BOOST_TEST(fixture.registry.upstreams(service).front()->record.id.str() == "r1");
}

// Repeated outages must not keep a replica in use that has left.
BOOST_AUTO_TEST_CASE(laterRecoveryDoesNotExtendDeferral)
{
    RegistryFixture fixture;
    fixture.put(record("r1"), start);
    fixture.put(record("r2"), start);
    fixture.registry.storeRecovered(start + 20s);
    fixture.remove("r1", start + 20100ms);
    BOOST_TEST((fixture.events.back() == RegistryEvent::RemovalDeferred));
    fixture.registry.storeRecovered(start + 21500ms);
    fixture.remove("r1", start + 21600ms);
    fixture.remove("r2", start + 21600ms);
    fixture.registry.applyDeferredRemovals(start + 22s);
    BOOST_TEST(fixture.listedCount() == 1U);
    fixture.registry.applyDeferredRemovals(start + 23500ms);
    BOOST_TEST(fixture.listedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(listingRemovesReplicasThatItLacks)
{
    RegistryFixture fixture;
    fixture.put(record("r1"), start);
    fixture.put(record("r2"), start);
    const std::vector<UpstreamRecord> records { record("r2"), record("r3") };
    fixture.registry.applyListing(records, start + 5s);
    BOOST_TEST(fixture.listedCount() == 2U);
    BOOST_TEST(fixture.registry.size() == 2U);
}

// A replica may restart under the same id; observations of the previous run do not apply to the new one.
BOOST_AUTO_TEST_CASE(restartUnderTheSameIdCreatesNewUpstream)
{
    RegistryFixture fixture;
    fixture.put(record("r1", 5000, 40), start);
    const auto firstRun = fixture.registry.upstreams(service).front();
    firstRun->misdirected = true;
    fixture.put(record("r1", 9000, 1), start + 3s);
    const auto secondRun = fixture.registry.upstreams(service).front();
    BOOST_TEST(secondRun->number != firstRun->number);
    BOOST_TEST(!firstRun->usable);
    BOOST_TEST(!secondRun->misdirected);
    // A late write of the previous run does not replace the new one.
    fixture.put(record("r1", 5000, 41), start + 4s);
    BOOST_TEST(fixture.registry.upstreams(service).front()->number == secondRun->number);
}

// Guards against use of a replica that has said in an answer that it leaves: neither its registration, a
// listing nor a registration after its removal takes that back, but a restart does.
BOOST_AUTO_TEST_CASE(leavingReplicaIsNotUsedUntilItRestarts)
{
    RegistryFixture fixture;
    fixture.put(record("r1", 5000, 1), start);
    fixture.registry.applyStatement(fixture.registry.upstreams(service).front(), { true, {}, {} }, start);
    BOOST_TEST((fixture.events.back() == RegistryEvent::Leaving));
    BOOST_TEST(fixture.listedCount() == 0U);
    fixture.put(record("r1", 5000, 2), start + 1s);
    BOOST_TEST(fixture.listedCount() == 0U);
    const std::vector<UpstreamRecord> listing { record("r1", 5000, 3) };
    fixture.registry.applyListing(listing, start + 2s);
    BOOST_TEST(fixture.listedCount() == 0U);
    fixture.remove("r1", start + 3s);
    fixture.put(record("r1", 5000, 4), start + 4s);
    BOOST_TEST(fixture.listedCount() == 0U);
    fixture.put(record("r1", 9000, 1), start + 5s);
    BOOST_TEST(fixture.listedCount() == 1U);
}

BOOST_AUTO_TEST_CASE(longerRestReplacesShorterOneAndNotTheOtherWayRound)
{
    RegistryFixture fixture;
    fixture.put(record("r1"), start);
    const auto upstream = fixture.registry.upstreams(service).front();
    fixture.registry.applyStatement(upstream, { false, 2s, {} }, start);
    fixture.registry.applyStatement(upstream, { false, 500ms, {} }, start + 1s);
    BOOST_TEST(upstream->isResting(start + 1900ms));
    fixture.registry.applyStatement(upstream, { false, 3s, {} }, start + 1s);
    BOOST_TEST(upstream->isResting(start + 3900ms));
    BOOST_TEST(!upstream->isResting(start + 4s));
    BOOST_TEST(fixture.listedCount() == 1U);
}

// Guards against the full rate for a replica that turns cold again while it runs.
BOOST_AUTO_TEST_CASE(laterEntryOfRunningReplicaExtendsColdPhase)
{
    RegistryFixture fixture;
    fixture.put(record("r1", 5000, 1), start);
    const auto upstream = fixture.registry.upstreams(service).front();
    BOOST_TEST(!upstream->isCold(start));
    auto cold = record("r1", 5000, 2);
    cold.coldFor = 6s;
    fixture.put(cold, start + 10s);
    BOOST_TEST(upstream->isCold(start + 15s));
    // The same entry again, from a listing, and an entry that says nothing of it.
    fixture.put(cold, start + 12s);
    fixture.put(record("r1", 5000, 3), start + 13s);
    BOOST_TEST(upstream->isCold(start + 15s));
    BOOST_TEST(!upstream->isCold(start + 16s));
}

BOOST_AUTO_TEST_CASE(olderWriteOfTheSameRunIsIgnored)
{
    RegistryFixture fixture;
    auto drainingRecord = record("r1", 5000, 8);
    drainingRecord.draining = true;
    fixture.put(record("r1", 5000, 7), start);
    fixture.put(drainingRecord, start + 1s);
    fixture.put(record("r1", 5000, 6), start + 2s);
    BOOST_TEST(fixture.listedCount() == 0U);
}

BOOST_AUTO_TEST_CASE(changeOfServiceCreatesNewUpstream)
{
    RegistryFixture fixture;
    fixture.put(record("r1"), start);
    auto moved = record("r1", 5000, 2);
    moved.service = ServiceId("credit");
    fixture.put(moved, start + 1s);
    BOOST_TEST(fixture.listedCount() == 0U);
    BOOST_TEST(fixture.registry.upstreams(ServiceId("credit")).size() == 1U);
}

// Guards against requests to a replica that has left, because the copy from which the store was restored
// holds its entry, and against a live one that stays out although it has registered again.
BOOST_AUTO_TEST_CASE(entriesOfCopyDoNotBringBackRemovedReplicas)
{
    RegistryFixture fixture;
    auto draining = record("draining", 0, 4);
    draining.draining = true;
    fixture.put(record("gone", 5000, 4), start);
    fixture.put(record("lapsed", 5000, 4), start);
    fixture.put(draining, start);
    fixture.remove("gone", start + 1s);
    fixture.remove("lapsed", start + 1s);
    fixture.registry.storeRestored(start + 2s);
    const std::vector<UpstreamRecord> copy { record("gone", 5000, 4), record("lapsed", 5000, 3),
        record("draining", 0, 3), record("new", 5000, 1) };
    fixture.registry.applyListing(copy, start + 2s);
    BOOST_TEST(fixture.listedCount() == 1U);
    // It has registered again; a later listing still holds the entry of the replica that is gone.
    fixture.put(record("lapsed", 5000, 5), start + 3s);
    const std::vector<UpstreamRecord> later { copy[0], record("lapsed", 5000, 5), copy[3],
        record("draining", 6000, 1) };
    fixture.registry.applyListing(later, start + 60s);
    BOOST_TEST(fixture.listedCount() == 3U);
    // The id is used by a new run.
    fixture.put(record("gone", 7000, 1), start + 61s);
    BOOST_TEST(fixture.listedCount() == 4U);
}

// Without a restore, an entry that is written again after its removal is that of a live replica.
BOOST_AUTO_TEST_CASE(removedEntryThatIsListedAgainCounts)
{
    RegistryFixture fixture;
    fixture.put(record("r1"), start);
    fixture.remove("r1", start + 1s);
    const std::vector<UpstreamRecord> records { record("r1") };
    fixture.registry.applyListing(records, start + 2s);
    BOOST_TEST(fixture.listedCount() == 1U);
}
