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
    /** Lease that the key is attached to; zero for none. */
    std::int64_t lease = 0;
};

/** One change of one key. */
struct StoreEvent {
    std::string key;
    /** Empty for a deletion. */
    std::optional<StoredValue> current;
    std::int64_t revision = 0;
};

/** Keys from `begin` to before `end`; an empty end means the one key, "\0" all keys from `begin`. */
struct KeyRange {
    std::string begin;
    std::string end;

    bool contains(std::string_view key) const;
};

/**
 * Keys, revisions, leases and history of the key-value service; copyable, so that a copy is a snapshot.
 *
 * Writes happen between beginWrite() and endWrite(), which give all of them one revision. Owned by one
 * thread; time is an argument.
 */
class KeyValueState {
public:
    /** Changes that are kept for watches that start at an older revision. */
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
    /** @return true when something was written under a new revision */
    bool endWrite();

    std::int64_t grantLease(Duration timeToLive, TimePoint now);
    bool hasLease(std::int64_t lease) const { return leases_.contains(lease); }
    /** @return time to live; empty when the lease has lapsed */
    std::optional<Duration> renewLease(std::int64_t lease, TimePoint now);
    bool revokeLease(std::int64_t lease);
    /** Ends lapsed leases and deletes the keys attached to them. */
    void expireLeases(TimePoint now);
    /** Starts every lease anew, as the service does when it returns from a snapshot. */
    void extendLeases(TimePoint now);

    /** Changes from the given revision on that are in the range. */
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
