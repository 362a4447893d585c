#include "handover/handover_plan.h"

#include <algorithm>

namespace banyancroft::handover {

HandoverStep HandoverPlan::next(TimePoint now)
{
    switch (state_) {
    case State::Unplaced:
        return { offersLeft_ && offers_ < rules_.maxOffers ? HandoverStepKind::Offer
                                                           : HandoverStepKind::SendDirectly,
            {} };
    case State::Offered:
        if (now < offeredAt_ + rules_.offerTimeout)
            return { HandoverStepKind::Wait, offeredAt_ + rules_.offerTimeout };
        state_ = State::Unplaced;
        return { HandoverStepKind::Withdraw, {} };
    case State::Begun:
        break;
    case State::Lost:
        return { HandoverStepKind::Fail, {} };
    }
    const auto silentUntil = rules_.idempotent ? lastHeardAt_ + rules_.silenceLimit : TimePoint::max();
    const auto until = std::min(silentUntil, rules_.deadline);
    return { now < until ? HandoverStepKind::Wait : HandoverStepKind::Fail, until };
}

void HandoverPlan::offered(TimePoint now)
{
    state_ = State::Offered;
    offeredAt_ = now;
    ++offers_;
}

bool HandoverPlan::accepted(TimePoint now)
{
    if (state_ != State::Offered || now >= offeredAt_ + rules_.offerTimeout)
        return false;
    state_ = State::Begun;
    lastHeardAt_ = now;
    return true;
}

void HandoverPlan::declined()
{
    if (state_ == State::Offered || state_ == State::Begun)
        state_ = State::Unplaced;
}

void HandoverPlan::connectionLost()
{
    if (state_ == State::Offered)
        state_ = State::Unplaced;
    if (state_ == State::Begun)
        state_ = State::Lost;
}

} // namespace banyancroft::handover
