#pragma once

#include "net.h"
#include "record.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace banyancroft::review2 {

/** A request that a replica ran, or, with `isRun` false, refused with 421 or 503. */
struct Arrival {
    double at = 0;
    std::string replica;
    std::string startLine;
    std::string attempt;
    std::size_t bodySize = 0;
    bool isRun = true;
};

/** A replica (PROTOCOL, "Replicas"): runs requests, refuses those that name another replica. */
class Replica {
public:
    struct Options {
        std::string id;
        std::string service;
        std::string zone;
        unsigned slots = 8;
        /** Time for which a request runs. */
        Milliseconds work { 2 };
        std::size_t answerSize = 2;
    };

    Replica(const std::string& ip, Options options, Record& record);
    ~Replica();
    Replica(const Replica&) = delete;
    Replica& operator=(const Replica&) = delete;

    const Address& address() const { return listener_->address(); }
    const std::string& id() const { return options_.id; }
    /** What the replica says of itself in the store. */
    nlohmann::json entry(unsigned warmupLeftMs) const;
    /** Crashes: connections are reset, new ones too. */
    void crash();
    /** Starts a new run under the same id, cold for a time. */
    void startAgain(Milliseconds cold);
    /** Exits: stops listening and breaks all connections off. */
    void exit();
    std::vector<Arrival> arrivals() const;
    /** Attempt ids of requests that were at work when the replica exited. */
    std::vector<std::string> brokenOff() const;

private:
    void serve(const std::shared_ptr<Connection>& connection);
    /** Waits for a slot. @return false if the queue is full */
    bool takeSlot();

    Options options_;
    Record& record_;
    mutable std::mutex mutex_;
    std::condition_variable slotFreed_;
    unsigned running_ = 0;
    unsigned waiting_ = 0;
    std::vector<Arrival> arrivals_;
    std::set<std::shared_ptr<Connection>> connections_;
    std::map<std::string, double> atWork_;
    std::vector<std::string> brokenOff_;
    std::atomic<bool> hasExited_ = false;
    bool isDown_ = false;
    std::int64_t born_ = 0;
    Time warmAt_ {};
    unsigned seq_ = 1;
    std::unique_ptr<Listener> listener_;
};

} // namespace banyancroft::review2
