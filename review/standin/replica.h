#pragma once

#include "net.h"
#include "record.h"
#include "store.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/** What one request to a replica came to. */
struct Arrival {
    std::string attemptId;
    std::string replica;
    Milliseconds at {};
    bool run = false;
};

/** A second copy of an answer that a replica in trouble sends where the next answer is expected. */
struct SecondCopy {
    bool sent = false;
    /** The copy has no length and ends with its connection. */
    bool withoutLength = false;
};

/** A replica of a service: bounded slots and queue, refusals with X-Not-Executed, 421 for another instance.
 */
class Replica {
public:
    struct Options {
        std::string ip;
        std::string id;
        std::string service;
        std::string zone;
        std::size_t slots = 2;
        std::size_t queue = 8;
        Milliseconds work { 20 };
        /** A cold replica ends once it gets so many requests within a second; zero: it bears them. */
        std::size_t endsAtColdRate = 0;
        /** Decides for each answer whether a second copy follows later. */
        std::function<SecondCopy(unsigned status)> secondCopy;
    };

    Replica(Options options, Store& store, Record& record);
    ~Replica();

    /** Becomes cold again and says so in its entry and its health answers. */
    void turnCold(Milliseconds duration);
    /** Removes the entry; the replica goes on serving until exit(). */
    void unregister();
    /** Ends the replica and its connections. */
    void exit();
    /** All requests that arrived, in order. */
    std::vector<Arrival> arrivals() const;
    /** Second copies that were sent. */
    std::size_t copies() const;

private:
    void serve(Connection& connection, const std::atomic<bool>& stop);
    /** Takes a slot, after a wait in the queue if need be; false if the queue is full. */
    bool takeSlot(const std::atomic<bool>& stop);
    void releaseSlot();
    Fields commonFields(const std::string& attemptId);
    void note(const std::string& attemptId, bool run);
    /** Writes the entry of this replica. */
    void registerSelf(Milliseconds warmupLeft);
    Milliseconds warmupLeft() const;
    /** Ends the replica if it is cold and gets too many requests. Expects `mutex_` to be held. */
    void checkColdRate();

    const Options options_;
    Store& store_;
    Record& record_;
    const std::int64_t bornMillis_;
    std::uint64_t sequence_ = 0;
    Clock::time_point coldUntil_ {};
    std::atomic<bool> ended_ = false;
    mutable std::mutex mutex_;
    std::condition_variable slotFree_;
    std::size_t running_ = 0;
    std::size_t waiting_ = 0;
    std::size_t copies_ = 0;
    std::uint64_t runs_ = 0;
    std::vector<Arrival> arrivals_;
    std::unique_ptr<Server> server_;
};

/** Body that a replica returns for a request. */
std::string bodyFor(const std::string& attemptId);
/** Attempt id that a signature of a replica was made for. */
std::string attemptOfStamp(const std::string& stamp);

} // namespace review
