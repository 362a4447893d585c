#pragma once

#include "base/time.h"

#include <optional>

namespace banyancroft::gateway {

/** Intervals at which a VM polls its sources of changes. */
struct SyncIntervals {
    /** Polling interval of the VM that reads the store for its availability zone. */
    Duration storePoll {};
    /** Minimum interval between two requests to peers. */
    Duration peerPoll {};
    /** View age from which a VM no longer relies on its usual source alone. */
    Duration staleAfter {};
    /** Time after the start in which a VM that others do not depend on lists the store only if no peer
     * responds. */
    Duration peersFirstAfterStart {};
    /** The same if a peer responds but has no view yet either. */
    Duration respondingPeersFirstAfterStart {};
};

/** Fractions of the maximum propagation delay: the polling interval of the VM that reads the store, that of
 * the VMs that poll it, and the view age at which they no longer rely on it. The rest allows for one call
 * that gets no response. */
constexpr double storePollFraction = 0.3;
constexpr double peerPollFraction = 0.1;
constexpr double staleFraction = 0.65;
/** Time until all VMs see a change, as a fraction of the maximum propagation delay: one poll of the store and
 * one of its reader. */
constexpr double visibilityFraction = storePollFraction + peerPollFraction;

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
    /** Other VMs depend on this one: it dispatches, or they ask it when they start. */
    bool isSource = true;
    /** Time since the start of the process. */
    Duration sinceStart {};
    /** Time since the last response of a peer, whether or not it had news; empty if there was none. */
    std::optional<Duration> sincePeerResponse;
};

/** View age, in multiples of staleAfter, at which a VM polls the store although peers respond: it may reach
 * the store while none of them does. */
constexpr int staleFactorDespitePeers = 3;

/**
 * Whether the VM polls the store now.
 *
 * Calls to the store are limited and priced, and many VMs need its changes. Therefore one VM of each
 * availability zone reads the store and the others poll that VM. A VM with a stale view polls other VMs and,
 * if others depend on it or no other VM responds, the store itself. The same holds for a VM that has just
 * started, so that neither an outage of the store nor a restart of all VMs leads to calls of each VM.
 */
inline bool shouldPollStore(const SyncInputs& inputs, const SyncIntervals& intervals)
{
    if (!inputs.hasView) {
        return inputs.isSource
            || inputs.sinceStart >= (inputs.sincePeerResponse ? intervals.respondingPeersFirstAfterStart
                                                              : intervals.peersFirstAfterStart);
    }
    if (inputs.viewAge >= intervals.staleAfter) {
        const bool peersRespond
            = inputs.sincePeerResponse && *inputs.sincePeerResponse < intervals.staleAfter;
        return inputs.isSource || !peersRespond
            || inputs.viewAge >= staleFactorDespitePeers * intervals.staleAfter;
    }
    return inputs.isReader && inputs.sinceStoreResponse >= intervals.storePoll;
}

/** What a VM knows of the store's availability when it learns that the store answers. */
struct OutageInputs {
    /** Latest time at which the store was known to answer before, to this VM or to one that it polls. */
    TimePoint reachedBefore {};
    /** Latest time at which it is known to answer now. */
    TimePoint reachedNow {};
    /** Time of this VM's last call without an answer; TimePoint {} if there was none. */
    TimePoint lastFailedCallAt {};
};

/** Shorter outages of the store do not make registrations lapse. */
constexpr Duration minOutage = std::chrono::seconds(1);

/**
 * Whether the store was unavailable, so that registrations of live replicas may have lapsed.
 *
 * A VM whose calls fail cannot tell an outage of the store from a broken path of its own. It takes failures
 * for an outage only if no VM that it polls reached the store meanwhile, and it does not take the word of
 * another VM for it: a VM with a working path has to apply removals in time, whoever else is cut off.
 */
inline bool wasStoreUnavailable(const OutageInputs& inputs)
{
    return inputs.lastFailedCallAt > inputs.reachedBefore
        && inputs.reachedNow - inputs.reachedBefore >= minOutage;
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
    // Without a view the VM serves nobody, so it tries one peer after the other.
    if (inputs.hasView && inputs.sincePeerRequest < intervals.peerPoll)
        return PeerChoice::None;
    if (!inputs.hasView || inputs.viewAge >= intervals.staleAfter)
        return PeerChoice::Any;
    return inputs.isReader ? PeerChoice::None : PeerChoice::Reader;
}

} // namespace banyancroft::gateway
