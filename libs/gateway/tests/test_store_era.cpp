#include "evacuations.h"
#include "gateway_fixture.h"
#include "membership.h"
#include "store_sync.h"
#include "test_routes.h"
#include "view_codec.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::gateway;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 100s };

store::KeyValue item(const std::string& key, const std::string& value, std::uint64_t revision)
{
    return { key, value, { revision }, {} };
}

ViewUpdate full(std::vector<store::KeyValue> items, std::uint64_t revision, std::uint64_t era)
{
    return { true, { std::move(items), { revision }, { era } }, start };
}

/** Configurations are the entries "configuration", whose values are their versions. */
bool outranks(const store::KeyValue& entry, const store::KeyValue& ofCopy)
{
    return entry.key == "configuration" && (!ofCopy.modified || entry.value > ofCopy.value);
}

/** A StoreSync that polls an in-memory store as fast as it can. */
struct EraFixture {
    EraFixture()
        : store(ioContext)
    {
        hooks.viewUpdated = [this](const ViewUpdate& update) { updates.push_back(update); };
        hooks.storeRecovered = [](TimePoint) {};
        hooks.storeRestored = [this](TimePoint) { restoredBeforeUpdate.push_back(updates.size()); };
        hooks.isReader = [] { return true; };
        hooks.isSource = [] { return true; };
        hooks.peerAddress = [this](PeerChoice) { return peer; };
        hooks.outranks = outranks;
        sync.emplace(ioContext, store, "", SyncIntervals { 0ms, 1ms, 1h, 0ms, 0ms }, hooks, metrics);
    }

    template <typename Condition> bool runUntil(Condition condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + 5s;
        while (!condition() && std::chrono::steady_clock::now() < deadline) {
            sync->step(BootClock::now());
            ioContext.restart();
            ioContext.run_for(1ms);
        }
        return condition();
    }

    bool runUntilCurrent()
    {
        return runUntil([this] {
            return sync->view().position() == ViewPosition { { store.revision }, { store.eras().current() } };
        });
    }

    double metric(const std::string& name) const
    {
        const auto text = metrics.write();
        return std::stod(text.substr(text.find("\n" + name + " ") + name.size() + 2));
    }

    boost::asio::io_context ioContext { 1 };
    FakePolledStore store;
    telemetry::Metrics metrics;
    StoreSync::Hooks hooks;
    std::optional<ListenAddress> peer;
    std::vector<ViewUpdate> updates;
    /** Number of updates that had been passed on when each restore was reported. */
    std::vector<std::size_t> restoredBeforeUpdate;
    std::optional<StoreSync> sync;
};

} // namespace

// A view that mixes two eras holds keys that the restored store never had, or misses those it lost.
BOOST_AUTO_TEST_CASE(newerEraReplacesViewAndOlderIsIgnored)
{
    StoreView view(outranks);
    BOOST_TEST(view.apply(full({ item("a", "1", 40), item("b", "1", 50) }, 50, 1), {}));
    BOOST_TEST(!view.apply({ false, { { item("a", "2", 51) }, { 51 }, { 2 } }, start }, { { 50 }, { 1 } }));
    BOOST_TEST(!view.apply({ false, { { item("a", "2", 51) }, { 51 }, { 1 } }, start }, { { 50 }, {} }));
    BOOST_TEST(view.apply(full({ item("a", "0", 30) }, 42, 2), {}));
    BOOST_TEST((view.position() == ViewPosition { { 42 }, { 2 } }));
    BOOST_TEST(!view.apply(full({ item("b", "1", 50) }, 60, 1), {}));
    // Another VM of the old era gets everything, also at a reissued revision; one of a newer era nothing.
    BOOST_TEST(view.since({ { 42 }, { 1 } }).isFull);
    BOOST_TEST(view.since({ { 42 }, { 1 } }).content.entries.size() == 1U);
    BOOST_TEST(view.since({ { 42 }, { 2 } }).content.entries.empty());
    BOOST_TEST(!view.since({ {}, { 3 } }).isFull);
}

// Guards against VMs that start after a restore and use the older configuration of the copy.
BOOST_AUTO_TEST_CASE(newestConfigurationIsRetainedUntilItIsWrittenAgain)
{
    StoreView view(outranks);
    view.apply(full({ item("configuration", "7", 40), item("a", "1", 50) }, 50, 0), {});
    view.apply(full({ item("configuration", "5", 10) }, 30, 1), {});
    BOOST_TEST(view.since({}).retained.at(0).value == "7");
    BOOST_TEST(view.since({ { 30 }, { 1 } }, view.retainedDigest()).retained.empty());

    StoreView other(outranks);
    other.apply(full({ item("configuration", "5", 10) }, 30, 1), {});
    BOOST_TEST(other.retain(view.since({ { 30 }, { 1 } }).retained, { 1 }).size() == 1U);
    BOOST_TEST(other.retain(view.since({ { 30 }, { 1 } }).retained, { 1 }).empty());
    BOOST_TEST(other.retainedDigest() == view.retainedDigest());
    // A second restore, whose copy lacks the key, and then the operator's entry.
    view.apply(full({}, 20, 2), {});
    BOOST_TEST(view.since({}).retained.at(0).value == "7");
    BOOST_TEST(other.retain(view.since({}).retained, { 2 }).empty());
    view.apply({ false, { { item("configuration", "7", 21) }, { 21 }, { 2 } }, start }, { { 20 }, { 2 } });
    BOOST_TEST(view.since({}).retained.empty());
}

// An unreadable question or answer of another VM must be an error, and era 0 must look as in earlier
// releases.
BOOST_AUTO_TEST_CASE(relayMessagesCarryEraAndRetainedEntries)
{
    BOOST_TEST(encodeQuestion({ { { 5 }, {} }, 0 }) == "/changes?after=5");
    const auto question = decodeQuestion(encodeQuestion({ { { 5 }, { 3 } }, ~std::uint64_t { 0 } }));
    BOOST_REQUIRE(question);
    BOOST_TEST((question->known == ViewPosition { { 5 }, { 3 } }));
    BOOST_TEST(question->knownRetained == ~std::uint64_t { 0 });
    for (const auto target : { "/changes", "/changes?", "/changes?after=", "/changes?after=-1", "/x?after=1",
             "/changes?after=1&era=x", "/changes?era=1", "/changes?after=1&era" })
        BOOST_TEST(!decodeQuestion(target), target);

    Error reason;
    auto update = full({}, 9, 3);
    update.retained = { item("configuration", "7", 40) };
    const auto read = decodeUpdate(encodeUpdate(update, start), start, reason);
    BOOST_REQUIRE(read);
    BOOST_TEST(read->content.era.value == 3U);
    BOOST_TEST(read->retained.at(0).value == "7");
    update = full({}, 9, 0);
    BOOST_TEST(encodeUpdate(update, start).find("era") == std::string::npos);
}

// The restored store has given out the view's revision again, so it answers a poll as if nothing was lost.
BOOST_AUTO_TEST_CASE(restoreIsSeenAlthoughRevisionsAreReissued)
{
    for (const int writesAfterRestore : { 0, 5 }) {
        EraFixture fixture;
        fixture.store.set("kept", "1");
        const auto copy = fixture.store.content;
        fixture.store.set("lost", "1");
        fixture.store.set("lost", "2");
        BOOST_TEST(fixture.runUntilCurrent());
        fixture.updates.clear();
        fixture.store.restore(copy);
        for (int i = 0; i < writesAfterRestore; ++i)
            fixture.store.set("new-" + std::to_string(i), "1");
        BOOST_TEST(fixture.runUntilCurrent());
        BOOST_TEST(fixture.sync->view().since({}).content.entries.size() == 1U + writesAfterRestore);
        BOOST_TEST(fixture.updates.at(0).isFull);
        // Removals are deferred from the restore on, so it must be reported before the listing is applied.
        BOOST_TEST((fixture.restoredBeforeUpdate == std::vector<std::size_t> { 0 }));
        BOOST_TEST(fixture.metric("banyancroft_store_restores_total") == 1);
    }
}

// Guards against a faulty header that makes the VM drop its view, stop following the store or end.
BOOST_AUTO_TEST_CASE(invalidEraIsNoRestore)
{
    EraFixture fixture;
    fixture.store.restore(fixture.store.content);
    fixture.store.restore(fixture.store.content);
    fixture.store.set("a", "1");
    BOOST_TEST(fixture.runUntilCurrent());
    int invalid = 0;
    for (const auto& stated : std::vector<std::optional<std::string>> { std::nullopt, "1", "two" }) {
        fixture.store.statedEra = stated;
        fixture.store.set("a", "2");
        BOOST_TEST(fixture.runUntilCurrent());
        fixture.sync->step(BootClock::now());
        BOOST_TEST(fixture.metric("banyancroft_store_invalid_eras_total") >= ++invalid);
    }
    BOOST_TEST(fixture.sync->view().era().value == 2U);
    BOOST_TEST(fixture.restoredBeforeUpdate.empty());
}

// A VM that starts after a restore lists the store itself; only other VMs know the newer configuration.
BOOST_AUTO_TEST_CASE(vmThatStartsAfterRestoreAsksForRetainedEntries)
{
    GatewayFixture world;
    world.settings.relay = { "127.0.0.1", world.freePort() };
    world.layout.outranks = outranks;
    world.store.set("configuration", "5");
    const auto copy = world.store.content;
    world.store.set("configuration", "7");
    EraFixture started;
    started.peer = world.settings.relay;
    const bool learnt = world.runCaller<bool>([&] {
        world.waitUntilServing();
        boost::asio::post(world.ioContext, [&] { world.store.restore(copy); });
        started.store.content = copy;
        started.store.statedEra = "1";
        return started.runUntil([&] { return started.sync->view().retainedDigest() != 0; });
    });
    BOOST_TEST(learnt);
    BOOST_TEST(started.updates.back().content.entries.at(0).value == "7");
}

// The restored store may give the number of this VM's lease to another VM, which would share its fate.
BOOST_AUTO_TEST_CASE(leaseOfOldEraIsNeitherRenewedNorRevoked)
{
    boost::asio::io_context ioContext { 1 };
    FakePolledStore store(ioContext);
    const auto copy = store.content;
    Registration registration(ioContext, store, "vms/a", "{}", 20ms);
    const auto run = [&](Duration time) {
        ioContext.restart();
        ioContext.run_for(time);
    };
    registration.start();
    run(5ms);
    const auto lease = store.keys.at("vms/a").lease;
    for (const bool learnsFromPeer : { true, false }) {
        store.restore(copy);
        store.grantLease(1h, [](auto, const Error&) {});
        BOOST_TEST(store.content.leases.contains(lease));
        store.renewed.clear();
        if (learnsFromPeer) {
            run(1ms);
            registration.storeRestored();
        }
        // Otherwise, the answer to the renewal shows the new era.
        run(15ms);
        BOOST_REQUIRE(store.keys.contains("vms/a"));
        BOOST_TEST((store.keys.at("vms/a").lease > lease));
        BOOST_TEST((store.content.leases.contains(store.keys.at("vms/a").lease)));
        const auto renewals = std::count(store.renewed.begin(), store.renewed.end(), lease);
        BOOST_TEST(renewals <= (learnsFromPeer ? 0 : 1));
    }
    store.restore(copy);
    store.eras().learn({ 3 });
    registration.stop();
    run(5ms);
    BOOST_TEST(store.revoked.empty());
}

// Guards against dispatchers and evacuations that are dropped because the copy is older than they are.
BOOST_AUTO_TEST_CASE(whatTheCopyLacksStaysInForceForTheGracePeriod)
{
    MemberTracker members(VmId("self"));
    const MemberRecord record { AvailabilityZone("z"), { "10.0.0.1", 80 } };
    for (const auto name : { "back", "gone" })
        members.add(VmId(name), record);
    members.storeRestored(start + 2s);
    members.replaceAll({}, start);
    BOOST_TEST(members.isRegistered(VmId("gone")));
    members.add(VmId("back"), record);
    members.applyDeferredRemovals(start + 1900ms);
    BOOST_TEST(members.isRegistered(VmId("gone")));
    members.applyDeferredRemovals(start + 2s);
    BOOST_TEST(!members.isRegistered(VmId("gone")));
    BOOST_TEST(members.isRegistered(VmId("back")));

    using Zones = std::set<AvailabilityZone>;
    const AvailabilityZone a("a");
    const AvailabilityZone b("b");
    const AvailabilityZone c("c");
    Evacuations evacuations;
    evacuations.replaceAll({ a, b });
    evacuations.storeRestored(start + 2s);
    evacuations.replaceAll({ c });
    BOOST_TEST((evacuations.zones(start) == Zones { a, b, c }));
    evacuations.set(c, false);
    evacuations.set(b, true);
    BOOST_TEST((evacuations.zones(start + 1s) == Zones { a, b }));
    BOOST_TEST((evacuations.zones(start + 2s) == Zones { b }));
}

// Guards against a VM that stays at its old view after a restore, or applies the copy as if it were newer.
BOOST_AUTO_TEST_CASE(gatewayFollowsRestoredStoreWithoutGoingBack)
{
    GatewayFixture fixture;
    fixture.layout.decodeRemoval = [&](std::string_view key) {
        const auto found = fixture.records.find(std::string(key));
        return found == fixture.records.end() ? StoreItem(IgnoredKey {})
                                              : StoreItem(upstreams::RegistryChange { found->second.id, {} });
    };
    auto& gone = fixture.replica("ledger", "gone", serves("gone"));
    fixture.configure(configurationOf({ singleRoute(true) }));
    const auto copy = fixture.store.content;
    const auto callUntilAnswerOf = [&](const std::string& name) {
        const auto end = BootClock::now() + 10s;
        std::string body;
        while (body != name && BootClock::now() < end)
            body = fixture.callWhenReady(GatewayFixture::request("/lookup/1", "id")).body;
        return body == name;
    };
    BOOST_TEST(callUntilAnswerOf("gone"));
    fixture.store.remove("replica/gone");
    fixture.replica("ledger", "lost", serves("lost"));
    BOOST_TEST(callUntilAnswerOf("lost"));
    fixture.runCaller<int>([] {
        std::this_thread::sleep_for(300ms);
        return 0;
    });
    const auto requestsOfGone = gone.receivedRequests();
    fixture.store.restore(copy);
    fixture.replica("ledger", "new", serves("new"));
    // The copy lacks "lost", which stays in use for the grace period; "new" is used after it.
    const auto hasMetric = [&](const std::string& line) {
        return fixture.runCaller<bool>([&] {
            const std::string request = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
            const auto end = BootClock::now() + 10s;
            while (BootClock::now() < end) {
                if (Caller(fixture.settings.metrics.port).call(request).body.find(line) != std::string::npos)
                    return true;
                std::this_thread::sleep_for(5ms);
            }
            return false;
        });
    };
    BOOST_TEST(hasMetric("\nbanyancroft_store_era 1\n"));
    BOOST_TEST(hasMetric("\nbanyancroft_gateway_upstreams 2\n"));
    BOOST_TEST(callUntilAnswerOf("lost"));
    BOOST_TEST(callUntilAnswerOf("new"));
    BOOST_TEST(gone.receivedRequests() == requestsOfGone);
}
