#include "quota/credit_ledger.h"
#include "quota/fallback_credit.h"
#include "quota/owner_set.h"
#include "quota/standing_credit.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <vector>

using namespace banyancroft;
using namespace banyancroft::quota;
using namespace std::chrono_literals;

namespace {

const TimePoint start { 1000s };
const CustomerId customer { "archive" };
constexpr Duration viewSkew = 2s;
constexpr RateLimit limit { 20, 30 };
const LimitBounds bounds;

std::set<VmId> vmSet(int count)
{
    std::set<VmId> vms;
    for (int i = 0; i < count; ++i)
        vms.emplace("vm-" + std::to_string(i));
    return vms;
}

VmId ownerIn(const std::set<VmId>& vms)
{
    OwnerSet owners(VmId("observer"), viewSkew);
    owners.update(vms, start);
    return *owners.owner(customer);
}

/** Requests that get credit of a VM that has been the owner since `start`. */
int takeAll(CreditLedger& ledger, const RateLimit& current, TimePoint now, double reachable = 1)
{
    const auto vms = vmSet(3);
    OwnerSet owners(ownerIn(vms), viewSkew);
    owners.update(vms, start);
    int granted = 0;
    CreditLedger::Reach reach;
    reach.fraction = reachable;
    reach.sharers = 3;
    while (ledger.take({ ownerIn(vms), ownerIn(vms), customer }, current, owners, reach, now).answer
        == CreditAnswer::Granted)
        ++granted;
    return granted;
}

} // namespace

// Guards against callers that are refused within the limit because all of their load meets one VM.
BOOST_AUTO_TEST_CASE(ownerGrantsTheWholeBurstAtOnce)
{
    CreditLedger ledger(bounds);
    takeAll(ledger, limit, start);
    BOOST_TEST(takeAll(ledger, limit, start + 30s) == 30);
    BOOST_TEST(takeAll(ledger, limit, start + 31s) == 20);
    BOOST_TEST(takeAll(ledger, limit, start + 31s) == 0);
}

// Guards against a fresh burst for every customer when all VMs restart at once.
BOOST_AUTO_TEST_CASE(ownerWithUnknownPastStartsWithPartOfTheTolerance)
{
    CreditLedger ledger(bounds);
    const auto granted = takeAll(ledger, limit, start);
    BOOST_TEST(granted >= 1);
    BOOST_TEST(granted <= tolerance(limit, bounds) / 8);
}

// Guards against a limit that takes effect only once the credit of the former one is used up.
BOOST_AUTO_TEST_CASE(changedLimitTakesEffectAtOnce)
{
    CreditLedger ledger(bounds);
    takeAll(ledger, limit, start);
    BOOST_TEST(takeAll(ledger, { 1, 2 }, start + 30s) == 2);
    BOOST_TEST(takeAll(ledger, { 1, 0 }, start + 40s) == 1);
    BOOST_TEST(takeAll(ledger, { 100, 50 }, start + 41s) == 50);
}

// Guards against refused callers that all return at the same moment, before there is credit for them.
BOOST_AUTO_TEST_CASE(refusedCallersReturnWhenThereIsCredit)
{
    const auto vms = vmSet(1);
    OwnerSet owners(VmId("vm-0"), viewSkew);
    owners.update(vms, start);
    std::vector<Duration> waits;
    CreditLedger single(bounds);
    while (waits.size() < 10) {
        const auto result = single.take({ VmId("vm-0"), VmId("vm-0"), customer }, limit, owners, {}, start);
        if (result.answer == CreditAnswer::OverLimit)
            waits.push_back(result.retryAfter);
    }
    for (std::size_t i = 1; i < waits.size(); ++i)
        BOOST_TEST((waits[i] - waits[i - 1] >= 49ms));
    BOOST_TEST(
        (single.take({ VmId("vm-0"), VmId("vm-0"), customer }, limit, owners, {}, start + waits[0] + 1ms)
                .answer
            == CreditAnswer::Granted));
}

// A clock that goes back must neither create credit nor end the process.
BOOST_AUTO_TEST_CASE(earlierTimeAddsNoCredit)
{
    CreditLedger ledger(bounds);
    takeAll(ledger, limit, start + 10s);
    BOOST_TEST(takeAll(ledger, limit, start + 5s) == 0);
    BOOST_TEST(takeAll(ledger, limit, start + 10s) == 0);
}

// Guards against credit that is lost with requests that replicas have refused.
BOOST_AUTO_TEST_CASE(returnedCreditCanBeUsedOnce)
{
    CreditLedger ledger(bounds);
    takeAll(ledger, limit, start);
    ledger.giveBack(customer);
    BOOST_TEST(takeAll(ledger, limit, start) == 1);
}

// Guards against both sides of a cut using the whole limit.
BOOST_AUTO_TEST_CASE(sharesOfTwoSidesAddUpToTheLimit)
{
    CreditLedger ledger(bounds);
    takeAll(ledger, limit, start);
    const auto vms = vmSet(3);
    // The owner reaches itself only; the two others use their own shares. Requests arrive evenly.
    std::map<VmId, FallbackCredit> others;
    int granted = 0;
    const auto takeShares = [&](TimePoint now) {
        for (const auto& vm : vms) {
            auto& fallback = others.try_emplace(vm, bounds).first->second;
            while (vm != ownerIn(vms)
                && fallback.take(customer, limit, vms, vm, now).answer == CreditAnswer::Granted)
                ++granted;
        }
    };
    takeShares(start);
    granted = 0;
    for (auto now = start + 100ms; now <= start + 1s; now += 100ms) {
        takeShares(now);
        granted += takeAll(ledger, limit, now, 1.0 / 3);
    }
    BOOST_TEST(granted <= 20);
    BOOST_TEST(granted >= 17);
}

// Guards against a VM without a share, or a fleet of very many VMs, that exceeds the tolerance by single
// requests.
BOOST_AUTO_TEST_CASE(burstsOfAllFallbacksFitIntoTheTolerance)
{
    for (const int count : { 1, 3, 9, 60, 300 }) {
        const auto vms = vmSet(count);
        int granted = 0;
        for (const auto& vm : vms) {
            FallbackCredit fallback(bounds);
            while (fallback.take(customer, limit, vms, vm, start).answer == CreditAnswer::Granted)
                ++granted;
        }
        BOOST_TEST(granted <= tolerance(limit, bounds) / 2);
        BOOST_TEST(granted > 0);
    }
    FallbackCredit fallback(bounds);
    BOOST_TEST(
        (fallback.take(customer, limit, vmSet(3), VmId("ingress"), start).answer == CreditAnswer::NotOwner));
}

// Guards against two owners of one customer while VMs learn of a newcomer at different times.
BOOST_AUTO_TEST_CASE(newcomerAndFormerOwnerNeverGrantTogether)
{
    const auto before = vmSet(4);
    for (int i = 100; i < 200; ++i) {
        auto after = before;
        const VmId newcomer("vm-" + std::to_string(i));
        after.insert(newcomer);
        if (ownerIn(after) != newcomer)
            continue;
        // The former owner learns of the newcomer as late as possible.
        OwnerSet former(ownerIn(before), viewSkew);
        OwnerSet joining(newcomer, viewSkew);
        joining.update(before, start);
        former.update(before, start);
        bool newcomerGrants = false;
        for (auto now = start; now < start + 20s; now += 100ms) {
            joining.update(now >= start + 1s ? after : before, now);
            former.update(now >= start + 3s ? after : before, now);
            const auto grants = [&](const OwnerSet& owners) {
                const auto from = owners.grantsFrom(customer);
                return from && now >= *from;
            };
            BOOST_TEST(!(grants(former) && grants(joining)));
            newcomerGrants = newcomerGrants || grants(joining);
        }
        BOOST_TEST(newcomerGrants);
    }
}

// Guards against a VM that goes on granting credit after it was suspended, while another one has taken over.
BOOST_AUTO_TEST_CASE(suspendedVmOwnsNothingUntilItsViewIsCurrent)
{
    const auto vms = vmSet(3);
    OwnerSet owners(ownerIn(vms), viewSkew);
    owners.update(vms, start);
    BOOST_TEST(owners.grantsFrom(customer).has_value());
    owners.reset();
    BOOST_TEST(!owners.grantsFrom(customer));
    BOOST_TEST(!owners.owner(customer));
}

// Guards against a fleet without owners after an outage of the store in which all leases lapse.
BOOST_AUTO_TEST_CASE(renewedRegistrationIsNoNewcomer)
{
    const auto vms = vmSet(3);
    OwnerSet observer(VmId("observer"), viewSkew);
    OwnerSet owner(ownerIn(vms), viewSkew);
    for (auto* owners : { &observer, &owner }) {
        owners->update(vms, start);
        owners->update({}, start + 60s);
        BOOST_TEST(!owners->owner(customer));
        owners->update(vms, start + 61s);
    }
    BOOST_REQUIRE(observer.owner(customer));
    BOOST_TEST(*observer.owner(customer) == ownerIn(vms));
    // To itself it is a newcomer: the others may have seen it as removed for longer.
    BOOST_TEST(!owner.grantsFrom(customer));
    owner.update(vms, start + 61s + 2 * viewSkew);
    BOOST_TEST((*owner.grantsFrom(customer) == start + 61s + 3 * viewSkew));
}

// Guards against customers that are refused within their limit by all VMs that cannot reach the owner.
BOOST_AUTO_TEST_CASE(nextVmStandsInForAnOwnerThatCannotBeReached)
{
    const auto vms = vmSet(3);
    OwnerSet observer(VmId("observer"), viewSkew);
    observer.update(vms, start);
    const auto ranked = observer.ranked(customer);
    BOOST_REQUIRE(ranked.size() == 3U);
    BOOST_TEST(ranked[0] == ownerIn(vms));
    const auto take = [&](CreditLedger& ledger, const VmId& self, bool ownerIsReachable, TimePoint now) {
        OwnerSet owners(self, viewSkew);
        owners.update(vms, start);
        CreditLedger::Reach reach;
        reach.fraction = 2.0 / 3;
        reach.isReachable = [&](const VmId& vm) { return vm != ranked[0] || ownerIsReachable; };
        return ledger.take({ self, self, customer }, limit, owners, reach, now).answer;
    };
    CreditLedger second(bounds);
    CreditLedger third(bounds);
    BOOST_TEST((take(second, ranked[1], true, start + 10s) == CreditAnswer::NotOwner));
    BOOST_TEST((take(second, ranked[1], false, start + 10s) == CreditAnswer::Granted));
    BOOST_TEST((take(third, ranked[2], false, start + 10s) == CreditAnswer::NotOwner));
    // An owner that comes and goes must not renew the credit with which the stand-in starts.
    int granted = 0;
    for (auto now = start + 11s; now < start + 16s; now += 500ms) {
        take(second, ranked[1], true, now);
        while (take(second, ranked[1], false, now) == CreditAnswer::Granted)
            ++granted;
    }
    BOOST_TEST(granted <= tolerance(limit, bounds) / 8 + limit.perSecond * 2 / 3 * 5);
}

// Guards against customers that are refused within their limit by all VMs while the owner changes.
BOOST_AUTO_TEST_CASE(newOwnerHasTheSharesOfThoseThatAskIt)
{
    const auto before = vmSet(4);
    auto after = before;
    after.erase(ownerIn(before));
    const auto self = ownerIn(after);
    OwnerSet owners(self, viewSkew);
    owners.update(before, start);
    owners.update(after, start + 20s);
    CreditLedger ledger(bounds);
    CreditLedger::Reach reach;
    reach.sharers = 4;
    const auto takeWhileEarly = [&](const VmId& asker, TimePoint now) {
        int granted = 0;
        while (
            ledger.take({ self, asker, customer }, limit, owners, reach, now).answer == CreditAnswer::Granted)
            ++granted;
        return granted;
    };
    takeWhileEarly(self, start + 20s);
    BOOST_TEST(takeWhileEarly(self, start + 21s) == 5);
    takeWhileEarly(VmId("other"), start + 21s);
    BOOST_TEST(takeWhileEarly(self, start + 21500ms) == 5);
    // Nobody asks the previous owner any more.
    takeWhileEarly(self, start + 20s + viewSkew);
    BOOST_TEST(takeWhileEarly(self, start + 21s + viewSkew) == 20);
}

// Guards against VMs without an owner after all registrations have lapsed, and against a newcomer that grants
// more than the shares of those that ask it.
BOOST_AUTO_TEST_CASE(newcomerHasTheSharesOfThoseThatAskIt)
{
    const auto vms = vmSet(4);
    const auto self = ownerIn(vms);
    OwnerSet owners(self, viewSkew);
    owners.update(vms, start);
    owners.update({}, start + 60s);
    BOOST_TEST((owners.ranked(customer).size() == 4U));
    owners.update(vms, start + 61s);
    CreditLedger ledger(bounds);
    CreditLedger::Reach reach;
    reach.sharers = 4;
    const auto takeAs = [&](const VmId& asker, bool hasShare, TimePoint now) {
        int granted = 0;
        while (ledger.take({ self, asker, customer, false, hasShare }, limit, owners, reach, now).answer
            == CreditAnswer::Granted)
            ++granted;
        return granted;
    };
    const VmId ingress("ingress");
    BOOST_TEST(takeAs(ingress, false, start + 61s) <= tolerance(limit, bounds) / 8);
    BOOST_TEST(takeAs(ingress, false, start + 62s) == 0);
    takeAs(VmId("first"), true, start + 62s);
    BOOST_TEST(takeAs(VmId("first"), true, start + 62500ms) == 2);
    takeAs(VmId("second"), true, start + 62500ms);
    BOOST_TEST(takeAs(VmId("second"), true, start + 63s) == 5);
}

// Guards against VMs that go on to start requests of a customer that is over its limit before they are told
// so.
BOOST_AUTO_TEST_CASE(standingCreditIsGoneForAWindowWithoutAGrant)
{
    const auto vms = vmSet(3);
    const VmId self("vm-0");
    StandingCredit standing(bounds);
    const auto take = [&](TimePoint now) { return standing.tryTake(customer, limit, vms, self, now); };
    BOOST_TEST(take(start));
    BOOST_TEST(!take(start + 1s));
    BOOST_TEST(!take(start + 4s));
    BOOST_TEST(take(start + 5s));
    standing.restore(customer);
    BOOST_TEST(take(start + 5s));
    BOOST_TEST(!standing.tryTake(customer, limit, vms, VmId("ingress"), start));
    int withStandingCredit = 0;
    const auto many = vmSet(300);
    for (const auto& vm : many)
        withStandingCredit += StandingCredit(bounds).tryTake(customer, limit, many, vm, start);
    BOOST_TEST(withStandingCredit > 0);
    BOOST_TEST(withStandingCredit <= tolerance(limit, bounds) / 2);
}

// Guards against late requests that use up the credit of a customer over its limit, whose others would be in
// time.
BOOST_AUTO_TEST_CASE(lateRequestsLeaveCreditToThoseInTime)
{
    const auto vms = vmSet(3);
    const auto self = ownerIn(vms);
    OwnerSet owners(self, viewSkew);
    owners.update(vms, start);
    CreditLedger ledger(bounds);
    const auto take = [&](bool isLate) {
        int granted = 0;
        while (ledger.take({ self, self, customer, isLate }, limit, owners, {}, start + 60s).answer
            == CreditAnswer::Granted)
            ++granted;
        return granted;
    };
    takeAll(ledger, limit, start);
    const int late = take(true);
    BOOST_TEST(late > 15);
    BOOST_TEST(take(true) == 0);
    BOOST_TEST(take(false) == 30 - late);
}
