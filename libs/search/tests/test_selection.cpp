#include "fixture.h"
#include "search/submit_router.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace banyancroft;
using namespace banyancroft::search;
using namespace banyancroft::search::test;

namespace {

/** Counts how often each upstream of the only group is chosen first in 300 queries. */
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

// Guards against unnecessary cross-zone traffic, against requests to a loaded upstream while others are idle,
// and against a cold upstream that receives more than probes, or no requests at all and so never warms up.
BOOST_AUTO_TEST_CASE(replicaChoiceFollowsZoneLoadAndColdStart)
{
    Fixture idle(1);
    auto choices = firstChoices(idle, "");
    BOOST_TEST(choices["g0-a"] + choices["g0-d"] > 290);

    Fixture loaded(1);
    loaded.now += 1s;
    loaded.observeRefusal("g0-a", 100, false);
    loaded.observeRefusal("g0-d", 100, false);
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

// An upstream that never replies delays each query sent to it by at least the hedge delay.
BOOST_AUTO_TEST_CASE(upstreamThatNeverRepliesReceivesOnlyProbes)
{
    Fixture f(1);
    int sentToSilentUpstream = 0;
    for (int i = 0; i < 100; ++i) {
        f.begin();
        while (!f.actions.finished) {
            for (const auto& item : f.sends()) {
                if (item.upstream->str() == "g0-a") {
                    ++sentToSilentUpstream;
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
    BOOST_TEST(sentToSilentUpstream >= 2);
    BOOST_TEST(sentToSilentUpstream <= 7);
}

// Guards against state or late replies of a removed upstream being attributed to another one that reuses its
// slot.
BOOST_AUTO_TEST_CASE(slotOfARemovedUpstreamIsReusedAfterQuarantineWithoutItsState)
{
    Fixture f(1);
    auto& upstreams = f.configuration.services[0].groups[0].upstreams;
    const auto slot = *f.cluster.findUpstream(UpstreamId("g0-a"));
    f.observeRefusal("g0-a", 9, true, { { 7 } });
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

// Guards against pinning a version that some group does not serve, or an older one than necessary.
BOOST_AUTO_TEST_CASE(pinnedVersionIsTheNewestServedInEveryGroup)
{
    Fixture f(2);
    for (const char* zone : { "a", "b", "c", "d" }) {
        f.observeRefusal(std::string("g0-") + zone, 0, false, { { 5 }, { 6 }, { 7 } });
        f.observeRefusal(std::string("g1-") + zone, 0, false, { { 5 }, { 6 } });
    }
    BOOST_TEST(f.cluster.chooseSnapshot("all")->snapshot.index.value == 6U);
    // One upstream of the group that serves the new version is enough.
    f.observeRefusal("g1-b", 0, false, { { 6 }, { 7 } });
    BOOST_TEST(f.cluster.chooseSnapshot("all")->snapshot.index.value == 7U);
    // The only upstream of the group that serves it drains.
    f.configuration.services[0].groups[1].upstreams[1].draining = true;
    f.cluster.apply(f.configuration, f.now);
    BOOST_TEST(f.cluster.chooseSnapshot("all")->snapshot.index.value == 6U);
}

// A group that is down would otherwise keep all queries at the last version that it served.
BOOST_AUTO_TEST_CASE(failingGroupDoesNotHoldBackThePinnedVersion)
{
    Fixture f(2);
    for (const std::string name : { "a", "b", "c", "d" }) {
        f.observeRefusal("g0-" + name, 0, false, { { 5 }, { 6 } });
        f.observeRefusal("g1-" + name, 0, false, { { 5 } });
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

// Guards against a hedge delay that stays at an old latency after the service has become slower or faster.
BOOST_AUTO_TEST_CASE(hedgeDelayFollowsTheLatencyOfTheService)
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

// A submit could run twice if its key moved to another group without a change of the configuration. A new
// group must not move keys between the existing groups.
BOOST_AUTO_TEST_CASE(submitKeepsItsGroupAndAvoidsUpstreamsThatRefused)
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
