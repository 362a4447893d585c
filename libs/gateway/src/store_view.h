#pragma once

#include "base/time.h"
#include "store/store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace banyancroft::gateway {

/** Full content of the store, or its changes since a revision, with their age. */
struct ViewUpdate {
    /** True if the content holds all keys, false if only changed ones. Deleted keys have revision zero. */
    bool isFull = false;
    store::Listing content;
    /** Latest time at which the content is known to have matched the store. */
    TimePoint currentAt {};
    /** Entries of an earlier era that stay in force against those of the content, see StoreView. */
    std::vector<store::KeyValue> retained {};
};

/** State of the store that a view holds. Revisions of different eras cannot be compared. */
struct ViewPosition {
    store::Revision revision {};
    store::StoreEra era {};

    bool operator==(const ViewPosition&) const = default;
};

/**
 * Local copy of all keys of the store, from which updates for other VMs are made. Not thread-safe; does no
 * I/O.
 *
 * If the store is restored from a copy, a full update of the new era replaces the content. Entries of the
 * replaced content that outrank those of the copy are retained, and served to other VMs, until the store has
 * one again that is not outranked.
 */
class StoreView {
public:
    /** True if the first entry stays in force although the store has the second one for the same key, which
     * is of a later era. The second one has revision zero if the key does not exist. */
    using Outranks = std::function<bool(const store::KeyValue&, const store::KeyValue&)>;

    /** @param outranks empty if no entry is ever retained */
    explicit StoreView(Outranks outranks = {});

    /**
     * Applies the content of an update that holds the changes after `base`; for a full update that is
     * nothing. Of a newer era, only a full update is applied.
     * @return false if the view no longer is at the base, or the update is older than the view
     */
    bool apply(const ViewUpdate& update, ViewPosition base);
    /**
     * Retains those entries retained by another VM that outrank the ones known here.
     * @param era the entries outrank those of this era; ignored unless it is that of the view
     * @return the entries that are new here
     */
    std::vector<store::KeyValue> retain(std::span<const store::KeyValue> entries, store::StoreEra era);
    /**
     * Update for a VM whose view is at `known`: the changes since then, or all keys if that view is empty, of
     * an older era, or the removals since then are no longer kept. Without content if that view is of a
     * newer era.
     * @param knownRetained retainedDigest() of that view; retained entries are left out if it is the same
     */
    ViewUpdate since(ViewPosition known, std::uint64_t knownRetained = 0) const;

    bool isEmpty() const { return !position_.revision; }
    store::Revision revision() const { return position_.revision; }
    store::StoreEra era() const { return position_.era; }
    ViewPosition position() const { return position_; }
    /** Identifies the set of retained entries; zero if there are none. */
    std::uint64_t retainedDigest() const;
    TimePoint currentAt() const { return currentAt_; }

private:
    struct Entry {
        store::KeyValue item;
        /** Revision of the update that contained the change. */
        store::Revision seenAtRevision;
    };

    void pruneRemovals();
    /** Retains what outranks the present content. */
    void retainFrom(const std::map<std::string, Entry>& replaced);
    /** Drops a retained entry if the store has one for the key that it does not outrank. */
    void releaseRetained(const store::KeyValue& item);
    bool outranksStored(const store::KeyValue& item) const;

    Outranks outranks_;
    std::map<std::string, Entry> entries_;
    /** Deleted keys by the revision of the update that contained the removal. */
    std::multimap<store::Revision, std::string> removals_;
    /** removals_ holds all removals after this revision; earlier ones have been dropped. */
    store::Revision removalsCompleteAfter_;
    /** By key. */
    std::map<std::string, store::KeyValue> retained_;
    ViewPosition position_;
    TimePoint currentAt_ {};
};

} // namespace banyancroft::gateway
