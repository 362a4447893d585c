#include "memory_account.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

using namespace banyancroft;
using namespace banyancroft::gateway;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kibibyte = 1024;
constexpr MemoryAccount::Limits limits { 1024 * kibibyte, 128 * kibibyte };

/** A holder that gives its memory back when it is ended. */
struct Peer {
    Peer(MemoryAccount& account, std::size_t bytes, TimePoint now)
        : holder(&account, MemoryUse::Caller, [this] {
            ended = true;
            holder.hold(0);
        })
    {
        accepted = holder.tryHold(bytes, now);
        holder.waitForPeer(now);
    }

    bool ended = false;
    bool accepted = false;
    MemoryHolder holder;
};

} // namespace

// Guards against holders that together exceed the memory, and against large ones that leave no room for small
// requests.
BOOST_AUTO_TEST_CASE(holdersTogetherStayWithinTheLimit)
{
    MemoryAccount account(limits);
    const TimePoint now { 100s };
    std::vector<std::unique_ptr<Peer>> peers;
    peers.reserve(28);
    for (int i = 0; i < 8; ++i)
        peers.push_back(std::make_unique<Peer>(account, 256 * kibibyte, now));
    BOOST_TEST(account.total() == limits.bytes);
    BOOST_TEST(!peers.back()->accepted);
    const Peer small(account, 16 * kibibyte, now);
    BOOST_TEST(small.accepted);
    for (int i = 0; i < 20; ++i)
        peers.push_back(std::make_unique<Peer>(account, 16 * kibibyte, now));
    BOOST_TEST(account.total() == limits.bytes + limits.smallReserve);
    peers.clear();
    BOOST_TEST(account.total() == 16 * kibibyte);
}

// Guards against the end of callers at an ordinary rate instead of those that make the least progress.
BOOST_AUTO_TEST_CASE(leastProgressIsEndedFirst)
{
    MemoryAccount account(limits);
    const TimePoint start { 100s };
    Peer ordinary(account, 256 * kibibyte, start);
    Peer slow(account, 256 * kibibyte, start);
    Peer stalled(account, 512 * kibibyte, start);
    const auto advance = [&](TimePoint now) {
        ordinary.holder.progressed(100 * kibibyte, now);
        slow.holder.progressed(1 * kibibyte, now);
    };
    // No rate is known yet, so nobody is ended.
    BOOST_TEST(!Peer(account, 256 * kibibyte, start + 900ms).accepted);
    advance(start + 1s);
    Peer first(account, 256 * kibibyte, start + 1100ms);
    BOOST_TEST(first.accepted);
    BOOST_TEST(stalled.ended);
    BOOST_TEST(!slow.ended);
    Peer second(account, 512 * kibibyte, start + 1100ms);
    BOOST_TEST(second.accepted);
    BOOST_TEST(slow.ended);
    BOOST_TEST(!ordinary.ended);
    BOOST_TEST(!Peer(account, 256 * kibibyte, start + 1200ms).accepted);
    BOOST_TEST(!ordinary.ended);
}

// Guards against the end of all callers after the process was suspended, when none could progress.
BOOST_AUTO_TEST_CASE(stallOfTheProcessIsNotTheFaultOfThePeers)
{
    MemoryAccount account(limits);
    const TimePoint start { 100s };
    const Peer peer(account, 1024 * kibibyte, start);
    account.restartRates(start + 10s);
    BOOST_TEST(!Peer(account, 256 * kibibyte, start + 10s).accepted);
    BOOST_TEST(!peer.ended);
    BOOST_TEST(Peer(account, 256 * kibibyte, start + 11s).accepted);
}

// Guards against the end of a caller that only waits for this VM.
BOOST_AUTO_TEST_CASE(holderThatDoesNotWaitForItsPeerIsNotEnded)
{
    MemoryAccount account(limits);
    const TimePoint start { 100s };
    Peer peer(account, 1024 * kibibyte, start);
    peer.holder.stopWaitingForPeer();
    BOOST_TEST(!Peer(account, 256 * kibibyte, start + 10s).accepted);
    BOOST_TEST(!peer.ended);
}

// Guards against requests with large heads that use up the room of responses, and against refusals of
// ordinary requests because memory is short.
BOOST_AUTO_TEST_CASE(requestsWithLargeHeadsMayNotUseTheReserve)
{
    MemoryAccount account(limits);
    const TimePoint now { 100s };
    const auto ignoreEnd = [] {};
    MemoryHolder other(&account, MemoryUse::Parts, ignoreEnd);
    other.hold(limits.bytes);
    MemoryHolder large(&account, MemoryUse::Parts, ignoreEnd);
    BOOST_TEST(!large.tryHoldRequest(MemoryHolder::ordinaryRequestBytes + 1, now));
    BOOST_TEST(large.held() == 0U);
    MemoryHolder ordinary(&account, MemoryUse::Parts, ignoreEnd);
    BOOST_TEST(ordinary.tryHoldRequest(MemoryHolder::ordinaryRequestBytes, now));
    other.hold(0);
    BOOST_TEST(large.tryHoldRequest(MemoryHolder::ordinaryRequestBytes + 1, now));
}

// Guards against an expected wait that is taken from too little, so that requests are refused that would be
// served.
BOOST_AUTO_TEST_CASE(expectedWaitFollowsTheBestRate)
{
    MemoryAccount account(limits);
    TimePoint now { 100s };
    const auto ignoreEnd = [] {};
    MemoryHolder holder(&account, MemoryUse::Parts, ignoreEnd);
    account.measure(now);
    holder.hold(limits.bytes);
    for (std::size_t window = 0; window < MemoryAccount::measuredWindows; ++window) {
        BOOST_TEST(!account.expectedWait(kibibyte).has_value());
        const std::size_t bytes = window == 1 ? 64 * kibibyte : 0;
        holder.hold(limits.bytes - bytes);
        holder.hold(limits.bytes);
        now += MemoryAccount::rateWindow;
        account.measure(now);
    }
    BOOST_REQUIRE(account.expectedWait(32 * kibibyte).has_value());
    BOOST_TEST((*account.expectedWait(32 * kibibyte) == 500ms));
    // Nothing is known beyond the time that was measured.
    BOOST_TEST((*account.expectedWait(1024 * kibibyte) == 5s));
    holder.hold(0);
    BOOST_TEST((*account.expectedWait(32 * kibibyte) == 0s));
    account.restartRates(now);
    holder.hold(limits.bytes);
    BOOST_TEST(!account.expectedWait(kibibyte).has_value());
}
