#pragma once

#include "net.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace review {

/** The platform's metadata store: items with revisions, watches, transactions and leases. */
class Store {
public:
    explicit Store(const std::string& ip);
    ~Store();

    const Address& address() const { return server_->address(); }
    /** Writes as the operator or as a replica. */
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

private:
    struct Item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t createRevision = 0;
        std::uint64_t lease = 0;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string key;
        /** Empty for a removal. */
        std::shared_ptr<const Item> item;
    };
    struct Lease {
        Milliseconds timeToLive {};
        Clock::time_point endsAt {};
    };
    struct Answer {
        unsigned status = 200;
        std::string body;
    };

    void serve(Connection& connection, const std::atomic<bool>& stop);
    Answer handle(const Message& request, const std::atomic<bool>& stop);
    Answer range(const std::map<std::string, std::string>& query);
    Answer watch(const std::map<std::string, std::string>& query, const std::atomic<bool>& stop);
    Answer transact(const std::string& body);
    Answer grantLease(const std::string& body);
    Answer renewLease(std::uint64_t id);
    Answer endLease(std::uint64_t id);
    /** The rest expects `mutex_` to be held. */
    void write(const std::string& key, std::string value, std::uint64_t lease, std::uint64_t revision);
    void erase(const std::string& key, std::uint64_t revision);
    void eraseKeysOf(std::uint64_t lease);
    void expireLeases();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::vector<Event> events_;
    std::map<std::uint64_t, Lease> leases_;
    std::uint64_t revision_ = 1;
    std::uint64_t lastLease_ = 0;
    std::unique_ptr<Server> server_;
};

} // namespace review
