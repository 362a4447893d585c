#include "fixture.h"
#include "search/submit_router.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace banyancroft;
using namespace banyancroft::search;
using namespace banyancroft::search::test;

namespace {

/** How often each upstream of the only group is asked first in 300 queries. */
std::map<std::string, int> firstChoices(Fixture& f, std::string_view coldUpstream)
{
    std::map<std::string, int> choices;
    for (int i = 0; i < 300; ++i) {
        f.begin();
        const auto item = f.sends().front();
        ++choices[item.upstream->str()];
        auto reply = Fixture::done(item, 7);
        reply.cold = item.upstream->str() == coldUpstream;
        f.reply(reply);
        f.now += 10ms;
    }
    return choices;
}

} // namespace

// Cross-zone traffic without need; a loaded upstream that keeps getting work; a cold one that gets more than
// a trickle, or none at all, so that it never warms up.
BOOST_AUTO_TEST_CASE(ChoiceFollowsZoneLoadAndColdStart)
{
    Fixture idle(1);
    auto choices = firstChoices(idle, "");
    BOOST_TEST(choices["g0-a"] + choices["g0-d"] > 290);

    Fixture loaded(1);
    loaded.now += 1s;
    loaded.learn("g0-a", 100, false);
    loaded.learn("g0-d", 100, false);
    loaded.now += 20ms;
    loaded.begin();
    const auto item = loaded.sends().front();
    BOOST_TEST(loaded.zoneOf(item) != loaded.cluster.findZone(AvailabilityZone("a")));

    Fixture cold(1);
    choices = firstChoices(cold, "g0-a");
    BOOST_TEST(choices["g0-a"] > 10);
    // 3.3 s at one probe per 50 ms.
    BOOST_TEST(choices["g0-a"] < 70);
}

// An upstream that swallows requests would cost every query that asks it the wait before a hedge.
BOOST_AUTO_TEST_CASE(upstreamThatNeverRepliesReceivesOnlyProbes)
{
    Fixture f(1);
    int asked = 0;
    for (int i = 0; i < 100; ++i) {
        f.begin();
        while (!f.actions.finished) {
            for (const auto& item : f.sends()) {
                if (item.upstream->str() == "g0-a") {
                    ++asked;
                } else {
                    f.reply(Fixture::done(item, 7));
                }
            }
            if (!f.actions.finished)
                f.timer();
        }
        f.actions.clear();
        f.now += 100ms;
    }
    // Two failures, then trials after 0.25 s, 0.5 s, 1 s, 2 s and 4 s.
    BOOST_TEST(asked >= 2);
    BOOST_TEST(asked <= 7);
}

// State or replies of an upstream that left credited to another one that takes its place in the table.
BOOST_AUTO_TEST_CASE(SlotOfAnUpstreamThatLeftIsReusedLateAndClean)
{
    Fixture f(1);
    auto& upstreams = f.configuration.services[0].groups[0].upstreams;
    const auto slot = *f.cluster.findUpstream(UpstreamId("g0-a"));
    f.learn("g0-a", 9, true, { { 7 } });
    upstreams[0].id = UpstreamId("g0-x");
    f.cluster.apply(f.configuration, f.now);
    BOOST_TEST(!f.cluster.findUpstream(UpstreamId("g0-a")).has_value());
    upstreams[1].id = UpstreamId("g0-y");
    f.cluster.apply(f.configuration, f.now);
    BOOST_TEST(*f.cluster.findUpstream(UpstreamId("g0-y")) != slot);
    BOOST_TEST(f.cluster.upstreamId(slot) == UpstreamId("g0-a"));
    f.now += ClusterState::slotQuarantine;
    upstreams[2].id = UpstreamId("g0-z");
    f.cluster.apply(f.configuration, f.now);
    BOOST_TEST(*f.cluster.findUpstream(UpstreamId("g0-z")) == slot);
    BOOST_TEST(!f.cluster.upstream(slot).cold);
    BOOST_TEST(!f.cluster.upstream(slot).indexes.known());
}

// A query pinned to a version that a group does not serve, or to an older one than all serve.
BOOST_AUTO_TEST_CASE(PinIsTheNewestVersionServedInEveryGroup)
{
    Fixture f(2);
    for (const char* zone : { "a", "b", "c", "d" }) {
        f.learn(std::string("g0-") + zone, 0, false, { { 5 }, { 6 }, { 7 } });
        f.learn(std::string("g1-") + zone, 0, false, { { 5 }, { 6 } });
    }
    BOOST_TEST(f.cluster.chooseSnapshot("all")->snapshot.index.value == 6U);
    // One upstream of the group that takes the new version is enough.
    f.learn("g1-b", 0, false, { { 6 }, { 7 } });
    BOOST_TEST(f.cluster.chooseSnapshot("all")->snapshot.index.value == 7U);
    // No upstream that serves it is left.
    f.configuration.services[0].groups[1].upstreams[1].draining = true;
    f.cluster.apply(f.configuration, f.now);
    BOOST_TEST(f.cluster.chooseSnapshot("all")->snapshot.index.value == 6U);
}

// A group that is down for long would hold all queries at the last version that it served.
BOOST_AUTO_TEST_CASE(GroupThatFailsDoesNotHoldBackThePin)
{
    Fixture f(2);
    for (const std::string name : { "a", "b", "c", "d" }) {
        f.learn("g0-" + name, 0, false, { { 5 }, { 6 } });
        f.learn("g1-" + name, 0, false, { { 5 } });
    }
    BOOST_TEST(f.cluster.chooseSnapshot("all")->snapshot.index.value == 5U);
    for (const std::string name : { "a", "b", "c", "d" }) {
        for (int i = 0; i < 2; ++i) {
            f.cluster.observeTimeout(
                *f.cluster.findUpstream(UpstreamId("g1-" + name)), f.now + 1ms, f.now + 1ms);
        }
    }
    BOOST_TEST(f.cluster.chooseSnapshot("all")->snapshot.index.value == 6U);
}

// A wait before hedges that stays at an old latency after the service became slower or faster.
BOOST_AUTO_TEST_CASE(HedgeDelayFollowsTheLatencyOfTheService)
{
    HedgePolicy policy;
    BOOST_TEST((policy.delay(40ms) == 40ms));
    for (int i = 0; i < 2000; ++i)
        policy.observe(i % 50 == 0 ? Duration(30ms) : Duration(1ms));
    BOOST_TEST((policy.delay(40ms) >= 1ms && policy.delay(40ms) < 1500us));
    for (int i = 0; i < 20'000; ++i)
        policy.observe(10ms);
    BOOST_TEST((policy.delay(40ms) >= 10ms && policy.delay(40ms) < 12ms));
    for (int i = 0; i < 12'000; ++i)
        policy.observe(1ms);
    BOOST_TEST((policy.delay(40ms) < 1500us));
}

// A key that moves to another group while the configuration is the same would run twice; a new group must
// not move the keys of the others.
BOOST_AUTO_TEST_CASE(SubmitKeepsItsGroupAndAvoidsWhatRefused)
{
    Fixture f(20);
    SubmitRouter router(f.cluster);
    const AvailabilityZone zone("a");
    std::map<std::string, std::string> groups;
    for (int key = 0; key < 200; ++key) {
        const auto text = "c-" + std::to_string(key);
        const auto route = router.route("credit", IdempotencyKey(text), zone, {}, f.now, f.random);
        BOOST_REQUIRE((route.reason == Reason::None));
        groups[text] = route.group->str();
        const UpstreamSlot tried[] = { route.upstream };
        BOOST_TEST(router.route("credit", IdempotencyKey(text), zone, tried, f.now, f.random).upstream
            != route.upstream);
    }
    f.cluster.apply(document(21), f.now);
    int moved = 0;
    for (const auto& [text, group] : groups) {
        const auto now = router.route("credit", IdempotencyKey(text), zone, {}, f.now, f.random).group->str();
        BOOST_TEST((now == group || now == "g20"));
        moved += now != group ? 1 : 0;
    }
    BOOST_TEST(moved < 30);
    BOOST_TEST(
        (router.route("none", IdempotencyKey("k"), zone, {}, f.now, f.random).reason == Reason::NoCandidate));
}
