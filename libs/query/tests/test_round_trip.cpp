#include "query/parser.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace banyancroft;
using namespace banyancroft::query;

namespace {

rc::Gen<std::string> word()
{
    return rc::gen::map(rc::gen::pair(rc::gen::elementOf(std::string("abcXYZ019")),
                            rc::gen::container<std::string>(rc::gen::elementOf(std::string("abz019._-")))),
        [](const std::pair<char, std::string>& parts) { return parts.first + parts.second.substr(0, 40); });
}

rc::Gen<std::string> comparison()
{
    const auto field = rc::gen::element<std::string>("island", "x.y", "a_1", "android", "nothing");
    const auto comparisonOperator = rc::gen::element<std::string>("=", "!=", "<", "<=", ">", ">=");
    const auto value = rc::gen::element<std::string>(
        "\"Cebu\"", "\"\\u00fe\\\"\\\\\"", "17", "-0.25", "1e30", "true", "null", "18446744073709551615");
    return rc::gen::map(rc::gen::tuple(field, comparisonOperator, value),
        [](const auto& parts) { return std::get<0>(parts) + " " + std::get<1>(parts) + std::get<2>(parts); });
}

rc::Gen<std::string> condition(int depth)
{
    if (depth == 0)
        return comparison();
    const auto operand = rc::gen::lazy([depth] { return condition(depth - 1); });
    const auto joined
        = rc::gen::map(rc::gen::tuple(operand,
                           rc::gen::element<std::string>(" and ", " or ", ") and (", ") or not ("), operand),
            [](const auto& parts) {
                return "(" + std::get<0>(parts) + std::get<1>(parts) + std::get<2>(parts) + ")";
            });
    const auto negated = rc::gen::map(operand, [](const std::string& text) { return "not (" + text + ")"; });
    return rc::gen::oneOf(operand, joined, negated);
}

rc::Gen<config::EditOptions> options()
{
    return rc::gen::map(
        rc::gen::pair(rc::gen::maybe(rc::gen::arbitrary<std::uint64_t>()), rc::gen::arbitrary<bool>()),
        [](const auto& parts) {
            config::EditOptions result;
            if (parts.first)
                result.ifVersion = ConfigVersion { *parts.first };
            result.force = parts.second;
            return result;
        });
}

Duration arbitraryDuration()
{
    return std::chrono::microseconds(*rc::gen::inRange<std::int64_t>(1, 3'600'000'001));
}

Statement arbitraryStatement()
{
    switch (*rc::gen::inRange(0, 8)) {
    case 0: {
        Search search { *word(), "", {}, {}, *rc::gen::arbitrary<bool>() };
        Error reason;
        if (*rc::gen::arbitrary<bool>())
            search.where = normaliseCondition(*condition(4), reason).value();
        if (*rc::gen::arbitrary<bool>())
            search.limit = *rc::gen::arbitrary<std::uint64_t>();
        if (*rc::gen::arbitrary<bool>())
            search.deadline = arbitraryDuration();
        return search;
    }
    case 1:
        return Submit { *word(), IdempotencyKey(*word()), R"({"a": [1, {"b": "}"}]})", arbitraryDuration() };
    case 2:
        return TakeOutZone { AvailabilityZone(*word()), *options() };
    case 3:
        return UndrainUpstream { UpstreamId(*word()), *options() };
    case 4:
        return SetService { ServiceId(*word()), config::ServiceSetting::Connections,
            *rc::gen::arbitrary<std::uint64_t>(), *options() };
    case 5:
        return SetPolicy { config::PolicySetting::HedgeBudgetPercent,
            static_cast<double>(*rc::gen::inRange(-5000, 5000)) / 7.0, *options() };
    case 6:
        return SetPolicy { config::PolicySetting::MaxDeadline, arbitraryDuration(), *options() };
    default:
        return LoadConfig { R"({"schema": 1})", *options() };
    }
}

} // namespace

// Guards against a statement that changes its meaning when it is formatted by one component and parsed by
// another.
BOOST_AUTO_TEST_CASE(formattedStatementParsesToEqualStatement)
{
    BOOST_TEST(rc::check([] {
        const Statement statement = arbitraryStatement();
        Error reason;
        auto reparsed = parseStatement(toString(statement), reason);
        RC_LOG() << toString(statement) << "\n" << reason;
        RC_ASSERT(reparsed.has_value());
        RC_ASSERT(*reparsed == statement);
    }));
}

// Guards against a normalised form that changes when it is normalised again, so that daemons would disagree
// on it.
BOOST_AUTO_TEST_CASE(normalisationIsIdempotent)
{
    BOOST_TEST(rc::check([] {
        Error reason;
        const std::string text = *condition(5);
        auto normalised = normaliseCondition(text, reason);
        RC_LOG() << text << "\n" << reason;
        RC_ASSERT(normalised.has_value());
        RC_ASSERT(normaliseCondition(*normalised, reason) == normalised);
    }));
}
