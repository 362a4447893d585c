// DRAIN: open connections to the store go silent while a replica's entry is removed.

#include "../standin-2/gateway.h"
#include "../standin-2/proxy.h"
#include "../standin-2/replica.h"
#include "../standin-2/scenario.h"
#include "../standin-2/store.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>

using namespace banyancroft::review2;

namespace {

constexpr std::size_t vmCount = 2;
constexpr std::size_t replicaCount = 4;
constexpr unsigned clientsPerVm = 12;
constexpr double contactS = 4;
constexpr double drainS = 3;
/** A replica serves a little longer than drainMs. */
constexpr double servesLongerS = 0.15;
/** Tolerance for the clocks and threads of the stand-ins, in favour of the gateway. */
constexpr double longestWaitS = 80;
constexpr double nudgeAfterS = 5;
constexpr double pollSpreadS = 0.13;
/** A lease is renewed every 2.5 s, and the store polled 0.9 s after its last answer. */
constexpr double longestSinceRenewalS = 1.4;
constexpr double tolerance = 0.03;

class Clients {
public:
    explicit Clients(Record& record)
        : record_(record)
    {
    }
    ~Clients() { stop(); }
    Clients(const Clients&) = delete;
    Clients& operator=(const Clients&) = delete;

    void start(const Address& front)
    {
        threads_.emplace_back([this, front, client = threads_.size()] { run(front, client); });
    }

    void stop()
    {
        isStopped_ = true;
        for (auto& thread : threads_)
            thread.join();
        threads_.clear();
    }

    double sentAt(const std::string& attempt)
    {
        const std::lock_guard lock(mutex_);
        const auto found = sent_.find(attempt);
        return found == sent_.end() ? 0 : found->second;
    }

    std::string answerOf(const std::string& attempt)
    {
        const std::lock_guard lock(mutex_);
        const auto found = answers_.find(attempt);
        return found == answers_.end() ? "none" : found->second;
    }

private:
    void run(const Address& front, std::size_t client)
    {
        std::shared_ptr<Connection> connection;
        for (unsigned number = 0; !isStopped_; ++number) {
            const bool isPost = number % 2 == 0;
            const auto attempt = format("%c%zu-%u", isPost ? 'p' : 'g', client, number);
            if (!connection)
                connection = Connection::open(front, Milliseconds(1000));
            const auto sent = seconds();
            const auto request = isPost ? clientRequest("POST", "/order/x", attempt, 3000, "an order")
                                        : clientRequest("GET", "/read/x", attempt, 3000);
            std::optional<Message> answer;
            {
                const std::lock_guard lock(mutex_);
                sent_[attempt] = sent;
            }
            if (connection && connection->write(request))
                answer = connection->read(Milliseconds(3000));
            const auto status = answer ? std::to_string(answer->status()) : "closed or silent";
            {
                const std::lock_guard lock(mutex_);
                answers_[attempt] = status;
            }
            record_.line(
                format("client %zu: %s sent at %.3f -> %s", client, attempt.c_str(), sent, status.c_str()));
            if (!answer || answer->field("connection") == "close")
                connection = nullptr;
            std::this_thread::sleep_for(Milliseconds(5 + 3 * client));
        }
    }

    Record& record_;
    std::mutex mutex_;
    std::map<std::string, double> sent_;
    std::map<std::string, std::string> answers_;
    std::atomic<bool> isStopped_ = false;
    std::vector<std::thread> threads_;
};

void sleepUntil(double moment)
{
    const auto left = moment - seconds();
    if (left > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(left));
}

/** Whether no VM has a call to the store at work, all have just polled it, and none renews its lease before
 * its next poll. */
bool isBetweenPolls(const Store& store)
{
    for (std::size_t vm = 0; vm < vmCount; ++vm) {
        const auto sinceRenewal = seconds() - store.lastAnswer(vm, "/-/kv-keep/");
        if (store.idleConnections(vm) == 0 || store.callsAtWork(vm) > 0
            || seconds() - store.lastAnswer(vm, "/-/kv-watch") > pollSpreadS
            || sinceRenewal > longestSinceRenewalS)
            return false;
    }
    return true;
}

bool waitUntilBetweenPolls(Store& store, const nlohmann::json& configuration)
{
    const auto begin = seconds();
    auto next = begin + nudgeAfterS;
    auto document = configuration;
    while (!isBetweenPolls(store)) {
        if (seconds() > begin + longestWaitS)
            return false;
        std::size_t waiting = 0;
        for (std::size_t vm = 0; vm < vmCount; ++vm)
            waiting += store.callsAtWork(vm);
        if (seconds() > next && waiting > 0) {
            // A further version with the same content, so that all VMs poll again at about the same time.
            document["version"] = document["version"].get<unsigned>() + 3;
            store.put("op/config", document);
            next = seconds() + nudgeAfterS;
        }
        std::this_thread::sleep_for(Milliseconds(3));
    }
    return true;
}

Outcome run(Stage& stage, Record& record, bool hasTrouble)
{
    const TemporaryFolder folder;
    auto& store = stage.make<Store>(loopbackIp(1), vmCount, record);
    std::vector<SilentProxy*> proxies;
    std::vector<Address> stores;
    for (std::size_t vm = 0; vm < vmCount; ++vm) {
        proxies.push_back(&stage.make<SilentProxy>(loopbackIp(2), store.address(vm)));
        stores.push_back(proxies.back()->address());
    }
    std::vector<Replica*> replicas;
    for (std::size_t number = 0; number < replicaCount; ++number) {
        Replica::Options options;
        options.id = format("i-%zu", number);
        options.service = "orders";
        options.zone = zoneName(number);
        options.work = Milliseconds(150);
        options.slots = 16;
        replicas.push_back(&stage.make<Replica>(loopbackIp(3), options, record));
        store.put("servers/" + options.id, replicas.back()->entry(0));
    }
    const auto document = configuration(
        7, { { "order", "orders", false, 4000, 1 }, { "read", "orders", true, 4000, 2 } }, { { "orders" } });
    store.put("op/config", document);
    Fleet fleet(folder.path(), stores);
    if (!fleet.waitUntilReady(Milliseconds(20'000)))
        return Outcome::CouldNotRun;
    Clients clients(record);
    for (std::size_t vm = 0; vm < vmCount; ++vm) {
        for (unsigned i = 0; i < clientsPerVm; ++i)
            clients.start(fleet.front(vm));
    }
    std::this_thread::sleep_for(std::chrono::seconds(8));
    if (!waitUntilBetweenPolls(store, document))
        return Outcome::CouldNotRun;

    const auto silentAt = seconds();
    if (hasTrouble) {
        record.say("the open connections to the store go silent");
        for (const auto& proxy : proxies)
            proxy->silence();
    }
    sleepUntil(silentAt + contactS - drainS);
    auto& leaving = *replicas.front();
    const auto removedAt = store.erase("servers/" + leaving.id());
    sleepUntil(removedAt + drainS + servesLongerS);
    leaving.exit();
    std::this_thread::sleep_for(Milliseconds(3500));
    clients.stop();

    const auto firstLate = std::max(silentAt + contactS, removedAt + drainS) + tolerance;
    std::size_t late = 0;
    double latest = 0;
    for (const auto& arrival : leaving.arrivals()) {
        latest = std::max(latest, arrival.at);
        if (!arrival.isRun || arrival.at <= firstLate
            || clients.sentAt(arrival.attempt) <= silentAt + contactS)
            continue;
        ++late;
        record.line(format("late: %s reached %s at %.3f, %.3f s after the removal", arrival.attempt.c_str(),
            leaving.id().c_str(), arrival.at, arrival.at - removedAt));
    }
    std::size_t lost = 0;
    for (const auto& attempt : leaving.brokenOff()) {
        lost += attempt.starts_with('p') ? 1 : 0;
        record.line("at work at the exit: " + attempt + ", answered " + clients.answerOf(attempt));
    }
    record.say(
        format("entry removed %.3f s after the silence; last request %.3f s after the removal; %zu late; "
               "%zu non-idempotent requests at work at the exit",
            removedAt - silentAt, latest - removedAt, late, lost));
    return late > 0 ? Outcome::Broken : Outcome::Held;
}

} // namespace

int main(int argumentCount, char** arguments) { runCase(argumentCount, arguments, run); }
