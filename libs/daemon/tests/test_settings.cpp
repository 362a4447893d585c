#include "daemon/settings.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::daemon;

namespace {

RawSettings validSettings()
{
    RawSettings raw;
    raw.vm = "vm-1";
    raw.zone = "z1";
    raw.store = "127.0.0.1:2379";
    return raw;
}

std::string rejection(const RawSettings& raw)
{
    Error reason;
    BOOST_TEST(!checkSettings(raw, reason).has_value());
    BOOST_TEST(!reason.remedy.empty());
    return reason.message;
}

} // namespace

// A daemon that starts with an invalid setting fails later, where the cause is harder to find.
BOOST_AUTO_TEST_CASE(invalidSettingIsRejectedWithFlagAndValue)
{
    Error reason;
    BOOST_TEST(checkSettings(validSettings(), reason).has_value());
    auto raw = validSettings();
    raw.vm = "vm 1";
    BOOST_TEST(rejection(raw) == "--vm: \"vm 1\" is not allowed");
    raw = validSettings();
    raw.store = "example.org:2379";
    BOOST_TEST(rejection(raw) == "--store: \"example.org:2379\" is not allowed");
    raw = validSettings();
    raw.lease = "10";
    BOOST_TEST(rejection(raw) == "--lease: \"10\" is not allowed");
    raw = validSettings();
    raw.trafficThreads = "0";
    BOOST_TEST(rejection(raw) == "--traffic-threads: \"0\" is not allowed");
    raw = validSettings();
    raw.seeds = "127.0.0.1:1,nonsense";
    BOOST_TEST(rejection(raw) == "--seeds: \"nonsense\" is not allowed");
}

// An overflowing or negative duration would become a lease that never expires.
BOOST_AUTO_TEST_CASE(negativeOrOverflowingDurationIsRejected)
{
    BOOST_TEST((parseDuration("150ms") == std::chrono::milliseconds(150)));
    BOOST_TEST(!parseDuration("-1s").has_value());
    BOOST_TEST(!parseDuration("99999999999999999999s").has_value());
    BOOST_TEST(!parseDuration("9000000000m").has_value());
    BOOST_TEST(!parseDuration("1h").has_value());
}
