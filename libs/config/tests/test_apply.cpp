#include "config/apply.h"

#include "example.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::config;

namespace {

Document applyOrFail(const Document& document, const Edit& edit)
{
    Error reason;
    auto changed = applyEdit(document, edit, reason);
    BOOST_REQUIRE_MESSAGE(changed.has_value(), reason);
    return *changed;
}

ErrorKind errorKindOf(const Document& document, const Edit& edit)
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

// Guards against an edit that changes anything but its target and the version.
BOOST_AUTO_TEST_CASE(editChangesOnlyItsTargetAndTheVersion)
{
    const Document before = pilakBalik();
    Document expected = before;
    expected.version = { 2 };
    expected.zones[1].serving = false;
    const Document takenOut = applyOrFail(before, takeOut("luzon-b"));
    BOOST_TEST((takenOut == expected));
    expected.version = { 3 };
    expected.zones[1].serving = true;
    BOOST_TEST((applyOrFail(takenOut, ReturnZone { AvailabilityZone("luzon-b"), {} }) == expected));
    const Document drained = applyOrFail(before, DrainUpstream { UpstreamId("yard-scan-07"), {} });
    BOOST_TEST(drained.services[2].groups[0].upstreams[6].draining);
    BOOST_TEST(applyOrFail(before, setting(ServiceSetting::ColdLimit, 2)).services[0].coldLimit == 2U);
    const SetPolicy deadline { PolicySetting::DefaultDeadline, Duration(std::chrono::milliseconds(300)), {} };
    BOOST_TEST((applyOrFail(before, deadline).policy.defaultDeadline == std::chrono::milliseconds(300)));
}

// Guards against edits of a wrong target, version or value, and against taking the last serving zone or
// upstream out of service.
BOOST_AUTO_TEST_CASE(invalidEditIsRejectedWithMatchingErrorKind)
{
    Document document = pilakBalik();
    BOOST_TEST((errorKindOf(document, takeOut("luzon-x")) == ErrorKind::NotFound));
    BOOST_TEST((errorKindOf(document, DrainUpstream { UpstreamId("x"), {} }) == ErrorKind::NotFound));
    BOOST_TEST(
        (errorKindOf(document, ReturnZone { AvailabilityZone("luzon-a"), {} }) == ErrorKind::InvalidInput));
    BOOST_TEST((errorKindOf(document, setting(ServiceSetting::ColdLimit, 4)) == ErrorKind::InvalidInput));
    BOOST_TEST((errorKindOf(document, setting(ServiceSetting::ColdLimit, 0)) == ErrorKind::InvalidInput));
    BOOST_TEST(
        (errorKindOf(document, setting(ServiceSetting::Slots, 4'294'967'299)) == ErrorKind::InvalidInput));
    BOOST_TEST((errorKindOf(document, setting(ServiceSetting::ConnectTime, 4)) == ErrorKind::InvalidInput));
    BOOST_TEST(
        (errorKindOf(document, takeOut("luzon-a", { ConfigVersion { 7 }, true })) == ErrorKind::Conflict));
    for (const char* zone : { "luzon-a", "luzon-b", "luzon-c" })
        document = applyOrFail(document, takeOut(zone));
    BOOST_TEST((errorKindOf(document, takeOut("luzon-a")) == ErrorKind::InvalidInput));
    BOOST_TEST((errorKindOf(document, takeOut("luzon-d")) == ErrorKind::InvalidInput));
    // dispatch-desk-02-c is the only upstream of its group in luzon-d, the only zone that still serves.
    const DrainUpstream drainLastServing { UpstreamId("dispatch-desk-02-c"), {} };
    BOOST_TEST((errorKindOf(document, drainLastServing) == ErrorKind::InvalidInput));
    BOOST_TEST(!applyOrFail(document, takeOut("luzon-d", { ConfigVersion { 4 }, true })).zones[3].serving);
}

// Guards against merging answers of two layouts, which a repartition under the same layout version would
// allow.
BOOST_AUTO_TEST_CASE(loadRaisesLayoutVersionOnlyWhenShardsMove)
{
    Document before = pilakBalik();
    before.version = { 9 };
    before.layout = { 5 };
    Document repartitioned = pilakBalik();
    std::swap(repartitioned.services[0].groups[0].shards, repartitioned.services[0].groups[1].shards);
    const Document result = applyOrFail(before, LoadConfig { toJson(repartitioned), {} });
    BOOST_TEST(result.version.value == 10U);
    BOOST_TEST(result.layout.value == 6U);
    Document sameLayout = pilakBalik();
    sameLayout.services[0].slots = 4;
    BOOST_TEST(applyOrFail(before, LoadConfig { toJson(sameLayout), {} }).layout.value == 5U);
    BOOST_TEST((errorKindOf(before, LoadConfig { toJson(before), {} }) == ErrorKind::InvalidInput));
    const std::string other = readExample("hunangsthak.json");
    BOOST_TEST((errorKindOf(before, LoadConfig { other, {} }) == ErrorKind::InvalidInput));
    BOOST_TEST(applyOrFail(before, LoadConfig { other, { {}, true } }).deployment == "hunangsthak");
}

// Guards against a first document that comes from another edit, or that was meant to replace an existing one.
BOOST_AUTO_TEST_CASE(onlyLoadConfigCreatesFirstDocument)
{
    Error reason;
    BOOST_TEST(!applyInitialEdit(takeOut("luzon-a"), reason).has_value());
    BOOST_TEST((reason.kind == ErrorKind::NotFound));
    const std::string text = readExample("pilak-balik.json");
    BOOST_TEST(!applyInitialEdit(LoadConfig { text, { ConfigVersion { 1 }, false } }, reason).has_value());
    BOOST_TEST((reason.kind == ErrorKind::Conflict));
    BOOST_TEST((applyInitialEdit(LoadConfig { text, {} }, reason) == pilakBalik()));
}
