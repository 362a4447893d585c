#include "gateway_fixture.h"
#include "test_routes.h"
#include "traffic_manager.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace banyancroft;
using namespace banyancroft::gateway;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };

/** Three replicas of one service, as one VM sees them, in scripted time. */
struct ScriptedReplicas {
    ScriptedReplicas()
    {
        for (const std::string name : { "r1", "r2", "r3" }) {
            upstreams::UpstreamRecord record;
            record.id = UpstreamId(name);
            record.service = ServiceId("ledger");
            record.zone = AvailabilityZone(name);
            traffic.registry().apply({ record.id, record }, start);
        }
    }

    std::span<const upstreams::UpstreamPointer> replicas()
    {
        return traffic.registry().upstreams(ServiceId("ledger"));
    }

    dispatch::Verdict judge(TimePoint deadline, TimePoint now)
    {
        dispatch::ShardOutlook shard;
        for (const auto& replica : replicas())
            shard.replicas.push_back(traffic.replicaOutlook(*replica, routes, now));
        return dispatch::judge(shard, deadline, now);
    }

    bool canServe(TimePoint now)
    {
        const auto all = replicas();
        return std::any_of(all.begin(), all.end(),
            [&](const auto& replica) { return upstreams::isCandidate(*replica, traffic.registry(), now); });
    }

    GatewayFixture fixture;
    telemetry::Metrics metrics;
    TrafficManager traffic { fixture.ioContext, fixture.settings, fixture.dialect, metrics, start };
    routing::RouteTable routes { configurationOf({ singleRoute(false) }) };
};

struct LoadResult {
    int served = 0;
    int endedEarly = 0;
    int timedOut = 0;
    /** Requests that ended early although a replica would have taken them before their deadline. */
    int wronglyEnded = 0;
};

/** Plays a request every 5 ms; each has 50 to 1,200 ms and looks for a replica every 3 ms. */
LoadResult play(ScriptedReplicas& scripted, const std::function<void(TimePoint)>& script)
{
    struct Request {
        TimePoint deadline;
        bool endedEarly = false;
    };
    std::vector<Request> open;
    LoadResult result;
    for (int millis = 0; millis < 3000; ++millis) {
        const auto now = start + 10s + millis * 1ms;
        script(now);
        if (millis < 1500 && millis % 5 == 0)
            open.push_back({ now + 50ms + (millis * 7 % 1150) * 1ms });
        if (millis % 3 != 0)
            continue;
        const bool canServe = scripted.canServe(now);
        std::erase_if(open, [&](Request& request) {
            const bool inTime = now < request.deadline;
            if (inTime && !canServe) {
                request.endedEarly = request.endedEarly
                    || scripted.judge(request.deadline, now).loss != dispatch::LossReason::None;
                return false;
            }
            result.wronglyEnded += inTime && request.endedEarly;
            result.served += inTime;
            result.endedEarly += !inTime && request.endedEarly;
            result.timedOut += !inTime && !request.endedEarly;
            return true;
        });
    }
    return result;
}

} // namespace

// Guards against refusals in a short outage: suspicion can end with any response or probe.
BOOST_AUTO_TEST_CASE(shortOutageLosesNoRequest)
{
    ScriptedReplicas scripted;
    const auto outage = start + 10s + 200ms;
    const auto result = play(scripted, [&](TimePoint now) {
        for (const auto& replica : scripted.replicas()) {
            if (now == outage)
                replica->health.connectFailed(true, now);
            if (now == outage + 300ms)
                replica->health.connected(now);
        }
    });
    BOOST_TEST(result.wronglyEnded == 0);
    // Of the 300 requests, only those whose time ended within the outage were not served.
    BOOST_TEST(result.served > 250);
}

// Guards against callers that wait in vain: the rest outlasts their deadlines, and they learn its end.
BOOST_AUTO_TEST_CASE(requestsEndAtOnceWhenAllReplicasAreExcludedForLonger)
{
    ScriptedReplicas scripted;
    const auto restEnd = start + 60s;
    const auto all = scripted.replicas();
    all[0]->restUntil = restEnd;
    all[1]->usable = false;
    scripted.traffic.registry().setEvacuatedZones({ AvailabilityZone("r3") });
    const auto result = play(scripted, [](TimePoint) {});
    BOOST_TEST(result.endedEarly == 300);
    BOOST_TEST(result.timedOut == 0);
    BOOST_TEST((scripted.judge(start + 30s, start + 20s).roomAt == restEnd));
    BOOST_TEST((scripted.judge(restEnd + 1ms, start + 20s).loss == dispatch::LossReason::None));
}

// Guards against refusals because of an old load report, and against useless sends to queues that are too
// long.
BOOST_AUTO_TEST_CASE(onlyCurrentReportsOfLongQueuesEndRequests)
{
    // Answers a request that was sent at `sentAt` with a report of `waiting` requests.
    const auto answer = [](auto& health, TimePoint sentAt, TimePoint now, unsigned waiting) {
        health.loadReported({ 3, waiting, 3 }, now);
        health.answered(sentAt, now, 20ms, 3);
    };
    upstreams::UpstreamHealth health;
    health.sent(start);
    answer(health, start, start + 20ms, 0);
    health.sent(start + 20ms);
    answer(health, start + 20ms, start + 40ms, 30);
    BOOST_TEST(!health.leastQueueDelay(3, 2ms, start + 40ms).has_value());
    auto disproved = health;
    // Half of 30 requests of 20 ms on 3 slots take 100 ms.
    health.sent(start + 50ms);
    answer(health, start + 50ms, start + 150ms, 600);
    const auto now = start + 150ms;
    BOOST_TEST((health.leastQueueDelay(3, 2ms, now) == 1800ms));
    BOOST_TEST((health.leastQueueDelay(3, 30ms, now) == 0ms));
    BOOST_TEST(!health.leastQueueDelay(3, 0ms, now + 101ms).has_value());
    disproved.sent(start + 50ms);
    answer(disproved, start + 50ms, start + 80ms, 600);
    disproved.sent(start + 90ms);
    answer(disproved, start + 90ms, start + 3000ms, 600);
    BOOST_TEST(!disproved.leastQueueDelay(3, 2ms, start + 3000ms).has_value());
    dispatch::ReplicaOutlook replica;
    replica.leastDelay = 1800ms;
    dispatch::ShardOutlook shard { { replica }, false, std::nullopt };
    BOOST_TEST((dispatch::judge(shard, now + 1s, now).loss == dispatch::LossReason::Queue));
    BOOST_TEST((dispatch::judge(shard, now + 2s, now).loss == dispatch::LossReason::None));
    // A replica without a report may be idle; a send in progress may still be answered.
    shard.replicas.emplace_back();
    BOOST_TEST((dispatch::judge(shard, now + 1s, now).loss == dispatch::LossReason::None));
    shard.replicas.pop_back();
    shard.sendInProgress = true;
    BOOST_TEST((dispatch::judge(shard, now + 1s, now).loss == dispatch::LossReason::None));
}

// Guards against a wait until the deadline for a repeat that the retry budget will not permit.
BOOST_AUTO_TEST_CASE(requestEndsAtOnceWithoutRetryBudget)
{
    GatewayFixture fixture;
    fixture.settings.retries = { 0, 10s, 0 };
    auto& full = fixture.replica("ledger", "r1", respondsWith(notRunResponse));
    fixture.replica("shard-0", "r2", serves("data"));
    fixture.replica("shard-1", "r3", respondsWith(notRunResponse));
    fixture.replica("shard-2", "r4", respondsWith("", true));
    std::vector<routing::Route> routes { singleRoute(false), gatherRoute(3, 0.3), gatherRoute(3, 0.6) };
    routes[1].pathPrefix = "/some/";
    routes[1].name = "some";
    for (auto& route : routes) {
        route.timeout = 20s;
        route.latencyObjective = 20s;
    }
    fixture.configure(configurationOf(routes));
    const auto before = BootClock::now();
    const auto call = [&](const std::string& path) {
        return fixture.callWhenReady(GatewayFixture::request(path, "id" + path, 20000));
    };
    const auto refused = call("/credit/1");
    BOOST_TEST(refused.status == 503U);
    BOOST_TEST(std::stod(refused.fields.at("Retry-After")) >= 0.05);
    BOOST_TEST(full.receivedRequests() == 1);
    // One of three parts suffices, then two are needed.
    BOOST_TEST(call("/some/1").status == 200U);
    BOOST_TEST(call("/sweep/1").status == 502U);
    BOOST_TEST((BootClock::now() - before < 15s));
    const auto metrics = fixture.runCaller<CallerResponse>([&] {
        return Caller(fixture.settings.metrics.port).call("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    });
    BOOST_TEST(metrics.body.find("banyancroft_gateway_ended_early_total 2") != std::string::npos);
}

// Guards against refusals because of a replica whose load reports are false.
BOOST_AUTO_TEST_CASE(falseReportsOfQueuesEndNoRequest)
{
    GatewayFixture fixture;
    fixture.dialect.parseLoad = [](std::string_view) {
        return std::optional(upstreams::ReportedLoad { 3, 100000, 3 });
    };
    fixture.replica("ledger", "r1", [](const http::RequestHead& head, const std::string&) {
        std::this_thread::sleep_for(10ms);
        auto response = GatewayFixture::signedResponse(head, "sig", "data");
        return FakeResponse { response.insert(response.find("\r\n") + 2, "Load: x\r\n") };
    });
    fixture.configure(configurationOf({ singleRoute(false) }));
    const auto served = fixture.runCaller<int>([&] {
        fixture.waitUntilReady();
        Caller caller(fixture.settings.callers.port);
        int count = 0;
        for (int i = 0; i < 20; ++i)
            count
                += caller.call(GatewayFixture::request("/credit/1", "id-" + std::to_string(i))).status == 200;
        return count;
    });
    BOOST_TEST(served == 20);
}

// Guards against sends that are known to wait in the replica's queue beyond the deadline, and against callers
// that are kept away when the queue is no longer known.
BOOST_AUTO_TEST_CASE(requestIsRefusedWhileTheQueueIsKnownToBeTooLong)
{
    bool wasRefused = false;
    // On a busy machine a report may be too old for the request that follows.
    for (int attempt = 0; attempt < 10 && !wasRefused; ++attempt) {
        GatewayFixture fixture;
        int answers = 0;
        fixture.dialect.parseLoad = [&](std::string_view) {
            return std::optional(upstreams::ReportedLoad { 3, answers < 3 ? 30U : 100000U, 3 });
        };
        fixture.replica("ledger", "r1", [&](const http::RequestHead& head, const std::string&) {
            std::this_thread::sleep_for(++answers < 3 ? 20ms : 200ms);
            auto response = GatewayFixture::signedResponse(head, "sig", "data");
            return FakeResponse { response.insert(response.find("\r\n") + 2, "Load: x\r\n") };
        });
        fixture.configure(configurationOf({ singleRoute(false) }));
        std::vector<CallerResponse> responses;
        fixture.runCaller<bool>([&] {
            fixture.waitUntilReady();
            Caller caller(fixture.settings.callers.port);
            for (int i = 0; i < 5; ++i) {
                std::this_thread::sleep_for(i == 4 ? 200ms : 0ms);
                responses.push_back(
                    caller.call(GatewayFixture::request("/credit/1", "id-" + std::to_string(i))));
            }
            return true;
        });
        BOOST_TEST(responses.back().status == 200U);
        wasRefused = responses[3].status == 503U;
        // At least half of the queue on 3 slots, with some milliseconds for each request.
        BOOST_TEST((!wasRefused || std::stod(responses[3].fields.at("Retry-After")) > 5));
        BOOST_TEST((!wasRefused || answers == 4));
    }
    BOOST_TEST(wasRefused);
}
