#pragma once

#include "store/store.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace banyancroft::store {

/**
 * In-memory store with fault injection for tests. Callbacks run in run() or runOne(), never inside a
 * call, so that a test controls what happens between a call and its answer.
 *
 *     FakeStore store;
 *     store.loseNextResponses(1);
 *     store.compareAndSwap(swap, callback);
 *     store.run(now); // the write took effect, the callback gets ErrorKind::TimedOut
 *
 * Link banyancroft_store_fakes. Not thread-safe.
 */
class FakeStore : public Store {
public:
    void get(std::string_view key, Callback<Listing> callback) override;
    void list(std::string_view prefix, Callback<Listing> callback) override;
    void compareAndSwap(Swap swap, Callback<SwapResult> callback) override;
    void grantLease(Duration timeToLive, Callback<LeaseGrant> callback) override;
    void renewLease(LeaseId lease, Callback<LeaseGrant> callback) override;
    void revokeLease(LeaseId lease, Callback<bool> callback) override;
    void watch(std::string_view prefix, Revision after,
        std::function<void(std::span<const KeyValue>)> onChange,
        std::function<void(const Error&)> onEnd) override;

    /** Runs calls and callbacks, including calls made by callbacks, until none is due at `now`. */
    void run(TimePoint now);
    /** Runs one due call or callback; false when none is due. */
    bool runOne(TimePoint now);

    /** While down, calls have no effect and end with ErrorKind::Unavailable, and watches end. */
    void setDown(bool down);
    /** The next `count` writes take effect, but their callbacks get ErrorKind::TimedOut. */
    void loseNextResponses(unsigned count) { responsesToLose_ = count; }
    /** Time between a call's effect and its callback. */
    void setDelay(Duration delay) { delay_ = delay; }
    /** Ends all watches, as a broken connection does. */
    void breakWatches();

    /** Writes a key at once, like a write of another client. */
    void put(const std::string& key, std::string value);
    std::optional<KeyValue> find(const std::string& key) const;
    Revision revision() const { return { revision_ }; }
    /** Number of calls so far, including pending ones; a watch counts as one. */
    std::uint64_t calls() const { return calls_; }
    /** Copy of the keys, for restore(). */
    std::map<std::string, KeyValue> snapshot() const { return values_; }
    /** Replaces all keys by a snapshot, keeps the current revision, and ends watches. */
    void restore(std::map<std::string, KeyValue> values);
    /** Replaces all keys by a snapshot, returns to its revision, and ends watches. */
    void restore(std::map<std::string, KeyValue> values, Revision revision);

private:
    struct Lease {
        Duration timeToLive {};
        TimePoint expires {};
    };
    struct Watch {
        std::function<void(std::span<const KeyValue>)> onChange;
        std::function<void(const Error&)> onEnd;
    };
    struct Step {
        TimePoint due {};
        std::function<void(TimePoint)> action;
    };

    template <typename Result>
    void enqueue(bool write, Callback<Result> callback,
        std::function<std::optional<Result>(TimePoint, Error&)> effect);
    void write(const std::string& key, std::optional<std::string> value, LeaseId lease);
    bool endLease(LeaseId lease);
    void endExpiredLeases(TimePoint now);

    std::map<std::string, KeyValue> values_;
    std::map<std::uint64_t, Lease> leases_;
    std::map<std::string, Watch> watches_;
    /** All changes, for watches that start at an older revision. */
    std::vector<std::pair<std::uint64_t, KeyValue>> history_;
    std::deque<Step> steps_;
    std::uint64_t revision_ = 1;
    std::uint64_t nextLease_ = 1;
    std::uint64_t calls_ = 0;
    unsigned responsesToLose_ = 0;
    Duration delay_ {};
    bool down_ = false;
};

} // namespace banyancroft::store
