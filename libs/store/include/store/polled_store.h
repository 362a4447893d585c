#pragma once

#include "store/store.h"

namespace banyancroft::store {

/**
 * A key-value service whose changes are asked for, one call after the other, instead of streamed.
 *
 * As for Store, all calls return at once, and each runs its callback exactly once on the owner's thread,
 * with ErrorKind::TimedOut or ErrorKind::Unavailable when no answer came. A write that failed so may
 * have taken effect, or may take effect seconds later.
 */
class PolledStore {
public:
    virtual ~PolledStore() = default;

    /** Reads all keys with the prefix. The listing's revision is that of its oldest page. */
    virtual void list(std::string_view prefix, Callback<Listing> callback) = 0;
    /**
     * Waits for changes of the keys with the prefix. Deleted keys have an empty value and revision zero.
     * @param wait how long the store waits while there is no change
     * The callback gets ErrorKind::NotFound when the history after the revision is gone: list anew.
     */
    virtual void pollChanges(
        std::string_view prefix, Revision after, Duration wait, Callback<Listing> callback)
        = 0;
    /** Writes a key, whatever it held. @param lease zero for none */
    virtual void put(std::string_view key, std::string value, LeaseId lease, Callback<Revision> callback) = 0;
    virtual void grantLease(Duration timeToLive, Callback<LeaseGrant> callback) = 0;
    /** Renews a lease; ErrorKind::NotFound when it has lapsed. */
    virtual void renewLease(LeaseId lease, Callback<LeaseGrant> callback) = 0;
    /** Ends a lease and deletes the keys attached to it. */
    virtual void revokeLease(LeaseId lease, Callback<bool> callback) = 0;
};

} // namespace banyancroft::store
