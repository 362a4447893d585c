#include "quota/credit_ledger.h"

#include <algorithm>

namespace banyancroft::quota {

namespace {

/** Callers are not told to stay away for longer; by then the limit may have changed or others may have given
 * up. */
constexpr Duration maxRetryAfter = std::chrono::seconds(2);
/** An idle bucket is full again after this time at the latest, unless its burst exceeds a minute of its rate.
 */
constexpr Duration idleTime = std::chrono::minutes(1);

/** A stand-in that was not asked for this long may have been replaced by the owner meanwhile. */
constexpr Duration maxStandInPause = std::chrono::seconds(1);

/** The share of a VM that has not asked for this long may be in use elsewhere. */
constexpr Duration maxAskerPause = std::chrono::seconds(1);

/** Part of the tolerance that the requests which VMs may use on their own may reach. */
constexpr double maxBurstFraction = 0.5;

/** Fraction of the burst that late requests leave to others. */
constexpr double lateReserve = 0.25;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

CreditLedger::Account& CreditLedger::account(
    const CustomerId& customer, const RateLimit& limit, std::optional<TimePoint> ownedFrom, TimePoint now)
{
    const double starting = startingCredit(limit, bounds_);
    const auto found = accounts_.find(customer);
    if (found == accounts_.end()) {
        // Credit that has accrued since this VM became the owner; a stand-in has just begun.
        Account account { TokenBucket(starting, std::min(ownedFrom.value_or(now), now)), now, now,
            ownedFrom.has_value(), {} };
        return accounts_.emplace(customer, std::move(account)).first->second;
    }
    auto& known = found->second;
    // Another VM held the credit meanwhile. What is left does not grow, so that changes to and fro add
    // nothing.
    if (known.isOwned != ownedFrom.has_value() || (!known.isOwned && now - known.usedAt >= maxStandInPause))
        known.bucket = TokenBucket(std::min(known.bucket.tokens(), starting), now);
    known.isOwned = ownedFrom.has_value();
    return known;
}

CreditResult CreditLedger::take(const CreditQuery& query, const RateLimit& limit, const OwnerSet& owners,
    const Reach& reach, TimePoint now)
{
    const auto& customer = query.customer;
    const auto grantsFrom = owners.grantsFrom(customer);
    // Others may take a newcomer for the owner. An asker uses its share nowhere else meanwhile.
    const bool isPool = !grantsFrom && owners.isNewcomer(now);
    if (!grantsFrom) {
        const auto ranked = owners.ranked(customer);
        const auto own = std::find(ranked.begin(), ranked.end(), query.holder);
        const bool standsIn = own != ranked.end() && std::none_of(ranked.begin(), own, reach.isReachable);
        if (!standsIn && !(isPool && query.asker != query.holder))
            return {};
    }
    const bool isEarly = isPool || now < grantsFrom.value_or(owners.settledFrom(customer));
    auto& held = account(customer, limit, grantsFrom, now);
    double fraction = std::clamp(reach.fraction, 0.0, 1.0);
    if (isEarly) {
        fraction = std::min(fraction, addEarlyAsker(held, query, limit, reach.sharers, now));
    } else {
        held.earlyAskers.clear();
    }
    const double perSecond = limit.perSecond * fraction;
    held.bucket.refill(perSecond, limit.capacity(), now);
    held.usedAt = now;
    const double reserve = query.isLate ? lateReserve * limit.capacity() : 0;
    if (held.bucket.tryTake(reserve))
        return { CreditAnswer::Granted, {} };
    return { CreditAnswer::OverLimit, nextReturn(held, perSecond, now) };
}

double CreditLedger::addEarlyAsker(
    Account& account, const CreditQuery& query, const RateLimit& limit, std::size_t sharers, TimePoint now)
{
    const auto all = static_cast<double>(std::max<std::size_t>(sharers, 1));
    auto& askers = account.earlyAskers;
    if (query.hasShare && askers.insert_or_assign(query.asker, now).second
        && static_cast<double>(askers.size()) > startingCredit(limit, bounds_)
        && all <= maxBurstFraction * tolerance(limit, bounds_))
        account.bucket.giveBack();
    const auto active = std::count_if(askers.begin(), askers.end(),
        [now](const auto& entry) { return now - entry.second < maxAskerPause; });
    return static_cast<double>(active) / all;
}

Duration CreditLedger::nextReturn(Account& account, double perSecond, TimePoint now) const
{
    if (perSecond <= 0)
        return maxRetryAfter;
    // Each refused caller gets the time of a later token, so that they do not return together.
    const auto firstToken = now + fromSeconds((1 - account.bucket.tokens()) / perSecond);
    const auto latest = now + maxRetryAfter;
    const auto at = std::min(std::max(firstToken, account.nextReturn), latest);
    account.nextReturn = at + fromSeconds(1 / perSecond);
    return at - now;
}

void CreditLedger::giveBack(const CustomerId& customer)
{
    const auto found = accounts_.find(customer);
    if (found != accounts_.end())
        found->second.bucket.giveBack();
}

void CreditLedger::removeUnused(const OwnerSet& owners, TimePoint now)
{
    std::erase_if(accounts_, [&](const auto& entry) {
        const bool wasReplaced = entry.second.isOwned && !owners.grantsFrom(entry.first);
        return now - entry.second.usedAt >= (wasReplaced ? bounds_.window : idleTime);
    });
}

} // namespace banyancroft::quota
