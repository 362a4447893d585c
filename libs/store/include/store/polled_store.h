#pragma once

#include "store/store.h"

namespace banyancroft::store {

/**
 * Asynchronous client of a key-value service whose changes are read by long polling instead of a stream.
 *
 * As with Store, all calls return at once, and each runs its callback exactly once on the owner's thread,
 * with ErrorKind::TimedOut or ErrorKind::Unavailable when no answer arrived. A write that ended with one of
 * these errors may have taken effect, or may take effect seconds later.
 */
class PolledStore {
public:
    virtual ~PolledStore() = default;

    /** Reads all keys with the prefix. The listing's revision is that of its oldest page. */
    virtual void list(std::string_view prefix, Callback<Listing> callback) = 0;
    /**
     * Waits for changes of the keys with the prefix. Deleted keys have an empty value and revision zero.
     * The callback gets ErrorKind::NotFound when the store no longer has the changes after the
     * revision; the caller lists the keys again.
     * @param wait longest time that the store waits for a change
     */
    virtual void pollChanges(
        std::string_view prefix, Revision after, Duration wait, Callback<Listing> callback)
        = 0;
    /** Writes a key unconditionally. @param lease zero for none */
    virtual void put(std::string_view key, std::string value, LeaseId lease, Callback<Revision> callback) = 0;
    /**
     * Writes a key only if its revision is `expectedRevision`; zero means that the key must not exist. The
     * callback gets ErrorKind::Conflict if the revision differs and nothing was written. A write that was
     * repeated after TimedOut or Unavailable may conflict with its own first attempt, so the caller reads the
     * key after a conflict.
     * @param lease zero for none
     */
    virtual void putIf(std::string_view key, std::string value, LeaseId lease, Revision expectedRevision,
        Callback<Revision> callback)
        = 0;
    virtual void grantLease(Duration timeToLive, Callback<LeaseGrant> callback) = 0;
    /** Renews a lease; ErrorKind::NotFound when it has lapsed. */
    virtual void renewLease(LeaseId lease, Callback<LeaseGrant> callback) = 0;
    /** Ends a lease and deletes the keys attached to it. */
    virtual void revokeLease(LeaseId lease, Callback<bool> callback) = 0;
};

} // namespace banyancroft::store
