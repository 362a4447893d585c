#include "telemetry/log.h"
#include "telemetry/metrics.h"
#include "telemetry/trace.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::telemetry;

// A line break in a value from the network must not start a forged line.
BOOST_AUTO_TEST_CASE(logValuesCannotStartANewLine)
{
    BOOST_TEST(formatLogLine("refused", { { "query", "a\nlevel=ERROR \"x\"" } })
        == "msg=refused query=\"a level=ERROR \\\"x\\\"\"");
}

// A malformed header must start a new trace instead of propagating an invalid id.
BOOST_AUTO_TEST_CASE(malformedTraceparentStartsNewTrace)
{
    const std::string good = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    BOOST_TEST(parseTraceparent(good).has_value());
    BOOST_TEST(!parseTraceparent(good + "-x").has_value());
    BOOST_TEST(!parseTraceparent("ff" + good.substr(2)).has_value());
    BOOST_TEST(!parseTraceparent("00-00000000000000000000000000000000-b7ad6b7169203331-01").has_value());
    BOOST_TEST(!parseTraceparent("00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01").has_value());
    std::uint64_t next = 1;
    const auto random = [&next] { return next++; };
    BOOST_TEST(startSpan(good, random).traceId == good.substr(3, 32));
    BOOST_TEST(parseTraceparent(startSpan("junk", random).traceparent()).has_value());
}

// Recording spans of unsampled traces would cost processor time for each sub-request.
BOOST_AUTO_TEST_CASE(sampledFlagIsPropagated)
{
    const std::string prefix = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-";
    const auto random = [] { return std::uint64_t { 5 }; };
    BOOST_TEST(startSpan(prefix + "01", random).sampled);
    BOOST_TEST(!startSpan(prefix + "00", random).sampled);
    BOOST_TEST(startSpan(prefix + "00", random).traceparent().ends_with("-00"));
    BOOST_TEST(!startSpan("", random).sampled);
}

// Without a limit, the ring would grow with each request.
BOOST_AUTO_TEST_CASE(ringDropsTheOldestTrace)
{
    TraceRing ring(2);
    ring.setExplainRecord("a", "1");
    ring.setExplainRecord("b", "2");
    ring.setExplainRecord("c", "3");
    BOOST_TEST(!ring.explainRecord("a").has_value());
    BOOST_TEST(ring.explainRecord("b").value() == "2");
    BOOST_TEST(ring.explainRecord("c").value() == "3");
}

// Bucket counts have to be cumulative, or quantiles computed from them are wrong.
BOOST_AUTO_TEST_CASE(latencyBucketsAreCumulative)
{
    Metrics metrics;
    auto& latency = metrics.latency("query_seconds", "Time of a query");
    latency.record(std::chrono::microseconds(10));
    latency.record(std::chrono::milliseconds(5));
    latency.record(std::chrono::seconds(1000));
    const std::string text = metrics.write();
    BOOST_TEST(text.find("query_seconds_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
    BOOST_TEST(text.find("query_seconds_count 3\n") != std::string::npos);
    BOOST_TEST(text.find("query_seconds_sum 1000.00501\n") != std::string::npos);
}
