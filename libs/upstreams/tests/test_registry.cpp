#include "upstreams/registry.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::upstreams;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };
const ServiceId service { "search" };

UpstreamRecord record(std::string id, std::uint64_t started = 5000, std::uint64_t sequence = 1)
{
    UpstreamRecord result;
    result.id = UpstreamId(std::move(id));
    result.service = service;
    result.address = "10.0.0.1";
    result.port = 80;
    result.zone = AvailabilityZone("a");
    result.slots = 3;
    result.startedAtUnixMillis = started;
    result.sequence = sequence;
    return result;
}

struct World {
    std::vector<RegistryEvent> events;
    Registry registry { 2s, [this](RegistryEvent event, const Upstream&) { events.push_back(event); } };

    void put(const UpstreamRecord& entry, TimePoint now) { registry.apply({ entry.id, entry }, now); }
    void remove(std::string id, TimePoint now) { registry.apply({ UpstreamId(std::move(id)), {} }, now); }
    std::size_t listed() const { return registry.upstreams(service).size(); }
};

} // namespace

BOOST_AUTO_TEST_CASE(aDrainingReplicaGetsNoNewRequests)
{
    World world;
    world.put(record("r1"), start);
    const auto upstream = world.registry.upstreams(service).front();
    auto leaving = record("r1", 5000, 2);
    leaving.draining = true;
    world.put(leaving, start + 1s);
    BOOST_TEST(world.listed() == 0U);
    BOOST_TEST(!upstream->usable);
    BOOST_TEST((world.events.back() == RegistryEvent::Draining));
}

// Some replicas leave without telling: the end of their entry is all that shows it.
BOOST_AUTO_TEST_CASE(aRemovedEntryIsNotUsedAnyMore)
{
    World world;
    world.put(record("r1"), start);
    world.remove("r1", start + 10s);
    BOOST_TEST(world.listed() == 0U);
    BOOST_TEST(world.registry.size() == 0U);
}

// Guards against all replicas being dropped when their entries lapsed while the store was away.
BOOST_AUTO_TEST_CASE(entriesThatLapsedDuringAnOutageMayComeBack)
{
    World world;
    world.put(record("r1"), start);
    world.put(record("r2"), start);
    world.registry.storeRecovered(start + 20s);
    world.remove("r1", start + 20100ms);
    world.remove("r2", start + 20100ms);
    BOOST_TEST(world.listed() == 2U);
    world.put(record("r1", 5000, 9), start + 21s);
    world.registry.applyDeferredRemovals(start + 21500ms);
    BOOST_TEST(world.listed() == 2U);
    world.registry.applyDeferredRemovals(start + 22s);
    BOOST_TEST(world.listed() == 1U);
    BOOST_TEST(world.registry.upstreams(service).front()->record.id.str() == "r1");
}

BOOST_AUTO_TEST_CASE(aListingReplacesWhatIsKnown)
{
    World world;
    world.put(record("r1"), start);
    world.put(record("r2"), start);
    const std::vector<UpstreamRecord> records { record("r2"), record("r3") };
    world.registry.applyListing(records, start + 5s);
    BOOST_TEST(world.listed() == 2U);
    BOOST_TEST(world.registry.size() == 2U);
}

// A replica may start again under its id; what was known of the earlier start says nothing.
BOOST_AUTO_TEST_CASE(aNewStartUnderTheSameIdIsAnotherUpstream)
{
    World world;
    world.put(record("r1", 5000, 40), start);
    const auto before = world.registry.upstreams(service).front();
    before->misdirected = true;
    world.put(record("r1", 9000, 1), start + 3s);
    const auto after = world.registry.upstreams(service).front();
    BOOST_TEST(after->number != before->number);
    BOOST_TEST(!before->usable);
    BOOST_TEST(!after->misdirected);
    // A late write of the earlier start does not bring it back.
    world.put(record("r1", 5000, 41), start + 4s);
    BOOST_TEST(world.registry.upstreams(service).front()->number == after->number);
}

BOOST_AUTO_TEST_CASE(anOlderWriteOfTheSameStartIsIgnored)
{
    World world;
    auto leaving = record("r1", 5000, 8);
    leaving.draining = true;
    world.put(record("r1", 5000, 7), start);
    world.put(leaving, start + 1s);
    world.put(record("r1", 5000, 6), start + 2s);
    BOOST_TEST(world.listed() == 0U);
}

BOOST_AUTO_TEST_CASE(anotherServiceAtTheAddressIsAnotherUpstream)
{
    World world;
    world.put(record("r1"), start);
    auto moved = record("r1", 5000, 2);
    moved.service = ServiceId("credit");
    world.put(moved, start + 1s);
    BOOST_TEST(world.listed() == 0U);
    BOOST_TEST(world.registry.upstreams(ServiceId("credit")).size() == 1U);
}
