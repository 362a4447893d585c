#pragma once

#include "base/time.h"

namespace banyancroft::gateway {

/** How often a VM asks where it learns of changes. */
struct SyncIntervals {
    /** Pause of the VM that reads the store for its availability zone. */
    Duration storePoll {};
    /** Pause between two questions to another VM. */
    Duration peerPoll {};
    /** Age of the view at which a VM no longer relies on the one source that it asks usually. */
    Duration staleAfter {};
};

/** What decides where a VM learns of changes. */
struct SyncInputs {
    bool hasView = false;
    /** Time since the view was known to be the store's newest. */
    Duration viewAge {};
    /** This VM reads the store for its availability zone. */
    bool isReader = false;
    /** Time since the last answer of the store, and since the last question to a peer. */
    Duration sinceStoreResponse {};
    Duration sincePeerRequest {};
};

/**
 * Where a VM learns of changes at the store.
 *
 * Answers the load of many VMs at a store whose calls are limited and priced: one VM of each availability
 * zone reads the store and the others ask that one. A VM whose view has become old asks the store itself
 * and, in case the store refuses it, other VMs as well.
 */
inline bool shouldPollStore(const SyncInputs& inputs, const SyncIntervals& intervals)
{
    if (!inputs.hasView || inputs.viewAge >= intervals.staleAfter)
        return true;
    return inputs.isReader && inputs.sinceStoreResponse >= intervals.storePoll;
}

enum class PeerChoice {
    None,
    /** The VM that reads the store for the availability zone. */
    Reader,
    /** Any other VM. */
    Any,
};

inline PeerChoice choosePeer(const SyncInputs& inputs, const SyncIntervals& intervals)
{
    if (inputs.sincePeerRequest < intervals.peerPoll)
        return PeerChoice::None;
    if (!inputs.hasView || inputs.viewAge >= intervals.staleAfter)
        return PeerChoice::Any;
    return inputs.isReader ? PeerChoice::None : PeerChoice::Reader;
}

} // namespace banyancroft::gateway
