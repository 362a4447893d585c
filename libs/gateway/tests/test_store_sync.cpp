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
const SyncIntervals intervals { 900ms, 300ms, 2s, 300ms, 1500ms };

store::KeyValue item(const std::string& key, const std::string& value, std::uint64_t revision)
{
    return { key, value, { revision }, {} };
}

ViewUpdate full(std::vector<store::KeyValue> items, std::uint64_t revision, TimePoint at = start)
{
    return { true, { std::move(items), { revision } }, at };
}

ViewUpdate changes(std::vector<store::KeyValue> items, std::uint64_t revision, TimePoint at = start)
{
    return { false, { std::move(items), { revision } }, at };
}

/** A StoreSync on an in-memory store. The intervals are so long that only immediate requests are sent. */
struct SyncFixture {
    SyncFixture()
        : store(ioContext)
    {
        hooks.viewUpdated
            = [this](const ViewUpdate& update) { updatedKeys += update.content.entries.size(); };
        hooks.storeRecovered = [this](TimePoint) { ++recoveries; };
        hooks.isReader = [] { return true; };
        hooks.isSource = [] { return true; };
        hooks.peerAddress = [this](PeerChoice) { return peer; };
    }

    StoreSync makeSync() { return { ioContext, store, "", { 1h, 1h, 2h, 0ms, 0ms }, hooks, metrics }; }

    template <typename Condition> bool runUntil(Condition condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + 10s;
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
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
    std::size_t updatedKeys = 0;
    int recoveries = 0;
};

} // namespace

// A view must not mix updates of two sources that are based on different revisions.
BOOST_AUTO_TEST_CASE(viewRejectsUpdatesThatDoNotFollowItsRevision)
{
    StoreView view;
    BOOST_TEST(view.isEmpty());
    BOOST_TEST(!view.apply(changes({ item("a", "1", 5) }, 5), { { 4 }, {} }));
    BOOST_TEST(view.apply(full({ item("a", "1", 3), item("b", "1", 4) }, 5), {}));
    BOOST_TEST(view.apply(changes({ item("a", "2", 7) }, 7, start + 1s), { { 5 }, {} }));
    BOOST_TEST((view.currentAt() == start + 1s));
    // A response to a request sent before the last update, and a listing that is older than the view.
    BOOST_TEST(!view.apply(changes({ item("b", "2", 6) }, 9), { { 5 }, {} }));
    BOOST_TEST(!view.apply(full({ item("a", "1", 3) }, 6), {}));
    BOOST_TEST(view.revision().value == 7U);
}

// A VM that missed a removal would keep sending requests to a replica that is gone.
BOOST_AUTO_TEST_CASE(updateContainsChangesAndRemovals)
{
    StoreView view;
    view.apply(full({ item("a", "1", 3), item("b", "1", 4), item("c", "1", 5) }, 5), {});
    view.apply(changes({ item("a", "2", 7), item("b", "", 0) }, 7), { { 5 }, {} });
    view.apply(changes({ item("d", "1", 8) }, 8), { { 7 }, {} });
    const auto since5 = view.since({ { 5 }, {} });
    BOOST_TEST(!since5.isFull);
    BOOST_TEST(since5.content.entries.size() == 3U);
    BOOST_TEST(view.since({ { 7 }, {} }).content.entries.size() == 1U);
    BOOST_TEST(view.since({ { 8 }, {} }).content.entries.empty());
    BOOST_TEST(view.since({}).isFull);
    BOOST_TEST(view.since({}).content.entries.size() == 3U);

    StoreView other;
    BOOST_TEST(other.apply(full({ item("a", "1", 3), item("b", "1", 4), item("c", "1", 5) }, 5), {}));
    BOOST_TEST(other.apply(since5, { { 5 }, {} }));
    BOOST_TEST(other.since({}).content.entries.size() == 3U);
    // A key that was removed and written again is not reported as removed.
    view.apply(changes({ item("b", "3", 9) }, 9), { { 8 }, {} });
    for (const auto& entry : view.since({ { 5 }, {} }).content.entries)
        BOOST_TEST(entry.modified.value != 0U);
}

// The number of removals kept is bounded; a VM that missed a dropped one needs a full update.
BOOST_AUTO_TEST_CASE(droppedRemovalsCauseFullUpdate)
{
    StoreView view;
    std::vector<store::KeyValue> items;
    items.reserve(1500);
    for (int i = 0; i < 1500; ++i)
        items.push_back(item("key-" + std::to_string(i), "1", 3));
    view.apply(full(items, 5), {});
    std::uint64_t revision = 5;
    for (const auto& entry : items) {
        const ViewPosition base { { revision }, {} };
        view.apply(changes({ item(entry.key, "", 0) }, ++revision), base);
    }
    BOOST_TEST(view.since({ { 6 }, {} }).isFull);
    BOOST_TEST(!view.since({ { 1400 }, {} }).isFull);
    BOOST_TEST(view.since({ { 1400 }, {} }).content.entries.size() == 105U);
}

BOOST_AUTO_TEST_CASE(updatesAreEncodedWithTheirAge)
{
    const auto update = changes({ item("a", std::string("\x00\xff", 2), 7), item("b", "", 0) }, 9);
    Error reason;
    // The receiver's clock differs: it sent the request at 50 s, and the view was 400 ms old.
    const TimePoint requestedAt { 50s };
    const auto read = decodeUpdate(encodeUpdate(update, start + 400ms), requestedAt, reason);
    BOOST_REQUIRE(read);
    BOOST_TEST(!read->isFull);
    BOOST_TEST(read->content.revision.value == 9U);
    BOOST_TEST((read->currentAt == requestedAt - 400ms));
    BOOST_TEST(read->content.entries.at(0).value == std::string("\x00\xff", 2));
    BOOST_TEST(read->content.entries.at(1).modified.value == 0U);
    // A view that was never known to match the store.
    BOOST_TEST((decodeUpdate(encodeUpdate(changes({}, 9, {}), start), requestedAt, reason)->currentAt
        == TimePoint {}));

    const auto bytes = encodeUpdate(update, start);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        BOOST_TEST(!decodeUpdate(std::string_view(bytes).substr(0, size), requestedAt, reason));
    BOOST_TEST((reason.kind == ErrorKind::MalformedMessage));
}

// Guards against an answer of another VM's address that ends the process by its nesting.
BOOST_AUTO_TEST_CASE(deeplyNestedUpdateIsAnError)
{
    Error reason;
    BOOST_TEST(!decodeUpdate(std::string(4 * 1024 * 1024, '\x91'), start, reason));
    BOOST_TEST((reason.kind == ErrorKind::MalformedMessage));
}

// Calls to the store are limited, so only readers and VMs with a stale view may poll it.
BOOST_AUTO_TEST_CASE(readersPollStoreAndOthersPollReaders)
{
    SyncInputs inputs { true, 100ms, true, 500ms, 400ms, true, 10s, {} };
    BOOST_TEST(!shouldPollStore(inputs, intervals));
    inputs.sinceStoreResponse = 900ms;
    BOOST_TEST(shouldPollStore(inputs, intervals));
    BOOST_TEST((choosePeer(inputs, intervals) == PeerChoice::None));
    inputs.isReader = false;
    BOOST_TEST(!shouldPollStore(inputs, intervals));
    BOOST_TEST((choosePeer(inputs, intervals) == PeerChoice::Reader));
    inputs.sincePeerRequest = 200ms;
    BOOST_TEST((choosePeer(inputs, intervals) == PeerChoice::None));
    // A reader that is gone, or cut off from the store, must not keep the others from receiving changes.
    inputs = { true, 2s, false, 10s, 400ms, true, 10s, 1s };
    BOOST_TEST(shouldPollStore(inputs, intervals));
    BOOST_TEST((choosePeer(inputs, intervals) == PeerChoice::Any));
    inputs = { false, 0ms, false, 0ms, 400ms, true, 0ms, {} };
    BOOST_TEST(shouldPollStore(inputs, intervals));
    BOOST_TEST((choosePeer(inputs, intervals) == PeerChoice::Any));
}

// The store is down, or all VMs of a large fleet restart: only VMs on which others depend may call it, as
// long as peers respond.
BOOST_AUTO_TEST_CASE(vmsThatNobodyDependsOnAskPeersFirst)
{
    SyncInputs stale { true, 2s, false, 10s, 400ms, false, 60s, 200ms };
    BOOST_TEST(!shouldPollStore(stale, intervals));
    BOOST_TEST((choosePeer(stale, intervals) == PeerChoice::Any));
    stale.viewAge = 6s;
    BOOST_TEST(shouldPollStore(stale, intervals));
    stale.viewAge = 2s;
    stale.sincePeerResponse = 2s;
    BOOST_TEST(shouldPollStore(stale, intervals));

    SyncInputs started { false, 0ms, false, 10s, 400ms, false, 200ms, {} };
    BOOST_TEST(!shouldPollStore(started, intervals));
    BOOST_TEST((choosePeer(started, intervals) == PeerChoice::Any));
    started.sinceStart = 300ms;
    BOOST_TEST(shouldPollStore(started, intervals));
    // A peer that has just started as well is expected to have a view soon.
    started.sincePeerResponse = 10ms;
    BOOST_TEST(!shouldPollStore(started, intervals));
    started.sinceStart = 1500ms;
    BOOST_TEST(shouldPollStore(started, intervals));
}

// Each availability zone has one reader, and all its VMs must choose the same one.
BOOST_AUTO_TEST_CASE(allVmsChooseSameReader)
{
    const AvailabilityZone zone("z");
    std::map<VmId, MemberRecord> vms;
    for (int i = 0; i < 9; ++i)
        vms[VmId("vm-" + std::to_string(i))] = { AvailabilityZone(i < 6 ? "z" : "y"), { "10.0.0.1", 80 } };
    MemberTracker first(VmId("vm-0"));
    MemberTracker second(VmId("vm-3"));
    first.replaceAll(vms, start);
    second.replaceAll(vms, start);
    const auto reader = first.storeReader(zone);
    BOOST_TEST(second.storeReader(zone).str() == reader.str());
    BOOST_TEST((vms.at(reader).zone == zone));
    first.remove(reader, start);
    BOOST_TEST(first.storeReader(zone).str() != reader.str());
    BOOST_TEST(!first.relayAddress(reader));
    // A VM without other members is its own reader.
    BOOST_TEST(MemberTracker(VmId("vm-9")).storeReader(zone).str() == "vm-9");
}

// After an absence, a truncated response of the store delayed newer configurations by two polling intervals.
BOOST_AUTO_TEST_CASE(possiblyTruncatedResponseIsFollowedByRequestImmediately)
{
    SyncFixture fixture;
    fixture.store.set("a", "");
    auto sync = fixture.makeSync();
    sync.step(BootClock::now());
    BOOST_TEST(fixture.runUntil([&] { return !sync.view().isEmpty(); }));
    for (int i = 0; i < 1200; ++i)
        fixture.store.set("key-" + std::to_string(i), "");
    fixture.store.maxChangesPerPoll = 500;
    sync.step(BootClock::now() + 1h);
    BOOST_TEST(fixture.runUntil([&] { return sync.view().revision().value == fixture.store.revision; }));
    BOOST_TEST(fixture.updatedKeys == 1201U);
    std::vector<store::KeyValue> few(3, item("k", "v", 1));
    BOOST_TEST(!mayHaveMore(few));
    few.front().value.assign(300 * 1024, 'x');
    BOOST_TEST(mayHaveMore(few));
}

// Registrations survive a lost response, so only a longer outage counts as one that defers removals.
BOOST_AUTO_TEST_CASE(recoveryIsReportedOnlyAfterLongerOutage)
{
    for (const auto outage : { 100ms, 1200ms }) {
        SyncFixture fixture;
        fixture.store.isDown = true;
        auto sync = fixture.makeSync();
        const auto end = BootClock::now() + outage;
        fixture.runUntil([&] {
            sync.step(BootClock::now());
            return BootClock::now() >= end;
        });
        fixture.store.isDown = false;
        fixture.runUntil([&] {
            sync.step(BootClock::now());
            return !sync.view().isEmpty();
        });
        BOOST_TEST(fixture.recoveries == (outage > 1s ? 1 : 0));
    }
}

BOOST_AUTO_TEST_CASE(failedCallsAreAnOutageOnlyIfNobodyReachedTheStore)
{
    BOOST_TEST(wasStoreUnavailable({ start, start + 5s, start + 2s }));
    BOOST_TEST(!wasStoreUnavailable({ start, start + 900ms, start + 500ms }));
    // Another VM reached the store after this VM's last failed call.
    BOOST_TEST(!wasStoreUnavailable({ start + 3s, start + 5s, start + 2s }));
    // Without a failed call, this VM just was not told of changes.
    BOOST_TEST(!wasStoreUnavailable({ start, start + 5s, {} }));
}

// Guards against replicas that stay in use after they have left, because the VM that reads the store for the
// zone was cut off from it and takes that for an outage of the store.
BOOST_AUTO_TEST_CASE(cutOfAnotherVmDoesNotDeferRemovals)
{
    GatewayFixture reader;
    reader.settings.relay = { "127.0.0.1", reader.freePort() };
    reader.store.set("some/key", "value");
    SyncFixture calm;
    calm.hooks.isReader = [] { return false; };
    calm.hooks.isSource = [] { return false; };
    calm.peer = reader.settings.relay;
    StoreSync sync(calm.ioContext, calm.store, "", { 1h, 10ms, 1h, 1h, 1h }, calm.hooks, calm.metrics);
    const auto pollUntil = [&](const std::function<bool()>& condition) {
        return reader.runCaller<bool>([&] {
            return calm.runUntil([&] {
                sync.step(BootClock::now());
                return condition();
            });
        });
    };
    reader.runCaller<int>([&] {
        reader.waitUntilServing();
        return 0;
    });
    BOOST_TEST(pollUntil([&] { return !sync.view().isEmpty(); }));
    reader.store.isDown = true;
    const auto end = BootClock::now() + 1200ms;
    BOOST_TEST(pollUntil([&] { return BootClock::now() >= end; }));
    reader.store.remove("some/key");
    reader.store.isDown = false;
    BOOST_TEST(pollUntil([&] { return sync.view().revision().value == reader.store.revision; }));
    BOOST_TEST(calm.recoveries == 0);
}

// An outage of the store itself: a VM whose own calls failed learns of its end from the reader of the zone,
// and must not drop replicas whose registrations lapsed meanwhile.
BOOST_AUTO_TEST_CASE(outageThatEndsWithUpdateOfPeerDefersRemovals)
{
    GatewayFixture reader;
    reader.settings.relay = { "127.0.0.1", reader.freePort() };
    reader.store.set("some/key", "value");
    SyncFixture other;
    other.store.isDown = true;
    other.hooks.isReader = [] { return false; };
    other.peer = reader.settings.relay;
    StoreSync sync(
        other.ioContext, other.store, "", { 1h, 10ms, 200ms, 0ms, 0ms }, other.hooks, other.metrics);
    const auto pollFor = [&](Duration time) {
        const auto end = BootClock::now() + time;
        reader.runCaller<bool>([&] {
            return other.runUntil([&] {
                sync.step(BootClock::now());
                return BootClock::now() >= end;
            });
        });
    };
    reader.runCaller<int>([&] {
        reader.waitUntilServing();
        return 0;
    });
    pollFor(200ms);
    const int before = other.recoveries;
    reader.store.isDown = true;
    pollFor(1500ms);
    BOOST_TEST(other.recoveries == before);
    reader.store.isDown = false;
    pollFor(1000ms);
    BOOST_TEST(other.recoveries == before + 1);
}

// Guards against a VM that starts while the store refuses its calls and responds 503 until the store accepts
// them again.
BOOST_AUTO_TEST_CASE(vmRefusedByStoreLearnsFromPeer)
{
    GatewayFixture world;
    world.settings.relay = { "127.0.0.1", world.freePort() };
    world.store.set("some/key", "value");
    SyncFixture refused;
    refused.store.isDown = true;
    refused.peer = world.settings.relay;
    auto sync = refused.makeSync();
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

// The stand-in must refuse what the store refuses, or tests of conditional writes pass on faulty callers.
BOOST_AUTO_TEST_CASE(standInAppliesConditionalWrites)
{
    SyncFixture fixture;
    const auto put = [&](std::uint64_t expected) {
        std::optional<Error> reason;
        fixture.store.putIf("key", "value", {}, { expected },
            [&](std::optional<store::Revision>, const Error& failure) { reason = failure; });
        fixture.runUntil([&] { return reason.has_value(); });
        return reason.value_or(Error { ErrorKind::Internal, "", "" }).kind == ErrorKind::Conflict;
    };
    BOOST_TEST(!put(0));
    BOOST_TEST(put(0));
    const auto written = fixture.store.keys.at("key").modified.value;
    BOOST_TEST(put(written - 1));
    BOOST_TEST(!put(written));
}
