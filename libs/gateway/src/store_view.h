#pragma once

#include "base/time.h"
#include "store/store.h"

#include <map>
#include <optional>
#include <span>
#include <string>

namespace banyancroft::gateway {

/** Content of the store, or the part of it that changed, with how old it is. */
struct ViewUpdate {
    /** True: all keys. False: keys that changed; deleted ones have revision zero. */
    bool isFull = false;
    store::Listing content;
    /** Latest time at which the content is known to have been the store's newest. */
    TimePoint currentAt {};
    /** When the store last answered again after an outage; the least time point when it never did. */
    TimePoint storeRecoveredAt {};
};

/**
 * All keys of the store as this VM last learnt of them, kept so that other VMs can be told of them. Owned
 * by one thread; does no I/O.
 */
class StoreView {
public:
    /**
     * Takes over an update that answers a question for the changes after `baseRevision`; for a full update
     * that is zero.
     * @return false when the view has moved on since the question, or the update is older than the view
     */
    bool apply(const ViewUpdate& update, store::Revision baseRevision);
    /**
     * What another VM lacks that knows the store up to `knownRevision`: the changes since, or everything when
     * it knows nothing or the removals since are no longer remembered.
     */
    ViewUpdate since(store::Revision knownRevision) const;

    bool isEmpty() const { return !revision_; }
    store::Revision revision() const { return revision_; }
    TimePoint currentAt() const { return currentAt_; }
    TimePoint storeRecoveredAt() const { return storeRecoveredAt_; }

private:
    struct Entry {
        store::KeyValue item;
        /** Revision up to which the store had been read when the change was seen. */
        store::Revision seenAtRevision;
    };

    void pruneRemovals();

    std::map<std::string, Entry> entries_;
    /** Deleted keys by the revision at which the removal was seen. */
    std::multimap<store::Revision, std::string> removals_;
    /** Removals up to this revision are no longer remembered. */
    store::Revision removalsCompleteAfter_;
    store::Revision revision_;
    TimePoint currentAt_ {};
    TimePoint storeRecoveredAt_ {};
};

} // namespace banyancroft::gateway
