#include "../standin/case.h"
#include "../standin/client.h"
#include "../standin/config.h"
#include "../standin/gateway.h"
#include "../standin/replica.h"

#include <algorithm>
#include <csignal>
#include <mutex>
#include <set>

using namespace review;

namespace {

constexpr std::string_view host = "yard.example";
constexpr unsigned replicas = 4;
constexpr unsigned clients = 100;
/** Each client sends a request so often on the connection that it keeps. */
constexpr Milliseconds period(6000);
constexpr Milliseconds deadline(5000);
constexpr Milliseconds work(300);
constexpr Milliseconds stopAt(9000);
constexpr Milliseconds grace(6000);
/** Until then after SIGTERM, a request that its replica still works on late in the grace time isn't counted.
 */
constexpr Milliseconds excusedUntil(3000);

Verdict run(Record& record, bool trouble)
{
    const TemporaryFolder folder;
    const auto ip = ownLoopbackAddress(2);
    Store store(ip);
    store.put("op/config", configuration(7, { "drum-tag", "yard-scan" }, std::string(host)));
    std::vector<std::unique_ptr<Replica>> servers;
    for (unsigned i = 0; i < replicas; ++i) {
        Replica::Options options;
        options.ip = ip;
        options.id = "i-yard-" + std::to_string(i);
        options.service = "yard-scan";
        options.zone = i % 2 == 0 ? "zone-a" : "zone-b";
        options.work = work;
        servers.push_back(std::make_unique<Replica>(std::move(options), store, record));
    }
    GatewayOptions options;
    options.ip = ip;
    options.store = store.address();
    options.folder = folder.path();
    GatewayProcess gateway(options);
    if (!gateway.waitUntilReady(Milliseconds(2000)))
        return Verdict::CannotRun;

    std::mutex mutex;
    std::vector<AttemptEnd> ends;
    std::atomic<bool> finished = false;
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < clients; ++i) {
        threads.emplace_back([&, i] {
            Client client(gateway.front(), std::string(host), record);
            client.connect();
            auto next = Milliseconds(2000) + period * i / clients;
            for (unsigned number = 0; !finished; ++number, next += period) {
                while (record.elapsed() < next && !finished)
                    std::this_thread::sleep_for(Milliseconds(5));
                // The platform sends new connections to other VMs, so a client without its connection is
                // gone.
                if (finished || !client.isConnected())
                    return;
                const auto end = client.send(
                    "GET", "/drum-tag/" + std::to_string(number), attemptId(i, number), deadline);
                const std::lock_guard lock(mutex);
                ends.push_back(end);
            }
        });
    }
    while (record.elapsed() < stopAt)
        std::this_thread::sleep_for(Milliseconds(1));
    const auto signalledAt = record.elapsed();
    if (trouble) {
        record.line("platform sends SIGTERM");
        gateway.signal(SIGTERM);
    }
    auto endedAt = Milliseconds::max();
    while (record.elapsed() < signalledAt + grace) {
        if (endedAt == Milliseconds::max() && gateway.hasEnded()) {
            endedAt = record.elapsed();
            record.line("the gateway has ended");
        }
        std::this_thread::sleep_for(Milliseconds(1));
    }
    if (trouble && endedAt == Milliseconds::max()) {
        record.line("platform sends SIGKILL");
        gateway.signal(SIGKILL);
    }
    std::this_thread::sleep_for(Milliseconds(1000));
    finished = true;
    for (auto& thread : threads)
        thread.join();

    std::set<std::string> run;
    for (const auto& server : servers) {
        for (const auto& arrival : server->arrivals())
            run.insert(arrival.attemptId);
    }
    unsigned served = 0;
    unsigned lost = 0;
    for (const auto& end : ends) {
        served += end.status == 200 ? 1 : 0;
        const auto after = end.sentAt - signalledAt;
        const bool cut
            = end.end == ReadEnd::Closed || end.end == ReadEnd::Reset || end.end == ReadEnd::Malformed;
        if (!cut || !run.contains(end.attemptId) || after <= excusedUntil)
            continue;
        ++lost;
        record.line("LOST: " + end.attemptId + ", sent " + std::to_string(after.count())
            + " ms after SIGTERM and passed on to a replica, was cut off "
            + std::to_string((end.endedAt - end.sentAt).count()) + " ms later without an answer");
    }
    record.line("requests " + std::to_string(ends.size()) + ", served " + std::to_string(served)
        + ", passed on and cut off " + std::to_string(lost));
    if (served == 0 || (!trouble && gateway.hasEnded()))
        return Verdict::CannotRun;
    return lost > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char** argv) { return runCase(argc, argv, run); }
