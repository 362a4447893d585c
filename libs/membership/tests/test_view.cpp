#include "membership/view.h"
#include "membership/zone_views.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace banyancroft;
using namespace banyancroft::membership;

namespace {

View sampleView(std::size_t count)
{
    View view;
    view.zone = AvailabilityZone("luzon-a");
    view.number = { 7 };
    for (std::size_t i = 0; i < count; ++i) {
        const VmId vm("vm-" + std::to_string(i));
        view.members.push_back({ vm, { 100 + i }, "127.0.0.1:9", { 1 + i }, true });
    }
    view.departing.push_back({ VmId("vm-old"), { 5 }, "127.0.0.1:8", { 1 }, false });
    view.settled = { VmId("vm-0"), VmId("vm-old") };
    view.lastRemoval = { 6 };
    return view;
}

} // namespace

// A field that is lost in serialization would let two daemons choose different homes.
BOOST_AUTO_TEST_CASE(viewAndMemberRecordSurviveSerialization)
{
    Error reason;
    const View view = sampleView(3);
    BOOST_TEST((parseView(serialize(view), reason) == view));
    MemberRecord record { VmId("vm-1"), { 9 }, "127.0.0.1:9", { 7 }, Intent::Leave, true, {} };
    record.inFlight.push_back({ UpstreamId("desk-01-a"), 2 });
    BOOST_TEST((parseMemberRecord(serialize(record), reason) == record));
    BOOST_TEST(!reason);
}

// A malformed document must give a typed error that names the field, never a view with default values.
BOOST_AUTO_TEST_CASE(malformedDocumentsAreRejected)
{
    const std::string text = serialize(sampleView(2));
    for (std::size_t length = 0; length < text.size(); ++length) {
        Error reason;
        BOOST_TEST(!parseView(text.substr(0, length), reason).has_value());
        BOOST_TEST((reason.kind == ErrorKind::MalformedMessage));
    }
    View twice = sampleView(2);
    twice.members.push_back(twice.members.front());
    for (const std::string& bad : { serialize(twice), std::string(R"({"zone":"a","number":-1})"),
             std::string(maxDocumentBytes + 1, ' '), std::string(R"({"zone":"","number":1})") }) {
        Error reason;
        BOOST_TEST(!parseView(bad, reason).has_value());
        BOOST_TEST(!reason.remedy.empty());
    }
    Error reason;
    BOOST_TEST(!parseMemberRecord(R"({"vm":"a","incarnation":1,"address":"x","acknowledged":1,
        "intent":"join","listed":true,"in_flight":{"u":-1}})",
        reason)
                    .has_value());
    BOOST_TEST(reason.message.find("u must be") != std::string::npos);
}

// If a join moved upstreams between existing members, each join would interrupt the whole zone.
BOOST_AUTO_TEST_CASE(joinMovesUpstreamsOnlyToTheJoiner)
{
    const View before = sampleView(8);
    const View after = sampleView(9);
    std::size_t moved = 0;
    std::map<VmId, std::size_t> load;
    constexpr std::size_t upstreams = 2000;
    for (std::size_t i = 0; i < upstreams; ++i) {
        const UpstreamId upstream("u-" + std::to_string(i));
        const Member* old = homeOf(upstream, before);
        const Member* now = homeOf(upstream, after);
        ++load[now->vm];
        if (old->vm == now->vm)
            continue;
        ++moved;
        BOOST_TEST(now->vm == VmId("vm-8"));
        // The previous home is the joiner's successor, so it gets the upstream back if the joiner crashes.
        BOOST_TEST(successors(upstream, after, 2).at(1)->vm == old->vm);
    }
    BOOST_TEST(moved == load[VmId("vm-8")]);
    for (const auto& [vm, count] : load)
        BOOST_TEST((count > upstreams / 18 && count < upstreams / 5));
}

// An entry that went back to an older view would send requests to daemons that are no longer home.
BOOST_AUTO_TEST_CASE(zoneViewsAdoptOnlyHigherNumbers)
{
    ZoneViews views;
    View view = sampleView(2);
    BOOST_TEST(views.adopt(view));
    view.members.pop_back();
    BOOST_TEST(!views.adopt(view));
    view.number = { 6 };
    BOOST_TEST(!views.adopt(view));
    BOOST_TEST(views.find(view.zone)->members.size() == 2U);
    view.number = { 8 };
    BOOST_TEST(views.adopt(view));
    BOOST_TEST(views.homeOf(view.zone, UpstreamId("u"))->vm == VmId("vm-0"));
    BOOST_TEST(views.homeOf(AvailabilityZone("hofud-a"), UpstreamId("u")) == nullptr);
}
