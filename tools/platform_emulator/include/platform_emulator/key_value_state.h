#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyancroft::tools {

struct StoredValue {
    std::string value;
    std::int64_t createRevision = 0;
    std::int64_t modRevision = 0;
    std::int64_t version = 0;
    /** ID of the lease that the key is attached to; zero for none. */
    std::int64_t lease = 0;
};

/** Change of one key. */
struct StoreEvent {
    std::string key;
    /** Empty for a deletion. */
    std::optional<StoredValue> current;
    std::int64_t revision = 0;
};

/** Half-open range of keys. An empty `end` means the single key `begin`, "\0" all keys from `begin` on. */
struct KeyRange {
    std::string begin;
    std::string end;

    bool contains(std::string_view key) const;
};

/**
 * Holds keys, revisions, leases and change history of the key-value service. A copy is a snapshot.
 *
 * All writes between beginWrite() and endWrite() get the same revision. Not thread-safe; the current time is
 * passed in.
 */
class KeyValueState {
public:
    /** Number of changes kept for watches that start at an older revision. */
    static constexpr std::size_t historyLimit = 10'000;

    struct Lease {
        Duration timeToLive {};
        TimePoint expires {};
    };

    std::int64_t revision() const { return revision_; }
    /** Oldest revision from which a watch may start. */
    std::int64_t compactRevision() const { return compactRevision_; }
    std::optional<StoredValue> find(const std::string& key) const;
    std::vector<std::pair<std::string, StoredValue>> range(const KeyRange& range) const;

    void beginWrite() { changed_ = false; }
    void put(const std::string& key, std::string value, std::int64_t lease);
    /** @return number of keys deleted */
    std::int64_t erase(const KeyRange& range);
    /** @return true if anything was written, which increments the revision */
    bool endWrite();

    std::int64_t grantLease(Duration timeToLive, TimePoint now);
    bool hasLease(std::int64_t lease) const { return leases_.contains(lease); }
    /** @return time to live; empty if the lease has expired */
    std::optional<Duration> renewLease(std::int64_t lease, TimePoint now);
    bool revokeLease(std::int64_t lease);
    /** Removes expired leases and deletes the keys attached to them. */
    void expireLeases(TimePoint now);
    /** Resets the expiry of every lease to its full time to live, as etcd does after a restore. */
    void extendLeases(TimePoint now);

    /** Changes within the range, from the given revision on. */
    std::vector<StoreEvent> eventsSince(std::int64_t firstRevision, const KeyRange& range) const;

private:
    void record(StoreEvent event);

    std::map<std::string, StoredValue, std::less<>> values_;
    std::map<std::int64_t, Lease> leases_;
    std::vector<StoreEvent> history_;
    std::int64_t revision_ = 1;
    std::int64_t compactRevision_ = 0;
    std::int64_t nextLease_ = 7'587'848'390'031'682'369;
    bool changed_ = false;
};

} // namespace banyancroft::tools
