#pragma once

#include "base/time.h"

namespace banyancroft::handover {

/** Limits of one hand-over. */
struct HandoverRules {
    bool idempotent = false;
    /** Time within which a dispatcher has to accept the request. */
    Duration offerTimeout {};
    /** Number of dispatchers that are asked before the VM sends the request itself. */
    unsigned maxOffers = 2;
    /** Silence of the dispatcher after which a request that began there is given up if it is idempotent. */
    Duration silenceLimit {};
    /** Latest time of an answer. */
    TimePoint deadline {};
};

enum class HandoverStepKind {
    /** Offer the request to another dispatcher; report offered() or noDispatcher(). */
    Offer,
    /** Tell the dispatcher that the offer is withdrawn. */
    Withdraw,
    /** No dispatcher has begun the request: send it to the replicas from this VM. */
    SendDirectly,
    /** Give up; the request may have run. */
    Fail,
    /** Nothing to do before `until` or the next event. */
    Wait,
};

struct HandoverStep {
    HandoverStepKind kind = HandoverStepKind::Wait;
    TimePoint until {};
};

/**
 * State machine of one request that an ingress VM hands to a dispatcher.
 *
 * Handles dispatchers that are suspended, cut off, stopping, overloaded or restarted: until the request
 * begins, it moves to another dispatcher or back to this VM without having run. Once it has begun, only the
 * dispatcher answers it, since the sends of a second one could exceed the limits on repeats. An idempotent
 * request whose dispatcher falls silent fails early, while the caller still has time to retry.
 *
 * The owner reports each event and calls next() until it returns another kind than Offer and Withdraw. Does
 * no I/O.
 */
class HandoverPlan {
public:
    explicit HandoverPlan(const HandoverRules& rules)
        : rules_(rules)
    {
    }

    HandoverStep next(TimePoint now);

    void offered(TimePoint now);
    void noDispatcher() { offersLeft_ = false; }
    /** @return true if the request may begin at the dispatcher; false if the offer is withdrawn or has timed
     * out */
    bool accepted(TimePoint now);
    /** The dispatcher has not run the request and will not run it, also if it was told to begin. */
    void declined();
    /** The connection to the dispatcher was lost. */
    void connectionLost();
    /** @param heardAt time of the last message of the dispatcher */
    void heard(TimePoint heardAt) { lastHeardAt_ = heardAt; }

    bool hasBegun() const { return state_ == State::Begun; }
    unsigned offers() const { return offers_; }
    TimePoint offeredAt() const { return offeredAt_; }

private:
    enum class State {
        Unplaced,
        Offered,
        Begun,
        Lost,
    };

    const HandoverRules rules_;
    State state_ = State::Unplaced;
    unsigned offers_ = 0;
    bool offersLeft_ = true;
    TimePoint offeredAt_ {};
    TimePoint lastHeardAt_ {};
};

} // namespace banyancroft::handover
