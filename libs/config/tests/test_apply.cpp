#include "config/apply.h"

#include "example.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::config;

namespace {

Document applied(const Document& document, const Edit& edit)
{
    Error reason;
    auto changed = applyEdit(document, edit, reason);
    BOOST_REQUIRE_MESSAGE(changed.has_value(), reason);
    return *changed;
}

ErrorKind refusal(const Document& document, const Edit& edit)
{
    Error reason;
    BOOST_TEST(!applyEdit(document, edit, reason).has_value());
    BOOST_TEST(!reason.message.empty());
    BOOST_TEST(!reason.remedy.empty());
    return reason.kind;
}

TakeOutZone takeOut(const char* zone, EditOptions options = {})
{
    return { AvailabilityZone(zone), options };
}

SetService setting(ServiceSetting setting, std::uint64_t value)
{
    return { ServiceId("dispatch-desk"), setting, value, {} };
}

} // namespace

// An edit that touches more than its target, or no version, would take other parts out of service.
BOOST_AUTO_TEST_CASE(EditsChangeTheirTargetAndTheVersion)
{
    const Document before = pilakBalik();
    Document expected = before;
    expected.version = { 2 };
    expected.zones[1].serving = false;
    const Document out = applied(before, takeOut("luzon-b"));
    BOOST_TEST((out == expected));
    expected.version = { 3 };
    expected.zones[1].serving = true;
    BOOST_TEST((applied(out, ReturnZone { AvailabilityZone("luzon-b"), {} }) == expected));
    const Document drained = applied(before, DrainUpstream { UpstreamId("yard-scan-07"), {} });
    BOOST_TEST(drained.services[2].groups[0].upstreams[6].draining);
    BOOST_TEST(applied(before, setting(ServiceSetting::ColdLimit, 2)).services[0].coldLimit == 2U);
    const SetPolicy deadline { PolicySetting::DefaultDeadline, Duration(std::chrono::milliseconds(300)), {} };
    BOOST_TEST((applied(before, deadline).policy.defaultDeadline == std::chrono::milliseconds(300)));
}

// Each refusal guards against an edit that would be carried out on the wrong thing or stop all service.
BOOST_AUTO_TEST_CASE(WrongEditsAreRefusedByKind)
{
    Document document = pilakBalik();
    BOOST_TEST((refusal(document, takeOut("luzon-x")) == ErrorKind::NotFound));
    BOOST_TEST((refusal(document, DrainUpstream { UpstreamId("x"), {} }) == ErrorKind::NotFound));
    BOOST_TEST(
        (refusal(document, ReturnZone { AvailabilityZone("luzon-a"), {} }) == ErrorKind::InvalidInput));
    BOOST_TEST((refusal(document, setting(ServiceSetting::ColdLimit, 4)) == ErrorKind::InvalidInput));
    BOOST_TEST((refusal(document, setting(ServiceSetting::ColdLimit, 0)) == ErrorKind::InvalidInput));
    BOOST_TEST((refusal(document, setting(ServiceSetting::Slots, 4'294'967'299)) == ErrorKind::InvalidInput));
    BOOST_TEST((refusal(document, setting(ServiceSetting::ConnectTime, 4)) == ErrorKind::InvalidInput));
    BOOST_TEST((refusal(document, takeOut("luzon-a", { ConfigVersion { 7 }, true })) == ErrorKind::Conflict));
    for (const char* zone : { "luzon-a", "luzon-b", "luzon-c" })
        document = applied(document, takeOut(zone));
    BOOST_TEST((refusal(document, takeOut("luzon-a")) == ErrorKind::InvalidInput));
    BOOST_TEST((refusal(document, takeOut("luzon-d")) == ErrorKind::InvalidInput));
    // dispatch-desk-02-c is in luzon-d, the only zone that serves; its group has no other.
    const DrainUpstream last { UpstreamId("dispatch-desk-02-c"), {} };
    BOOST_TEST((refusal(document, last) == ErrorKind::InvalidInput));
    BOOST_TEST(!applied(document, takeOut("luzon-d", { ConfigVersion { 4 }, true })).zones[3].serving);
}

// A repartition without a new layout version would mix answers of two layouts.
BOOST_AUTO_TEST_CASE(LoadedDocumentsRaiseTheLayoutWhenShardsMove)
{
    Document before = pilakBalik();
    before.version = { 9 };
    before.layout = { 5 };
    Document moved = pilakBalik();
    std::swap(moved.services[0].groups[0].shards, moved.services[0].groups[1].shards);
    const Document loaded = applied(before, LoadConfig { toJson(moved), {} });
    BOOST_TEST(loaded.version.value == 10U);
    BOOST_TEST(loaded.layout.value == 6U);
    Document tuned = pilakBalik();
    tuned.services[0].slots = 4;
    BOOST_TEST(applied(before, LoadConfig { toJson(tuned), {} }).layout.value == 5U);
    BOOST_TEST((refusal(before, LoadConfig { toJson(before), {} }) == ErrorKind::InvalidInput));
    const std::string other = readExample("hunangsthak.json");
    BOOST_TEST((refusal(before, LoadConfig { other, {} }) == ErrorKind::InvalidInput));
    BOOST_TEST(applied(before, LoadConfig { other, { {}, true } }).deployment == "hunangsthak");
}

// The first load of a deployment must neither need a document nor replace one unseen.
BOOST_AUTO_TEST_CASE(OnlyALoadGivesTheFirstDocument)
{
    Error reason;
    BOOST_TEST(!applyInitialEdit(takeOut("luzon-a"), reason).has_value());
    BOOST_TEST((reason.kind == ErrorKind::NotFound));
    const std::string text = readExample("pilak-balik.json");
    BOOST_TEST(!applyInitialEdit(LoadConfig { text, { ConfigVersion { 1 }, false } }, reason).has_value());
    BOOST_TEST((reason.kind == ErrorKind::Conflict));
    BOOST_TEST((applyInitialEdit(LoadConfig { text, {} }, reason) == pilakBalik()));
}
