#include "credit_gate.h"

#include "sync_sources.h"
#include "telemetry/log.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace banyancroft::gateway {

namespace {

using quota::CreditAnswer;
using quota::CreditResult;

/** Time for the owner to answer; several round trips between availability zones. */
constexpr Duration answerTimeout = std::chrono::milliseconds(40);
/** A dispatcher that has been silent for this long is not reachable. */
constexpr Duration maxSilence = std::chrono::milliseconds(500);
/** Silence after which a sign of life is asked for. */
constexpr Duration queryInterval = std::chrono::milliseconds(200);
/** A VM that has not run for this long may have been replaced as an owner; well below the time to live of its
 * registration. */
constexpr Duration maxTickDelay = std::chrono::seconds(1);
/** A VM that does not dispatch keeps the links for this long after its last question. */
constexpr Duration linkIdleTime = std::chrono::seconds(5);
constexpr Duration cleanInterval = std::chrono::seconds(10);

quota::RateLimit limitOf(const routing::Customer& customer)
{
    return { customer.requestsPerSecond, customer.burst };
}

CreditResult toResult(const handover::CreditReply& reply)
{
    switch (reply.decision) {
    case handover::CreditDecision::Granted:
        return { CreditAnswer::Granted, {} };
    case handover::CreditDecision::OverLimit:
        return { CreditAnswer::OverLimit, reply.retryAfter };
    case handover::CreditDecision::NotOwner:
        break;
    }
    return {};
}

handover::CreditDecision toDecision(CreditAnswer answer)
{
    switch (answer) {
    case CreditAnswer::Granted:
        return handover::CreditDecision::Granted;
    case CreditAnswer::OverLimit:
        return handover::CreditDecision::OverLimit;
    case CreditAnswer::NotOwner:
        break;
    }
    return handover::CreditDecision::NotOwner;
}

} // namespace

/** A question to the owner that is not answered yet. */
struct CreditGate::Question {
    Question(boost::asio::io_context& ioContext, Handler decided)
        : timer(ioContext)
        , handler(std::move(decided))
    {
    }

    boost::asio::steady_timer timer;
    Handler handler;
    std::uint64_t number = 0;
};

CreditGate::CreditGate(TrafficManager& traffic, const MemberTracker& members, Hooks hooks)
    : traffic_(traffic)
    , members_(members)
    , hooks_(std::move(hooks))
    , viewSkew_(scaled(traffic.settings().maxPropagationDelay, visibilityFraction))
    , owners_(traffic.settings().vm, viewSkew_)
    , ledger_(traffic.settings().customerLimits)
    , fallback_(traffic.settings().customerLimits)
    , standing_(traffic.settings().customerLimits)
    , links_(traffic.ioContext(), traffic.memory(), [](const handover::UpstreamLeaving&) {})
{
}

void CreditGate::request(const routing::Customer& customer, bool isLate, TimePoint now, Handler handler)
{
    if (!limitOf(customer).isLimited())
        return handler({ CreditAnswer::Granted, {} });
    const bool hadLinks = hooks_.isDispatching() || now - lastRequestAt_ < linkIdleTime;
    lastRequestAt_ = now;
    if (!hadLinks)
        updateLinks(now);
    const auto holder = reachableHolder(customer.id, now);
    if (!holder)
        return handler(takeShare(customer.id, limitOf(customer), now));
    if (*holder != traffic_.settings().vm) {
        const auto link = links_.find(*holder);
        if (!standing_.tryTake(
                customer.id, limitOf(customer), traffic_.dispatchers(), traffic_.settings().vm, now))
            return ask(link, customer, isLate, std::move(handler));
        ask(link, customer, isLate, [this, id = customer.id](const CreditResult& credit) {
            if (credit.answer == CreditAnswer::Granted)
                standing_.restore(id);
        });
        return handler({ CreditAnswer::Granted, {} });
    }
    const auto result = takeHeld(customer, traffic_.settings().vm, isLate, now);
    handler(
        result.answer == CreditAnswer::NotOwner ? takeShare(customer.id, limitOf(customer), now) : result);
}

bool CreditGate::isReachable(const VmId& vm, TimePoint now) const
{
    const auto link = links_.find(vm);
    return link && link->isConnected() && now - link->lastReceivedAt() < maxSilence;
}

std::optional<VmId> CreditGate::reachableHolder(const CustomerId& customer, TimePoint now) const
{
    const auto ranked = owners_.ranked(customer);
    const auto found = std::find_if(ranked.begin(), ranked.end(),
        [&](const VmId& vm) { return vm == traffic_.settings().vm || isReachable(vm, now); });
    return found == ranked.end() ? std::nullopt : std::optional(*found);
}

void CreditGate::ask(const std::shared_ptr<DispatcherLink>& owner, const routing::Customer& customer,
    bool isLate, Handler handler)
{
    traffic_.metrics().creditQuestions.add();
    const auto question = std::make_shared<Question>(traffic_.ioContext(), std::move(handler));
    const auto decide
        = [this, question, id = customer.id, limit = limitOf(customer)](const CreditResult& result) {
              question->timer.cancel();
              const auto decided = std::exchange(question->handler, nullptr);
              if (decided)
                  decided(result.answer == CreditAnswer::NotOwner ? takeShare(id, limit, BootClock::now())
                                                                  : result);
          };
    question->number = owner->askCredit({ 0, customer.id, traffic_.settings().vm, isLate },
        [decide](const std::optional<handover::CreditReply>& reply) {
            decide(reply ? toResult(*reply) : CreditResult {});
        });
    question->timer.expires_after(answerTimeout);
    question->timer.async_wait([decide, question, owner](const boost::system::error_code& failure) {
        if (failure)
            return;
        // A late grant is left unused: this VM takes the credit from its own share.
        owner->forgetCredit(question->number);
        decide({});
    });
}

CreditResult CreditGate::takeHeld(
    const routing::Customer& customer, const VmId& asker, bool isLate, TimePoint now)
{
    if (!mayHoldCredit(now) || isIsolated(now))
        return {};
    const quota::CreditLedger::Reach reach { reachableFraction(now), traffic_.dispatchers().size(),
        [this, now](const VmId& vm) { return isReachable(vm, now); } };
    const bool hasShare = traffic_.dispatchers().contains(asker);
    return ledger_.take({ traffic_.settings().vm, asker, customer.id, isLate, hasShare }, limitOf(customer),
        owners_, reach, now);
}

bool CreditGate::mayHoldCredit(TimePoint now) const
{
    // The next owner has only the shares of those VMs that ask it for as long.
    return !leftAt_ || now - *leftAt_ < viewSkew_;
}

CreditResult CreditGate::takeShare(const CustomerId& customer, const quota::RateLimit& limit, TimePoint now)
{
    if (isIsolated(now))
        return {};
    traffic_.metrics().creditFallbacks.add();
    return fallback_.take(customer, limit, traffic_.dispatchers(), traffic_.settings().vm, now);
}

void CreditGate::giveBack(const CustomerId& customer)
{
    const auto holder = reachableHolder(customer, BootClock::now());
    if (holder == traffic_.settings().vm)
        return ledger_.giveBack(customer);
    if (const auto link = holder ? links_.find(*holder) : nullptr)
        link->returnCredit(customer);
}

handover::CreditReply CreditGate::answer(const handover::CreditRequest& request, TimePoint now)
{
    const auto routes = traffic_.configuration().current();
    const auto* customer = routes ? routes->customer(request.customer) : nullptr;
    if (!customer)
        return { request.number, handover::CreditDecision::NotOwner, {} };
    if (!limitOf(*customer).isLimited())
        return { request.number, handover::CreditDecision::Granted, {} };
    const auto result = takeHeld(*customer, request.asker, request.isLate, now);
    return { request.number, toDecision(result.answer), result.retryAfter };
}

double CreditGate::reachableFraction(TimePoint now) const
{
    const auto& links = links_.links();
    const auto reachable = std::count_if(links.begin(), links.end(),
        [&](const auto& link) { return isReachable(link->dispatcher().vm, now); });
    const auto known = std::max<std::size_t>(traffic_.dispatchers().size(), 1);
    return static_cast<double>(reachable + 1) / static_cast<double>(known);
}

bool CreditGate::isIsolated(TimePoint now) const
{
    return quota::isIsolated(now - hooks_.viewCurrentAt(), reachableFraction(now));
}

bool CreditGate::hasLimits() const
{
    const auto routes = traffic_.configuration().current();
    return routes && routes->hasLimitedCustomers();
}

void CreditGate::tick(TimePoint now)
{
    const auto previous = std::exchange(lastTickAt_, now);
    if (previous != TimePoint {} && now - previous >= maxTickDelay) {
        owners_.reset();
        ledger_.clear();
        resumedAt_ = now;
    }
    ledger_.setBounds(traffic_.settings().customerLimits);
    fallback_.setBounds(traffic_.settings().customerLimits);
    standing_.setBounds(traffic_.settings().customerLimits);
    updateOwners(now);
    updateLinks(now);
    if (now - cleanedAt_ < cleanInterval)
        return;
    cleanedAt_ = now;
    ledger_.removeUnused(owners_, now);
    fallback_.removeUnused(now);
    standing_.removeExpired(now);
}

void CreditGate::updateOwners(TimePoint now)
{
    const bool holdsCredit = hooks_.isDispatching() && !hooks_.isStopping();
    if (holdsCredit) {
        leftAt_.reset();
    } else if (!leftAt_) {
        leftAt_ = now;
    }
    // A VM that has left goes on as the owner for those that have not learnt of it yet.
    if (!holdsCredit && mayHoldCredit(now))
        return;
    if (isIsolated(now)) {
        owners_.reset();
        ledger_.clear();
        return;
    }
    if (const auto lapses = hooks_.registrationLapses(); std::exchange(knownLapses_, lapses) != lapses)
        owners_.registeredAgain();
    // Without a view from after a suspension, this VM does not know who owns what.
    if (hooks_.viewCurrentAt() > resumedAt_)
        owners_.update(members_.registeredDispatchers(), now);
}

void CreditGate::updateLinks(TimePoint now)
{
    const bool needsLinks = hasLimits() && (hooks_.isDispatching() || now - lastRequestAt_ < linkIdleTime);
    // If all registrations have lapsed, in an outage of the store, the last known dispatchers are still
    // there.
    if (!needsLinks || !members_.registeredDispatchers().empty())
        links_.setDispatchers(needsLinks ? members_.otherDispatchers() : std::vector<Dispatcher> {}, now);
    links_.tick(now);
    for (const auto& link : links_.links()) {
        if (link->isConnected() && now - link->lastReceivedAt() >= queryInterval)
            link->query();
    }
}

} // namespace banyancroft::gateway
