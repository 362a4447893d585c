#include "gateway_fleet.h"
#include "rollouts.h"
#include "test_routes.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace banyancroft;
using namespace banyancroft::gateway;
using namespace std::chrono_literals;

namespace {

const ServiceId ledger("ledger");
const std::string failure = "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n";

/** Adds plain-text documents of roll-outs to the layout of a fixture. */
template <typename Base> class RolloutFixture : public Base {
public:
    RolloutFixture()
    {
        auto& codec = this->layout;
        codec.rolloutStatusKey = [](const ServiceId& service) { return "status/" + service.str(); };
        codec.rolloutStepKey = [](const ServiceId& service) { return "step/" + service.str(); };
        codec.encodeRolloutStatus = [](const rollout::Status& status) {
            return std::to_string(static_cast<int>(status.state)) + " " + status.target;
        };
        codec.encodeRolloutStep = [](const rollout::Step& step) {
            std::ostringstream text;
            text << step.share << " " << static_cast<int>(step.phase) << " " << step.elapsed.count() << " "
                 << step.target << " " << step.orderRevision;
            return text.str();
        };
        codec.decode = [previous = codec.decode](const store::KeyValue& entry, Error& reason) {
            std::istringstream text(entry.value);
            const ServiceId service(entry.key.substr(entry.key.find('/') + 1));
            int kind = 0;
            Duration::rep count = 0;
            if (entry.key.starts_with("order/")) {
                rollout::Order order { "", {}, entry.modified.value };
                text >> order.target >> count;
                order.duration = std::chrono::milliseconds(count);
                return std::optional(StoreItem(RolloutOrder { service, order }));
            }
            if (entry.key.starts_with("status/")) {
                rollout::Status status { {}, "", entry.modified.value };
                text >> kind >> status.target;
                status.state = static_cast<rollout::State>(kind);
                return std::optional(StoreItem(RolloutStatus { service, status }));
            }
            if (entry.key.starts_with("step/")) {
                rollout::Step step;
                text >> step.share >> kind >> count >> step.target >> step.orderRevision;
                step.phase = static_cast<rollout::Phase>(kind);
                step.elapsed = Duration(count);
                step.revision = entry.modified.value;
                return std::optional(StoreItem(RolloutStep { service, step }));
            }
            return previous(entry, reason);
        };
        codec.decodeRemoval = [previous = codec.decodeRemoval](std::string_view key) {
            return key.starts_with("order/")
                ? StoreItem(RolloutOrder { ServiceId(std::string(key.substr(6))), {} })
                : previous(key);
        };
        this->settings.maxPropagationDelay = 1s;
    }

    FakeReplica& versioned(const std::string& name, const std::string& version, FakeReplica::Script script)
    {
        auto& added = this->replica("ledger", name, std::move(script));
        this->records.at("replica/" + name).version = version;
        return added;
    }

    /** Latest status; empty while there is none. */
    std::string status() const
    {
        const auto found = this->store.keys.find("status/ledger");
        return found == this->store.keys.end() ? "" : found->second.value;
    }
};

using Fixture = RolloutFixture<GatewayFixture>;

/** Sends requests until the status begins with `state`, 10 s at most. @return number of answers other than
 * 200 */
int callUntil(Fixture& fixture, const std::string& state)
{
    // The store is changed by the thread that runs the gateway, so the end is signalled from there.
    std::atomic<bool> ended { false };
    boost::asio::steady_timer timer(fixture.ioContext);
    std::function<void()> check = [&] {
        ended = ended || fixture.status().starts_with(state);
        timer.expires_after(10ms);
        timer.async_wait([&](const auto& error) {
            if (!error)
                check();
        });
    };
    check();
    return fixture.runCaller<int>([&] {
        fixture.waitUntilReady();
        Caller caller(fixture.settings.callers.port);
        int failures = 0;
        const auto limit = std::chrono::steady_clock::now() + 10s;
        for (int i = 0; !ended && std::chrono::steady_clock::now() < limit; ++i)
            failures
                += caller.call(GatewayFixture::request("/lookup/a", "r" + std::to_string(i))).status != 200;
        // Requests that are sent after the status is known.
        std::this_thread::sleep_for(300ms);
        return failures;
    });
}

int sendMany(Fixture& fixture, int count)
{
    return fixture.runCaller<int>([&] {
        fixture.waitUntilReady();
        Caller caller(fixture.settings.callers.port);
        int failures = 0;
        for (int i = 0; i < count; ++i)
            failures
                += caller.call(GatewayFixture::request("/lookup/a", "s" + std::to_string(i))).status != 200;
        return failures;
    });
}

std::vector<upstreams::UpstreamPointer> replicasOf(std::initializer_list<std::string> versions)
{
    std::vector<upstreams::UpstreamPointer> replicas;
    for (const auto& version : versions) {
        replicas.push_back(std::make_shared<upstreams::Upstream>());
        replicas.back()->record.version = version;
    }
    return replicas;
}

} // namespace

// Guards against a good version that is not completed, and old replicas that are used after `completed`.
BOOST_AUTO_TEST_CASE(goodVersionIsCompletedAndGetsAllRequests)
{
    Fixture fixture;
    fixture.configure(configurationOf({ singleRoute(true) }));
    auto& old = fixture.versioned("old", "v1", serves("data"));
    auto& target = fixture.versioned("new", "v2", serves("data"));
    fixture.store.set("order/ledger", "v2 6000");
    BOOST_TEST(callUntil(fixture, "1 ") == 0);
    BOOST_TEST(fixture.status() == "1 v2");
    BOOST_TEST(old.receivedRequests() > 0);
    const auto oldBefore = old.receivedRequests();
    const auto targetBefore = target.receivedRequests();
    BOOST_TEST(sendMany(fixture, 50) == 0);
    BOOST_TEST(old.receivedRequests() == oldBefore);
    BOOST_TEST(target.receivedRequests() == targetBefore + 50);
}

// Guards against failures of a bad version that callers see, too much exposure, and requests after the end.
BOOST_AUTO_TEST_CASE(badVersionIsRolledBackAndItsRequestsAreRetriedAtTheOldOne)
{
    Fixture fixture;
    fixture.configure(configurationOf({ singleRoute(true) }));
    bool isFull = false;
    auto& old = fixture.versioned("old", "v1", [&isFull](const http::RequestHead& head, const std::string&) {
        return FakeResponse { isFull ? notRunResponse : GatewayFixture::signedResponse(head, "s", "data") };
    });
    auto& target = fixture.versioned("new", "v2", respondsWith(failure));
    fixture.store.set("order/ledger", "v2 30000");
    BOOST_TEST(callUntil(fixture, "2 ") == 0);
    BOOST_TEST(fixture.status() == "2 v2");
    BOOST_TEST(target.receivedRequests() > 0);
    BOOST_TEST(target.receivedRequests() <= 50 + old.receivedRequests() / 10);
    const auto before = target.receivedRequests();
    BOOST_TEST(sendMany(fixture, 50) == 0);
    // Without a roll-back these would be retried at the other replica.
    isFull = true;
    BOOST_TEST(sendMany(fixture, 3) == 3);
    BOOST_TEST(target.receivedRequests() == before);
}

// Guards against changes, and checks that cost time, for services without an order.
BOOST_AUTO_TEST_CASE(withoutAnOrderNothingIsDivided)
{
    Rollouts rollouts({ 0.1, 1s });
    const auto now = BootClock::now();
    rollouts.apply(RolloutOrder { ledger, {} }, now);
    BOOST_TEST(rollouts.isEmpty());
    rollouts.apply(RolloutOrder { ServiceId("other"), rollout::Order { "v2", 60s, 5 } }, now);
    BOOST_TEST(rollouts.division(ServiceId("other")) != nullptr);
    BOOST_TEST(rollouts.division(ledger) == nullptr);
    rollouts.apply(RolloutOrder { ServiceId("other"), {} }, now);
    rollouts.update(now);
    BOOST_TEST(rollouts.isEmpty());
}

// Guards against a driver that judges by its own few samples only.
BOOST_AUTO_TEST_CASE(driverCollectsTheSamplesOfOtherVms)
{
    RolloutFixture<GatewayFleet> fleet;
    fleet.configure(configurationOf({ singleRoute(true) }));
    fleet.versioned("old", "v1", serves("data"));
    fleet.versioned("new", "v2", serves("data"));
    fleet.settings.minDispatchersPerZone = 2;
    auto& first = fleet.addVm("vm-1", 1, true);
    auto& second = fleet.addVm("vm-2", 1, true);
    fleet.store.set("order/ledger", "v2 60000");
    fleet.runUntil([&] {
        fleet.call(first, GatewayFixture::request("/lookup/a", "a"));
        fleet.call(second, GatewayFixture::request("/lookup/a", "b"));
        return fleet.metric(first, "banyancroft_rollout_samples_collected_total")
            + fleet.metric(second, "banyancroft_rollout_samples_collected_total")
            > 0;
    });
    BOOST_TEST(fleet.status() == "0 v2");
    BOOST_TEST(fleet.metric(first, "banyancroft_rollouts_running") == 1);
}

// Guards against requests for versions that were rolled back or replaced, and against an idle service if its
// replicas all have the target version.
BOOST_AUTO_TEST_CASE(candidatesAreDividedByVersion)
{
    const auto replicas = replicasOf({ "v1", "v2", "v3", "v2" });
    rollout::Division division { "v2", 0.05, { "v3" }, false, false };
    int toTarget = 0;
    for (int i = 0; i < 10000; ++i) {
        const auto id = "id" + std::to_string(i);
        const auto first = Rollouts::candidates(division, ledger, replicas, id, false);
        const auto again = Rollouts::candidates(division, ledger, replicas, id, false);
        BOOST_REQUIRE(first.preferred == again.preferred);
        toTarget += first.preferred.size() == 2;
        const auto repeat = Rollouts::candidates(division, ledger, replicas, id, true);
        BOOST_REQUIRE(repeat.preferred == std::vector { replicas[0] });
        BOOST_REQUIRE(repeat.fallback.empty());
    }
    BOOST_TEST(toTarget > 400);
    BOOST_TEST(toTarget < 600);
    // A VM that does not learn of the completion must not be left with replicas that have stopped.
    division.isOverdue = true;
    const auto overdue = Rollouts::candidates(division, ledger, replicas, "x", true);
    BOOST_TEST((overdue.preferred == std::vector { replicas[0] }));
    BOOST_TEST(overdue.fallback.size() == 2U);
    division.isOverdue = false;
    division.share = 1;
    BOOST_TEST(Rollouts::candidates(division, ledger, replicas, "x", true).preferred.size() == 2U);
    division = { "v2", 0, {}, true, false };
    BOOST_TEST(Rollouts::candidates(division, ledger, replicasOf({ "v2" }), "x", false).preferred.empty());
    division.isRolledBack = false;
    BOOST_TEST(
        Rollouts::candidates(division, ledger, replicasOf({ "v2" }), "x", false).preferred.size() == 1U);
}
