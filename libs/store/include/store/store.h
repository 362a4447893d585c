#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "store/era.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace banyancroft::store {

/** Revision of the store at which a key was last written; zero means "the key does not exist". */
using Revision = NumberId<struct RevisionTag>;
using LeaseId = NumberId<struct LeaseTag>;

struct KeyValue {
    std::string key;
    std::string value;
    Revision modified;
    /** Lease that the key is attached to; zero for none. */
    LeaseId lease;
};

struct Listing {
    std::vector<KeyValue> entries;
    /** Revision of the store at which the listing was taken. */
    Revision revision;
    /** Era of the store in which the revisions were given; 0 for stores without eras. */
    StoreEra era {};
};

/** Result of a compare-and-swap that the store answered. */
struct SwapResult {
    /** False: the key was not at the expected revision and nothing was written. */
    bool swapped = false;
    /** Revision of the store after the call; zero after a failed swap if the store does not tell it. */
    Revision revision;
    /** The key as it was found when the swap failed; empty when it did not exist. */
    std::optional<KeyValue> current;
};

struct Swap {
    std::string key;
    /** Expected revision of the key; zero: the key must not exist. */
    Revision expected;
    /** New value; empty optional deletes the key. */
    std::optional<std::string> value;
    /** Lease to attach the key to; zero for none. */
    LeaseId lease;
};

struct LeaseGrant {
    LeaseId lease;
    Duration timeToLive {};
    /** Era of the store in which the lease was granted; a later era may give its number to another client. */
    StoreEra era {};
    /** Revision of the store, which may be older than that of earlier answers; zero if unknown. */
    Revision revision {};
};

/** Receives either a result or an empty optional and the reason of the failure. */
template <typename Result> using Callback = std::function<void(std::optional<Result>, const Error&)>;

/**
 * Asynchronous client of the platform's key-value service.
 *
 * All calls return at once; the callback runs later on the thread that owns the store (the control
 * thread). Each call runs its callback exactly once, with ErrorKind::TimedOut or ErrorKind::Unavailable
 * when no answer arrived. A write that ended with one of these errors may have taken effect, so the caller
 * reads the key back. The service guarantees linearizable reads and swaps.
 */
class Store {
public:
    virtual ~Store() = default;

    /** Reads one key; a missing key gives an empty listing. */
    virtual void get(std::string_view key, Callback<Listing> callback) = 0;
    /** Reads all keys with the prefix, ordered by key. */
    virtual void list(std::string_view prefix, Callback<Listing> callback) = 0;
    virtual void compareAndSwap(Swap swap, Callback<SwapResult> callback) = 0;

    /** Grants a lease. @param timeToLive rounded up to whole seconds by the service */
    virtual void grantLease(Duration timeToLive, Callback<LeaseGrant> callback) = 0;
    /** Renews a lease; ErrorKind::NotFound when it has lapsed. */
    virtual void renewLease(LeaseId lease, Callback<LeaseGrant> callback) = 0;
    /** Ends a lease and deletes the keys attached to it. */
    virtual void revokeLease(LeaseId lease, Callback<bool> callback) = 0;

    /**
     * Watches the keys with a prefix from after the given revision. Calls onChange with each batch of
     * changes (deleted keys have an empty value and revision zero) and onEnd once when the watch breaks;
     * the caller lists again and starts a new watch. At most one watch per prefix.
     */
    virtual void watch(std::string_view prefix, Revision after,
        std::function<void(std::span<const KeyValue>)> onChange, std::function<void(const Error&)> onEnd)
        = 0;
};

} // namespace banyancroft::store
