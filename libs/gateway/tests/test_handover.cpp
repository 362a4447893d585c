#include "gateway_fleet.h"
#include "test_routes.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::gateway;
using namespace std::chrono_literals;

namespace {

constexpr double largeVm = 0.5;
constexpr double smallVm = 0.1;

std::string offeredRequest(const std::string& path, const std::string& id)
{
    return GatewayFixture::request(path, id);
}

/** A dispatcher and an ingress VM that hands requests to it, in front of one replica. */
struct HandoverFixture : GatewayFleet {
    explicit HandoverFixture(FakeReplica::Script script)
    {
        replicaOfLedger = &replica("ledger", "r1", std::move(script));
        configure(configurationOf({ singleRoute(true), singleRoute(false) }));
        dispatcher = &addVm("large", largeVm, true);
        ingress = &addVm("small", smallVm, false);
    }

    FakeReplica* replicaOfLedger = nullptr;
    Vm* dispatcher = nullptr;
    Vm* ingress = nullptr;
};

/** Serves until the switch is set, then leaves requests unanswered. */
FakeReplica::Script servesUnless(const bool& silent)
{
    return [&silent](const http::RequestHead& head, const std::string&) {
        return FakeResponse { silent ? "" : GatewayFixture::signedResponse(head, "sig", "data") };
    };
}

} // namespace

BOOST_AUTO_TEST_CASE(requestOfSmallVmIsSentByDispatcher)
{
    HandoverFixture fleet(serves("data"));
    fleet.waitUntilHandingOver(*fleet.ingress);
    const auto before = fleet.metric(*fleet.dispatcher, "banyancroft_gateway_sub_requests_total");
    const auto response = fleet.call(*fleet.ingress, GatewayFixture::request("/lookup/1", "id-1"));
    BOOST_TEST(response.status == 200U);
    BOOST_TEST(response.body == "data");
    BOOST_TEST(response.fields.at("Signature") == "s-data");
    BOOST_TEST(response.fields.at("Request-Id") == "id-1");
    BOOST_TEST(fleet.metric(*fleet.dispatcher, "banyancroft_gateway_sub_requests_total") == before + 1);
    // Only the dispatcher registers, and so shares the limits of the fleet.
    BOOST_TEST(!fleet.store.keys.contains("vms/small"));
    BOOST_TEST(fleet.metric(*fleet.ingress, "banyancroft_gateway_dispatchers") == 1);
    // The deadline of the caller is passed on, less the time spent.
    BOOST_TEST(std::stoi(fleet.replicaOfLedger->deadlines().back()) <= 5000);
}

// Guards against a request of the ingress VM to a replica of which it has passed on that it is leaving.
BOOST_AUTO_TEST_CASE(ingressVmKnowsWhatLeavingReplicaToldTheDispatcher)
{
    HandoverFixture fleet([](const http::RequestHead& head, const std::string&) {
        auto response = GatewayFixture::signedResponse(head, "sig", "data");
        if (head.target == "/credit/last")
            response.insert(response.find("\r\n") + 2, "Leaving: 1\r\n");
        return FakeResponse { response };
    });
    fleet.waitUntilHandingOver(*fleet.ingress);
    BOOST_TEST(fleet.call(*fleet.ingress, GatewayFixture::request("/credit/last", "id-1")).status == 200U);
    fleet.runFor(50ms);
    const auto received = fleet.replicaOfLedger->receivedRequests();
    // The ingress VM sends itself.
    fleet.dispatcher->isFrozen = true;
    BOOST_TEST(fleet.call(*fleet.ingress, GatewayFixture::request("/credit/2", "id-2")).status == 503U);
    BOOST_TEST(fleet.metric(*fleet.ingress, "banyancroft_handover_sent_directly_total") == 1);
    BOOST_TEST(fleet.replicaOfLedger->receivedRequests() == received);
}

// A dispatcher is suspended with connections open: the request is served at once by the ingress VM, and does
// not run again when the dispatcher wakes up.
BOOST_AUTO_TEST_CASE(frozenDispatcherDelaysRequestsByOneTimeout)
{
    for (const char* path : { "/lookup/1", "/credit/1" }) {
        HandoverFixture fleet(serves("data"));
        fleet.waitUntilHandingOver(*fleet.ingress);
        fleet.dispatcher->isFrozen = true;
        const auto received = fleet.replicaOfLedger->receivedRequests();
        BOOST_TEST(fleet.call(*fleet.ingress, GatewayFixture::request(path, "id-1")).status == 200U);
        BOOST_TEST(fleet.metric(*fleet.ingress, "banyancroft_handover_offers_timed_out_total") == 1);
        // The next request does not wait for it.
        BOOST_TEST(fleet.call(*fleet.ingress, GatewayFixture::request(path, "id-2")).status == 200U);
        BOOST_TEST(fleet.metric(*fleet.ingress, "banyancroft_handover_offers_timed_out_total") == 1);
        fleet.dispatcher->isFrozen = false;
        fleet.runFor(300ms);
        BOOST_TEST(fleet.replicaOfLedger->receivedRequests() == received + 2);
    }
}

BOOST_AUTO_TEST_CASE(lostDispatcherIsReplacedByIngressVm)
{
    HandoverFixture fleet(serves("data"));
    fleet.waitUntilHandingOver(*fleet.ingress);
    fleet.vms.erase(fleet.vms.begin());
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(fleet.call(*fleet.ingress, GatewayFixture::request("/lookup/1", "id")).status == 200U);
    // Once the registration of the dispatcher has ended, the VM takes its role.
    fleet.store.remove("vms/large");
    fleet.runUntil([&] { return fleet.store.keys.contains("vms/small"); });
    BOOST_TEST(fleet.call(*fleet.ingress, GatewayFixture::request("/lookup/1", "id")).status == 200U);
}

// The dispatcher is lost while the request runs: nobody may send it again, and no answer may claim that it
// has not run.
BOOST_AUTO_TEST_CASE(requestOfLostDispatcherFailsWithoutClaimAndRunsOnce)
{
    bool silent = false;
    HandoverFixture fleet(servesUnless(silent));
    fleet.waitUntilHandingOver(*fleet.ingress);
    silent = true;
    const auto received = fleet.replicaOfLedger->receivedRequests();
    auto response = std::async(std::launch::async, [&] {
        return Caller(fleet.ingress->settings.callers.port)
            .call(GatewayFixture::request("/credit/1", "id-1"));
    });
    fleet.runUntil([&] { return fleet.replicaOfLedger->receivedRequests() > received; });
    fleet.vms.erase(fleet.vms.begin());
    fleet.runUntil([&] { return response.wait_for(0s) == std::future_status::ready; });
    BOOST_TEST(response.get().status == 502U);
    BOOST_TEST(fleet.replicaOfLedger->receivedRequests() == received + 1);
}

// An idempotent request whose dispatcher was suspended after it began fails while its caller can still retry;
// a non-idempotent one keeps waiting, since its answer may still come.
BOOST_AUTO_TEST_CASE(silentDispatcherEndsIdempotentRequestEarly)
{
    bool silent = false;
    HandoverFixture fleet(servesUnless(silent));
    fleet.waitUntilHandingOver(*fleet.ingress);
    silent = true;
    const auto received = fleet.replicaOfLedger->receivedRequests();
    const auto sentAt = BootClock::now();
    auto response = std::async(std::launch::async, [&] {
        return Caller(fleet.ingress->settings.callers.port)
            .call(GatewayFixture::request("/lookup/1", "id-1"));
    });
    fleet.runUntil([&] { return fleet.replicaOfLedger->receivedRequests() > received; });
    fleet.dispatcher->isFrozen = true;
    fleet.runUntil([&] { return response.wait_for(0s) == std::future_status::ready; });
    BOOST_TEST(response.get().status == 502U);
    BOOST_TEST((BootClock::now() - sentAt < 4s));
}

BOOST_AUTO_TEST_CASE(departureOfCallerEndsWorkAtReplica)
{
    bool silent = false;
    HandoverFixture fleet(servesUnless(silent));
    fleet.waitUntilHandingOver(*fleet.ingress);
    silent = true;
    const auto received = fleet.replicaOfLedger->receivedRequests();
    Caller caller(fleet.ingress->settings.callers.port);
    caller.write(GatewayFixture::request("/lookup/1", "id-1"));
    fleet.runUntil([&] { return fleet.replicaOfLedger->receivedRequests() > received; });
    caller.close();
    fleet.runUntil([&] { return fleet.replicaOfLedger->abandonedRequests() > 0; });
    BOOST_TEST(fleet.metric(*fleet.ingress, "banyancroft_gateway_callers_gone_total") == 1);
}

// The process or its connection was stalled between acceptance and Begin: the ingress VM may have placed the
// request elsewhere.
BOOST_AUTO_TEST_CASE(acceptanceLapses)
{
    HandoverFixture fleet(serves("data"));
    const auto frame = fleet.runCallers<std::optional<handover::Frame>>([&] {
        FrameClient client(fleet.dispatcher->settings.handover.port);
        client.send(handover::Offer { 1, 1, offeredRequest("/credit/1", "id-1") });
        if (!std::holds_alternative<handover::Acceptance>(client.read().value()))
            return std::optional<handover::Frame>();
        std::this_thread::sleep_for(400ms);
        client.send(handover::Begin { 1, 400ms, 1ms, false });
        return client.read();
    });
    BOOST_REQUIRE(frame.has_value());
    BOOST_TEST((std::get<handover::Decline>(*frame).reason == handover::DeclineReason::Lapsed));
    BOOST_TEST(fleet.replicaOfLedger->receivedRequests() == 0);
}

BOOST_AUTO_TEST_CASE(offersAreDeclinedWithReason)
{
    HandoverFixture fleet(serves("data"));
    const auto declineOf = [&](const GatewayFleet::Vm& vm, std::uint64_t version, const std::string& text) {
        return fleet.runCallers<std::optional<handover::DeclineReason>>(
            [&]() -> std::optional<handover::DeclineReason> {
                FrameClient client(vm.settings.handover.port);
                client.send(handover::Offer { 1, version, text });
                auto frame = client.read();
                if (frame && std::holds_alternative<handover::Acceptance>(*frame)) {
                    client.send(handover::Begin { 1, 0ms, 0ms, false });
                    frame = client.read();
                }
                const auto* decline = frame ? std::get_if<handover::Decline>(&*frame) : nullptr;
                return decline ? std::optional(decline->reason) : std::nullopt;
            });
    };
    const auto text = offeredRequest("/lookup/1", "id");
    using handover::DeclineReason;
    BOOST_TEST((declineOf(*fleet.dispatcher, 2, text) == DeclineReason::OlderConfiguration));
    BOOST_TEST((declineOf(*fleet.ingress, 1, text) == DeclineReason::NotDispatching));
    BOOST_TEST((declineOf(*fleet.dispatcher, 1, "nonsense") == DeclineReason::Malformed));
    BOOST_TEST(fleet.replicaOfLedger->receivedRequests() == 0);
}

// A VM that was suspended believes in a share of a cold replica's rate that others may use by now.
BOOST_AUTO_TEST_CASE(stalledVmSendsNothingToColdReplicasAtFirst)
{
    GatewayFleet fleet;
    fleet.replica("ledger", "r1", serves("data"));
    fleet.records["replica/r1"].coldFor = 60s;
    auto configuration = configurationOf({ singleRoute(true) });
    configuration.services.front().coldRequestsPerSecond = 50;
    fleet.configure(configuration);
    auto& vm = fleet.addVm("large", largeVm, true);
    fleet.runFor(1500ms);
    BOOST_TEST(fleet.call(vm, GatewayFixture::request("/lookup/1", "id-1")).status == 200U);
    std::this_thread::sleep_for(500ms);
    const auto resumedAt = BootClock::now();
    BOOST_TEST(fleet.call(vm, GatewayFixture::request("/lookup/1", "id-2")).status == 200U);
    BOOST_TEST((BootClock::now() - resumedAt >= 1500ms));
}

// Guards against offers that are accepted and never begin, whose requests together exceed the memory of the
// VM: the offers beyond its account are declined, and the others on the connection are not affected.
BOOST_AUTO_TEST_CASE(offersBeyondTheMemoryAreDeclined)
{
    HandoverFixture fleet(serves("data"));
    constexpr std::size_t requestBytes = std::size_t { 8 } * 1024 * 1024;
    constexpr std::size_t offers = 24;
    std::size_t accepted = 0;
    std::size_t declined = 0;
    bool servesSmall = false;
    fleet.runCallers<int>([&] {
        FrameClient client(fleet.dispatcher->settings.handover.port);
        const auto isAccepted = [&](std::uint64_t number, std::string request) {
            client.send(handover::Offer { number, 1, std::move(request) });
            const auto frame = client.read();
            const auto* decline = frame ? std::get_if<handover::Decline>(&*frame) : nullptr;
            declined += decline && decline->number == number
                && decline->reason == handover::DeclineReason::Overloaded;
            return frame && std::holds_alternative<handover::Acceptance>(*frame);
        };
        for (std::uint64_t number = 1; number <= offers; ++number)
            accepted += isAccepted(number, std::string(requestBytes, 'x'));
        servesSmall = isAccepted(offers + 1, offeredRequest("/lookup/1", "id"));
        return 0;
    });
    BOOST_TEST(accepted * requestBytes <= fleet.dispatcher->settings.memoryBytes / 2);
    BOOST_TEST(accepted + declined == offers);
    BOOST_TEST(servesSmall);
}

// Bytes that are not frames, in small and in large amounts, close the connection and harm no other.
BOOST_AUTO_TEST_CASE(bytesThatAreNoFramesCloseTheirConnection)
{
    HandoverFixture fleet(serves("data"));
    fleet.waitUntilHandingOver(*fleet.ingress);
    for (const std::string& bytes : { std::string("GET / HTTP/1.1\r\n\r\n"), std::string(100000, '\xff'),
             std::string("\0\0\0\1\xc1", 5), handover::encode(handover::Answer { 1, {} }) }) {
        const auto frame = fleet.runCallers<std::optional<handover::Frame>>([&] {
            FrameClient client(fleet.dispatcher->settings.handover.port);
            try {
                client.write(bytes);
            } catch (const boost::system::system_error&) {
                // The gateway may reset the connection while the bytes are being written.
                return std::optional<handover::Frame>();
            }
            return client.read();
        });
        BOOST_TEST(!frame.has_value());
    }
    BOOST_TEST(fleet.call(*fleet.ingress, GatewayFixture::request("/lookup/1", "id")).status == 200U);
}

// A configuration that one VM uses reaches the VMs that it hands requests to or takes them from, before a
// caller could see an older one again.
BOOST_AUTO_TEST_CASE(newerConfigurationOfDispatcherIsFetchedAtOnce)
{
    HandoverFixture fleet(serves("data"));
    fleet.waitUntilHandingOver(*fleet.ingress);
    const auto version
        = [&](const GatewayFleet::Vm& vm) { return fleet.metric(vm, "banyancroft_gateway_config_version"); };
    fleet.ingress->isFrozen = true;
    fleet.configure(configurationOf({ singleRoute(true), singleRoute(false) }, 2));
    fleet.runUntil([&] { return version(*fleet.dispatcher) == 2; });
    fleet.ingress->isFrozen = false;
    BOOST_TEST(fleet.call(*fleet.ingress, GatewayFixture::request("/lookup/1", "id")).status == 200U);
    fleet.runFor(20ms);
    BOOST_TEST(version(*fleet.ingress) == 2);
}
