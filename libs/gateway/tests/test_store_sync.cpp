#include "gateway_fixture.h"
#include "membership.h"
#include "store_sync.h"
#include "view_codec.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::gateway;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };
const SyncPauses pauses { 900ms, 300ms, 2s };

store::KeyValue item(const std::string& key, const std::string& value, std::uint64_t revision)
{
    return { key, value, { revision }, {} };
}

ViewUpdate full(std::vector<store::KeyValue> items, std::uint64_t revision, TimePoint at = start)
{
    return { true, { std::move(items), { revision } }, at, {} };
}

ViewUpdate changes(std::vector<store::KeyValue> items, std::uint64_t revision, TimePoint at = start)
{
    return { false, { std::move(items), { revision } }, at, {} };
}

/** A StoreSync over a store in memory, with pauses so long that only what is asked at once happens. */
struct SyncWorld {
    SyncWorld()
        : store(ioContext)
    {
        hooks.updated = [this](const ViewUpdate& update) { seen += update.content.entries.size(); };
        hooks.storeReturned = [this](TimePoint) { ++returns; };
        hooks.isReader = [] { return true; };
        hooks.peer = [this](PeerChoice) { return peer; };
    }

    StoreSync make() { return { ioContext, store, "", { 1h, 1h, 2h }, hooks, metrics }; }

    template <typename Condition> bool runUntil(Condition condition)
    {
        const auto giveUp = std::chrono::steady_clock::now() + 10s;
        while (!condition() && std::chrono::steady_clock::now() < giveUp) {
            ioContext.restart();
            ioContext.run_for(1ms);
        }
        return condition();
    }

    boost::asio::io_context ioContext { 1 };
    FakePolledStore store;
    telemetry::Metrics metrics;
    StoreSync::Hooks hooks;
    std::optional<ListenAddress> peer;
    std::size_t seen = 0;
    int returns = 0;
};

} // namespace

// A view must not mix what two sources told of different times.
BOOST_AUTO_TEST_CASE(aViewTakesOnlyWhatFollowsIt)
{
    StoreView view;
    BOOST_TEST(view.isEmpty());
    BOOST_TEST(!view.apply(changes({ item("a", "1", 5) }, 5), { 4 }));
    BOOST_TEST(view.apply(full({ item("a", "1", 3), item("b", "1", 4) }, 5), {}));
    BOOST_TEST(view.apply(changes({ item("a", "2", 7) }, 7, start + 1s), { 5 }));
    BOOST_TEST((view.currentAt() == start + 1s));
    // An answer to a question from before the last update, and a list that is older than the view.
    BOOST_TEST(!view.apply(changes({ item("b", "2", 6) }, 9), { 5 }));
    BOOST_TEST(!view.apply(full({ item("a", "1", 3) }, 6), {}));
    BOOST_TEST(view.revision().value == 7U);
}

// A VM that missed a removal would go on sending to a replica that left.
BOOST_AUTO_TEST_CASE(aViewTellsChangesAndRemovals)
{
    StoreView view;
    view.apply(full({ item("a", "1", 3), item("b", "1", 4), item("c", "1", 5) }, 5), {});
    view.apply(changes({ item("a", "2", 7), item("b", "", 0) }, 7), { 5 });
    view.apply(changes({ item("d", "1", 8) }, 8), { 7 });
    const auto since5 = view.since({ 5 });
    BOOST_TEST(!since5.isFull);
    BOOST_TEST(since5.content.entries.size() == 3U);
    BOOST_TEST(view.since({ 7 }).content.entries.size() == 1U);
    BOOST_TEST(view.since({ 8 }).content.entries.empty());
    BOOST_TEST(view.since({}).isFull);
    BOOST_TEST(view.since({}).content.entries.size() == 3U);

    StoreView other;
    BOOST_TEST(other.apply(full({ item("a", "1", 3), item("b", "1", 4), item("c", "1", 5) }, 5), {}));
    BOOST_TEST(other.apply(since5, { 5 }));
    BOOST_TEST(other.since({}).content.entries.size() == 3U);
    // A key that was removed and written again is no removal.
    view.apply(changes({ item("b", "3", 9) }, 9), { 8 });
    for (const auto& entry : view.since({ 5 }).content.entries)
        BOOST_TEST(entry.modified.value != 0U);
}

// The memory for removals is bounded; a VM that lacks forgotten ones has to get everything.
BOOST_AUTO_TEST_CASE(forgottenRemovalsLeadToAFullUpdate)
{
    StoreView view;
    std::vector<store::KeyValue> items;
    items.reserve(1500);
    for (int i = 0; i < 1500; ++i)
        items.push_back(item("key-" + std::to_string(i), "1", 3));
    view.apply(full(items, 5), {});
    std::uint64_t revision = 5;
    for (const auto& entry : items) {
        const store::Revision asked { revision };
        view.apply(changes({ item(entry.key, "", 0) }, ++revision), asked);
    }
    BOOST_TEST(view.since({ 6 }).isFull);
    BOOST_TEST(!view.since({ 1400 }).isFull);
    BOOST_TEST(view.since({ 1400 }).content.entries.size() == 105U);
}

BOOST_AUTO_TEST_CASE(updatesTravelWithTheirAge)
{
    auto update = changes({ item("a", std::string("\x00\xff", 2), 7), item("b", "", 0) }, 9);
    update.storeReturnedAt = start - 1s;
    Error reason;
    // The receiver's clock differs; its question left at 50 s and the view was 400 ms old.
    const TimePoint asked { 50s };
    const auto read = decodeUpdate(encodeUpdate(update, start + 400ms), asked, reason);
    BOOST_REQUIRE(read);
    BOOST_TEST(!read->isFull);
    BOOST_TEST(read->content.revision.value == 9U);
    BOOST_TEST((read->currentAt == asked - 400ms));
    BOOST_TEST((read->storeReturnedAt == asked - 1400ms));
    BOOST_TEST(read->content.entries.at(0).value == std::string("\x00\xff", 2));
    BOOST_TEST(read->content.entries.at(1).modified.value == 0U);
    BOOST_TEST(
        (decodeUpdate(encodeUpdate(changes({}, 9), start), asked, reason)->storeReturnedAt == TimePoint {}));

    const auto bytes = encodeUpdate(update, start);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        BOOST_TEST(!decodeUpdate(std::string_view(bytes).substr(0, size), asked, reason));
    BOOST_TEST((reason.kind == ErrorKind::MalformedMessage));
}

// Load: many VMs at a store with limited calls. Only readers and VMs with an old view may ask it.
BOOST_AUTO_TEST_CASE(readersAskTheStoreAndOthersAskReaders)
{
    SyncInputs inputs { true, 100ms, true, 500ms, 400ms };
    BOOST_TEST(!asksStore(inputs, pauses));
    inputs.sinceStoreAnswer = 900ms;
    BOOST_TEST(asksStore(inputs, pauses));
    BOOST_TEST((peerToAsk(inputs, pauses) == PeerChoice::None));
    inputs.isReader = false;
    BOOST_TEST(!asksStore(inputs, pauses));
    BOOST_TEST((peerToAsk(inputs, pauses) == PeerChoice::Reader));
    inputs.sincePeerQuestion = 200ms;
    BOOST_TEST((peerToAsk(inputs, pauses) == PeerChoice::None));
    // A reader that is gone, or cut off from the store, must not keep the others from learning.
    inputs = { true, 2s, false, 10s, 400ms };
    BOOST_TEST(asksStore(inputs, pauses));
    BOOST_TEST((peerToAsk(inputs, pauses) == PeerChoice::Any));
    inputs = { false, 0ms, false, 0ms, 400ms };
    BOOST_TEST(asksStore(inputs, pauses));
    BOOST_TEST((peerToAsk(inputs, pauses) == PeerChoice::Any));
}

// One reader for each availability zone, the same one on all its VMs.
BOOST_AUTO_TEST_CASE(allVmsAgreeOnTheReader)
{
    const AvailabilityZone zone("z");
    std::map<VmId, MemberRecord> vms;
    for (int i = 0; i < 9; ++i)
        vms[VmId("vm-" + std::to_string(i))] = { AvailabilityZone(i < 6 ? "z" : "y"), { "10.0.0.1", 80 } };
    MemberCount first(VmId("vm-0"));
    MemberCount second(VmId("vm-3"));
    first.listed(vms, start);
    second.listed(vms, start);
    const auto reader = first.reader(zone);
    BOOST_TEST(second.reader(zone).str() == reader.str());
    BOOST_TEST((vms.at(reader).zone == zone));
    first.left(reader, start);
    BOOST_TEST(first.reader(zone).str() != reader.str());
    BOOST_TEST(!first.relayOf(reader));
    // A VM that is alone reads for itself.
    BOOST_TEST(MemberCount(VmId("vm-9")).reader(zone).str() == "vm-9");
}

// An answer that the store cut short hid newer configurations for two pauses after an absence.
BOOST_AUTO_TEST_CASE(anAnswerThatMayBeCutIsFollowedUpAtOnce)
{
    SyncWorld world;
    world.store.set("a", "");
    auto sync = world.make();
    sync.step(BootClock::now());
    BOOST_TEST(world.runUntil([&] { return !sync.view().isEmpty(); }));
    for (int i = 0; i < 1200; ++i)
        world.store.set("key-" + std::to_string(i), "");
    world.store.maxChangesPerPoll = 500;
    sync.step(BootClock::now() + 1h);
    BOOST_TEST(world.runUntil([&] { return sync.view().revision().value == world.store.revision; }));
    BOOST_TEST(world.seen == 1201U);
    std::vector<store::KeyValue> few(3, item("k", "v", 1));
    BOOST_TEST(!mayHaveMore(few));
    few.front().value.assign(300 * 1024, 'x');
    BOOST_TEST(mayHaveMore(few));
}

// Registrations outlast a lost answer, so only a longer outage lets removals wait.
BOOST_AUTO_TEST_CASE(onlyALongerOutageCountsAsAReturnOfTheStore)
{
    for (const auto outage : { 100ms, 1200ms }) {
        SyncWorld world;
        world.store.isDown = true;
        auto sync = world.make();
        const auto end = BootClock::now() + outage;
        world.runUntil([&] {
            sync.step(BootClock::now());
            return BootClock::now() >= end;
        });
        world.store.isDown = false;
        world.runUntil([&] {
            sync.step(BootClock::now());
            return !sync.view().isEmpty();
        });
        BOOST_TEST(world.returns == (outage > 1s ? 1 : 0));
    }
}

// A VM that starts while the store refuses it answered 503 until the store took it again.
BOOST_AUTO_TEST_CASE(aVmThatTheStoreRefusesLearnsFromAnother)
{
    GatewayFixture world;
    world.settings.relay = { "127.0.0.1", world.freePort() };
    world.store.set("some/key", "value");
    SyncWorld refused;
    refused.store.isDown = true;
    refused.peer = world.settings.relay;
    auto sync = refused.make();
    const bool learnt = world.runCaller<bool>([&] {
        world.waitUntilServing();
        return refused.runUntil([&] {
            sync.step(BootClock::now() + 2h);
            return !sync.view().isEmpty();
        });
    });
    BOOST_TEST(learnt);
    BOOST_TEST(sync.view().revision().value >= 11U);
}
