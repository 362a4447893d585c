#pragma once

#include "base/time.h"
#include "store/store.h"

#include <map>
#include <optional>
#include <span>
#include <string>

namespace banyancroft::gateway {

/** Full content of the store, or its changes since a revision, with their age. */
struct ViewUpdate {
    /** True if the content holds all keys, false if only changed ones. Deleted keys have revision zero. */
    bool isFull = false;
    store::Listing content;
    /** Latest time at which the content is known to have matched the store. */
    TimePoint currentAt {};
};

/**
 * Local copy of all keys of the store, from which updates for other VMs are made. Not thread-safe; does no
 * I/O.
 */
class StoreView {
public:
    /**
     * Applies an update that holds the changes after `baseRevision`; for a full update that is zero.
     * @return false if the view no longer is at the base revision, or the update is older than the view
     */
    bool apply(const ViewUpdate& update, store::Revision baseRevision);
    /**
     * Update for a VM whose view is at `knownRevision`: the changes since then, or all keys if that view is
     * empty or the removals since then are no longer kept.
     */
    ViewUpdate since(store::Revision knownRevision) const;

    bool isEmpty() const { return !revision_; }
    store::Revision revision() const { return revision_; }
    TimePoint currentAt() const { return currentAt_; }

private:
    struct Entry {
        store::KeyValue item;
        /** Revision of the update that contained the change. */
        store::Revision seenAtRevision;
    };

    void pruneRemovals();

    std::map<std::string, Entry> entries_;
    /** Deleted keys by the revision of the update that contained the removal. */
    std::multimap<store::Revision, std::string> removals_;
    /** removals_ holds all removals after this revision; earlier ones have been dropped. */
    store::Revision removalsCompleteAfter_;
    store::Revision revision_;
    TimePoint currentAt_ {};
};

} // namespace banyancroft::gateway
