#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace banyancroft::membership {

/**
 * Promises of one daemon: those that it gave and those that it holds.
 *
 * A promise says "I acknowledge no view after `view`". The giver keeps it for the promise length plus the
 * longest request deadline, since the holder may send until its last moment. A daemon that restarted does
 * not know what it promised and keeps one promise from its start.
 */
class PromiseTracker {
public:
    /** @param margin longest request deadline */
    PromiseTracker(Duration length, Duration margin, TimePoint started);

    /** Records a promise given at `now`. The caller has made sure that it acknowledged nothing after `view`.
     */
    void give(ViewNumber view, TimePoint now);
    /** False while a given promise, or the start of the daemon, forbids the acknowledgement. */
    bool mayAcknowledge(ViewNumber view, TimePoint now) const;

    /** A request for a promise leaves now; the promise will count from this time. */
    std::uint64_t ask(TimePoint now);
    /** Stores the promise that answers request `number`; one that answers nothing is ignored. */
    void receive(const VmId& from, ViewNumber view, std::uint64_t number, Duration duration);
    /** Until when all of `vms` promise to acknowledge no view after `view`; the epoch when one does not. */
    TimePoint heldUntil(std::span<const VmId> vms, ViewNumber view) const;

    /** Forgets what has ended. */
    void expire(TimePoint now);

private:
    struct Given {
        ViewNumber view;
        TimePoint until;
    };
    struct Held {
        ViewNumber view;
        TimePoint until;
    };

    Duration length_;
    Duration margin_;
    TimePoint quietUntil_;
    std::vector<Given> given_;
    std::map<std::uint64_t, TimePoint> asked_;
    std::map<VmId, Held> held_;
    std::uint64_t lastRequest_ = 0;
};

} // namespace banyancroft::membership
