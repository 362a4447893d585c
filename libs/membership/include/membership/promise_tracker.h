#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace banyancroft::membership {

/**
 * Tracks the promises that one daemon gave and those that it received from peers.
 *
 * A promise states that its giver acknowledges no view after `view`. The giver keeps it for the promise
 * length plus the longest request deadline, since the holder may send until the promise ends. A daemon that
 * restarts has lost its promises, so it acknowledges nothing for the same time after its start.
 */
class PromiseTracker {
public:
    /**
     * @param length how long a promise is valid for its holder
     * @param margin longest request deadline
     */
    PromiseTracker(Duration length, Duration margin, TimePoint started);

    /** Records a promise given at `now`. The caller must not have acknowledged a view after `view`. */
    void give(ViewNumber view, TimePoint now);
    /** False while a given promise, or the wait after the start, forbids acknowledging `view`. */
    bool mayAcknowledge(ViewNumber view, TimePoint now) const;

    /** Registers a request sent at `now`, from which the promise counts. @return the number of the request */
    std::uint64_t ask(TimePoint now);
    /** Stores the promise that answers request `number`; ignores it when no such request is outstanding. */
    void receive(const VmId& from, ViewNumber view, std::uint64_t number, Duration duration);
    /** End of the time for which all `vms` promise to acknowledge no view after `view`. Returns TimePoint {}
     * when a promise is missing. */
    TimePoint heldUntil(std::span<const VmId> vms, ViewNumber view) const;

    /** Removes promises and requests that have ended. */
    void expire(TimePoint now);

private:
    struct Given {
        ViewNumber view;
        TimePoint until;
    };
    struct Received {
        ViewNumber view;
        TimePoint until;
    };

    Duration length_;
    Duration margin_;
    TimePoint startupWaitUntil_;
    std::vector<Given> given_;
    std::map<std::uint64_t, TimePoint> outstanding_;
    std::map<VmId, Received> received_;
    std::uint64_t lastRequest_ = 0;
};

} // namespace banyancroft::membership
