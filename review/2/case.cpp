#include "../standin/case.h"
#include "../standin/client.h"
#include "../standin/config.h"
#include "../standin/gateway.h"
#include "../standin/replica.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>

using namespace review;

namespace {

constexpr std::string_view host = "yard.example";
constexpr unsigned replicas = 2;
/** Clients of the first VM, which sends little, and of the second, which keeps the replicas busy. */
constexpr unsigned quietClients = 6;
constexpr unsigned busyClients = 7;
constexpr Milliseconds duration(60'000);
constexpr Milliseconds deadline(5000);
constexpr Milliseconds work(20);
/** Pauses of the clients between their requests. */
constexpr Milliseconds quietThink(100);
constexpr Milliseconds busyThink(5);
/** Pause of a client after a refusal, as Retry-After asks. */
constexpr Milliseconds refusalPause(50);
/** At one of the replicas, one answer in so many at most is followed by a second copy; those are refusals. */
constexpr unsigned copyEvery = 25;

constexpr unsigned statusUnavailable = 503;

/** Statuses that promise that the request has not run and never will. */
bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == statusUnavailable;
}

Verdict run(Record& record, bool trouble)
{
    const TemporaryFolder folder;
    const auto ip = ownLoopbackAddress(1);
    const auto busyIp = ownLoopbackAddress(2);
    Store store(ip);
    RouteOptions route { "return-credit", "credit-ledger" };
    route.idempotent = false;
    store.put("op/config", configuration(7, route, std::string(host)));
    std::vector<std::unique_ptr<Replica>> servers;
    std::atomic<unsigned> answers = 0;
    std::atomic<unsigned> copied = 0;
    for (unsigned i = 0; i < replicas; ++i) {
        Replica::Options options;
        options.ip = ip;
        options.id = "i-credit-" + std::to_string(i);
        options.service = "credit-ledger";
        options.zone = i % 2 == 0 ? "zone-a" : "zone-b";
        options.queue = 2;
        options.work = work;
        if (trouble && i == 0)
            options.secondCopy = [&](unsigned status) {
                const bool mayCopy = ++answers >= copyEvery * (copied + 1);
                if (!mayCopy || status != statusUnavailable)
                    return SecondCopy {};
                ++copied;
                return SecondCopy { true, false };
            };
        servers.push_back(std::make_unique<Replica>(std::move(options), store, record));
    }
    GatewayOptions options;
    options.ip = ip;
    options.store = store.address();
    options.folder = folder.path();
    GatewayProcess quietGateway(options);
    options.name = "front-b-1";
    options.zone = "zone-b";
    options.ip = busyIp;
    GatewayProcess busyGateway(options);
    if (!quietGateway.waitUntilReady(Milliseconds(10'000))
        || !busyGateway.waitUntilReady(Milliseconds(10'000)))
        return Verdict::CannotRun;

    std::mutex mutex;
    std::map<std::string, unsigned> statuses;
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < quietClients + busyClients; ++i) {
        threads.emplace_back([&, i] {
            const bool quiet = i < quietClients;
            Client client((quiet ? quietGateway : busyGateway).front(), std::string(host), record);
            for (unsigned number = 0; record.elapsed() < duration; ++number) {
                const auto end = client.send("POST", "/return-credit/" + std::to_string(number),
                    attemptId(i, number), deadline, "silver=1");
                std::this_thread::sleep_for(end.status == statusUnavailable ? refusalPause
                        : quiet                                             ? quietThink
                                                                            : busyThink);
                const std::lock_guard lock(mutex);
                statuses[end.attemptId] = end.status;
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    // Requests that a replica still works on count too.
    std::this_thread::sleep_for(Milliseconds(1000));
    std::map<std::string, unsigned> runs;
    std::size_t copies = 0;
    for (const auto& server : servers) {
        copies += server->copies();
        for (const auto& arrival : server->arrivals())
            runs[arrival.attemptId] += arrival.run ? 1 : 0;
    }
    unsigned twice = 0;
    unsigned refusedAndRun = 0;
    unsigned served = 0;
    for (const auto& [id, status] : statuses) {
        served += status == 200 ? 1 : 0;
        if (runs[id] > 1) {
            ++twice;
            record.line("TWICE: " + id + " ran " + std::to_string(runs[id]) + " times, status "
                + std::to_string(status));
        }
        if (promisesNotRun(status) && runs[id] > 0) {
            ++refusedAndRun;
            record.line("REFUSED: " + id + " was answered " + std::to_string(status) + " and ran");
        }
    }
    record.line("attempts " + std::to_string(statuses.size()) + ", served " + std::to_string(served)
        + ", second copies " + std::to_string(copies) + ", ran twice " + std::to_string(twice)
        + ", refused and run " + std::to_string(refusedAndRun));
    if (served == 0 || (trouble && copies == 0) || quietGateway.hasEnded() || busyGateway.hasEnded())
        return Verdict::CannotRun;
    return twice + refusedAndRun > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace

int main(int argc, char** argv) { return runCase(argc, argv, run); }
