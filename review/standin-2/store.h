#pragma once

#include "net.h"
#include "record.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace banyancroft::review2 {

/** The platform's metadata store (PROTOCOL, "The platform's metadata store"), with one address for each VM,
 * so that it can tell the VMs apart. */
class Store {
public:
    /** @param vms number of addresses, from 0 */
    Store(const std::string& ip, std::size_t vms, Record& record);

    const Address& address(std::size_t vm) const { return entries_[vm]->listener->address(); }

    /** Writes of the operator and of the replicas. @return the time of the acknowledgement, in seconds */
    double put(const std::string& key, const nlohmann::json& value);
    double erase(const std::string& key);
    /** Keys below a prefix. */
    std::vector<std::string> keys(const std::string& prefix) const;

    /** Refuses all calls of a VM with 503, or serves it again. Its open connections are reset. */
    void refuse(std::size_t vm, bool refused);

    /** Connections of a VM on which the store has answered and waits for the next call. */
    std::size_t idleConnections(std::size_t vm) const;
    std::size_t callsAtWork(std::size_t vm) const;
    /** Time of the last answer to a call of a VM whose path begins so, in seconds; zero if there was none. */
    double lastAnswer(std::size_t vm, const std::string& path) const;

private:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Event {
        std::int64_t revision = 0;
        std::string key;
        nlohmann::json json;
    };
    struct Lease {
        Milliseconds duration {};
        Time end {};
    };
    struct Entry {
        std::unique_ptr<Listener> listener;
        bool isRefused = false;
        std::size_t idle = 0;
        std::size_t atWork = 0;
        std::set<std::shared_ptr<Connection>> connections;
        std::map<std::string, double> lastAnswers;
    };

    void serve(std::size_t vm, const std::shared_ptr<Connection>& connection);
    std::string answer(const Message& call);
    std::string range(const Message& call);
    std::string watch(const Message& call);
    std::string transaction(const Message& call);
    std::string grant(const Message& call);
    void setItem(const std::string& key, const std::string& value, std::int64_t lease);
    void eraseItem(const std::string& key);
    void expire();
    static nlohmann::json itemJson(const std::string& key, const Item& item);

    Record& record_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::int64_t revision_ = 1;
    std::map<std::string, Item> items_;
    std::vector<Event> history_;
    std::map<std::int64_t, Lease> leases_;
    std::int64_t nextLease_ = 100;
    std::vector<std::unique_ptr<Entry>> entries_;
};

} // namespace banyancroft::review2
