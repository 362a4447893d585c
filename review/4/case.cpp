#include "../standin/case.h"
#include "../standin/client.h"
#include "../standin/config.h"
#include "../standin/gateway.h"
#include "../standin/proxy.h"
#include "../standin/replica.h"

#include <algorithm>
#include <array>
#include <mutex>
#include <set>

using namespace review;

namespace {

constexpr std::string_view host = "yard.example";
constexpr unsigned replicas = 26;
constexpr unsigned clients = 12;
constexpr Milliseconds duration(60'000);
constexpr Milliseconds deadline(5000);
constexpr Milliseconds work(60);
constexpr Milliseconds think(10);
/** The path of one VM to the store is cut at these times. */
constexpr std::array cutsAt { Milliseconds(6000), Milliseconds(15'000), Milliseconds(24'000),
    Milliseconds(33'000), Milliseconds(42'000), Milliseconds(51'000) };
/** A cut ends so long after the first call of the other VM to the store in it, and replicas leave before. */
constexpr Milliseconds wholeAfter(1350);
constexpr std::array leavesAfter { Milliseconds(100), Milliseconds(250), Milliseconds(400) };
/** Longest cut, also if the other VM makes no calls. */
constexpr Milliseconds longestCut(5500);
constexpr Milliseconds drainTime(3000);
/** A replica goes on serving for a little longer than drainTime. */
constexpr Milliseconds servesOn(3250);

/** A replica that leaves: when the store removed its entry. */
struct Leave {
    std::size_t replica = 0;
    Milliseconds acknowledgedAt {};
};

Verdict run(Record& record, bool trouble)
{
    const TemporaryFolder folder;
    const std::array ips { ownLoopbackAddress(4), ownLoopbackAddress(5) };
    Store store(ips[0]);
    RouteOptions route { "drum-tag", "yard-scan" };
    route.idempotent = false;
    store.put("op/config", configuration(7, route, std::string(host)));
    std::vector<std::unique_ptr<Replica>> servers;
    for (unsigned i = 0; i < replicas; ++i) {
        Replica::Options options;
        options.ip = ips[0];
        options.id = "i-yard-" + std::to_string(i);
        options.service = "yard-scan";
        options.zone = "zone-a";
        options.work = work;
        servers.push_back(std::make_unique<Replica>(std::move(options), store, record));
    }
    std::vector<std::unique_ptr<Proxy>> paths;
    std::vector<std::unique_ptr<GatewayProcess>> gateways;
    for (std::size_t i = 0; i < ips.size(); ++i) {
        paths.push_back(std::make_unique<Proxy>(ips[i], store.address()));
        GatewayOptions options;
        options.name = "front-a-" + std::to_string(i + 1);
        options.ip = ips[i];
        options.store = paths[i]->address();
        options.folder = folder.path();
        gateways.push_back(std::make_unique<GatewayProcess>(options));
    }
    for (const auto& gateway : gateways) {
        if (!gateway->waitUntilReady(Milliseconds(2000)))
            return Verdict::CannotRun;
    }
    const auto waitUntil = [&](Milliseconds at) { std::this_thread::sleep_for(at - record.elapsed()); };
    // One VM of the zone reads the store for both; it calls the store more often.
    waitUntil(Milliseconds(3000));
    const std::array before { paths[0]->watchCalls(), paths[1]->watchCalls() };
    waitUntil(Milliseconds(5500));
    const std::size_t reader
        = paths[0]->watchCalls() - before[0] > paths[1]->watchCalls() - before[1] ? 0 : 1;
    const auto& calm = *gateways[1 - reader];
    const auto& calmPath = *paths[1 - reader];
    record.line("front-a-" + std::to_string(reader + 1) + " reads the store; clients use the other VM");

    std::mutex mutex;
    std::vector<AttemptEnd> ends;
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < clients; ++i) {
        threads.emplace_back([&, i] {
            Client client(calm.front(), std::string(host), record);
            for (unsigned number = 0; record.elapsed() < duration; ++number) {
                const auto end = client.send(
                    "GET", "/drum-tag/" + std::to_string(number), attemptId(i, number), deadline);
                std::this_thread::sleep_for(think);
                const std::lock_guard lock(mutex);
                ends.push_back(end);
            }
        });
    }
    std::vector<Leave> leaves;
    for (const auto at : cutsAt) {
        waitUntil(at);
        if (trouble) {
            record.line("the path of the reading VM to the store is cut");
            paths[reader]->setCut(true);
        }
        const auto calls = calmPath.watchCalls();
        const auto latestCall = at + longestCut - wholeAfter;
        while (calmPath.watchCalls() < calls + 1 && record.elapsed() < latestCall)
            std::this_thread::sleep_for(Milliseconds(2));
        const auto calledAt = record.elapsed();
        for (const auto after : leavesAfter) {
            waitUntil(calledAt + after);
            servers[leaves.size()]->unregister();
            leaves.push_back({ leaves.size(), record.elapsed() });
        }
        waitUntil(calledAt + wholeAfter);
        record.line("the path of the reading VM to the store is whole");
        paths[reader]->setCut(false);
        for (auto leave = leaves.end() - static_cast<std::ptrdiff_t>(leavesAfter.size());
             leave != leaves.end(); ++leave) {
            waitUntil(leave->acknowledgedAt + servesOn);
            servers[leave->replica]->exit();
        }
    }
    for (auto& thread : threads)
        thread.join();

    std::set<std::string> unserved;
    unsigned served = 0;
    for (const auto& end : ends) {
        served += end.status == 200 ? 1 : 0;
        if (end.status != 200)
            unserved.insert(end.attemptId);
    }
    unsigned late = 0;
    unsigned lost = 0;
    for (const auto& leave : leaves) {
        for (const auto& arrival : servers[leave.replica]->arrivals()) {
            const auto after = arrival.at - leave.acknowledgedAt;
            if (after <= drainTime)
                continue;
            ++late;
            const bool isLost = arrival.run && unserved.contains(arrival.attemptId);
            lost += isLost ? 1 : 0;
            record.line("DRAIN: " + arrival.attemptId + " reached " + arrival.replica + " "
                + std::to_string(after.count()) + " ms after its entry was removed"
                + (isLost ? ", and was lost when it exited" : ""));
        }
    }
    record.line("attempts " + std::to_string(ends.size()) + ", served " + std::to_string(served)
        + ", reached a replica too late " + std::to_string(late) + ", of these run and lost "
        + std::to_string(lost));
    if (served == 0 || gateways[0]->hasEnded() || gateways[1]->hasEnded())
        return Verdict::CannotRun;
    return late > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char** argv) { return runCase(argc, argv, run); }
