#pragma once

#include "base/time.h"

namespace banyancroft::gateway {

/** Intervals at which a VM polls its sources of changes. */
struct SyncIntervals {
    /** Polling interval of the VM that reads the store for its availability zone. */
    Duration storePoll {};
    /** Minimum interval between two requests to peers. */
    Duration peerPoll {};
    /** View age from which a VM no longer relies on its usual source alone. */
    Duration staleAfter {};
};

/** Inputs of the choice of a source. */
struct SyncInputs {
    bool hasView = false;
    /** Time since the view was last known to match the store. */
    Duration viewAge {};
    /** This VM reads the store for its availability zone. */
    bool isReader = false;
    /** Time since the last response of the store. */
    Duration sinceStoreResponse {};
    /** Time since the last request to a peer. */
    Duration sincePeerRequest {};
};

/**
 * Whether the VM polls the store now.
 *
 * Calls to the store are limited and priced, and many VMs need its changes. Therefore one VM of each
 * availability zone reads the store and the others poll that VM. A VM with a stale view polls the store
 * itself and, in case the store refuses it, other VMs as well.
 */
inline bool shouldPollStore(const SyncInputs& inputs, const SyncIntervals& intervals)
{
    if (!inputs.hasView || inputs.viewAge >= intervals.staleAfter)
        return true;
    return inputs.isReader && inputs.sinceStoreResponse >= intervals.storePoll;
}

/** The peer that a VM polls for changes. */
enum class PeerChoice {
    None,
    /** The VM that reads the store for the availability zone. */
    Reader,
    /** Any other VM. */
    Any,
};

/** Chooses the peer to poll now; None when none is due. */
inline PeerChoice choosePeer(const SyncInputs& inputs, const SyncIntervals& intervals)
{
    if (inputs.sincePeerRequest < intervals.peerPoll)
        return PeerChoice::None;
    if (!inputs.hasView || inputs.viewAge >= intervals.staleAfter)
        return PeerChoice::Any;
    return inputs.isReader ? PeerChoice::None : PeerChoice::Reader;
}

} // namespace banyancroft::gateway
