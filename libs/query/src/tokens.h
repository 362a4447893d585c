#pragma once

#include "builder.h"
#include "config/validation.h"
#include "query/parser.h"

#include <algorithm>
#include <charconv>
#include <cmath>

// Lexical rules: words, numbers, strings, keys and durations.

namespace banyancroft::query::grammar {

inline Keyword keyword(std::string_view text) { return Keyword(text); }

// Matches the keyword of a clause unless the statement already has that clause.
template <Clause clause> auto once(std::string_view word)
{
    const auto notSeen = [](auto& context) {
        x3::_pass(context) = !builder(context).seenClauses[static_cast<std::size_t>(clause)];
    };
    const auto markSeen
        = [](auto& context) { builder(context).seenClauses[static_cast<std::size_t>(clause)] = true; };
    return x3::eps[notSeen] >> keyword(word)[markSeen];
}

inline const auto wordTail = x3::char_("A-Za-z0-9._-");

template <typename Tag> auto word(const char* name)
{
    return x3::rule<Tag, std::string>(name) = x3::lexeme[x3::char_("A-Za-z0-9")
               >> x3::repeat(0, static_cast<int>(config::maxIdLength) - 1)[wordTail] >> !wordTail];
}

inline const auto setUnsigned = [](auto& context) {
    const auto& digits = x3::_attr(context);
    std::uint64_t value = 0;
    const auto result = std::from_chars(&*digits.begin(), &*digits.begin() + digits.size(), value);
    x3::_pass(context) = result.ec == std::errc();
    x3::_val(context) = value;
};

inline const auto wholeNumber = x3::rule<struct WholeNumberTag, std::uint64_t>("a whole number")
    = x3::lexeme[x3::raw[+x3::digit] >> !wordTail][setUnsigned];

// Sets the attribute of the rule to the text that a raw[] directive matched.
inline const auto setMatched = [](auto& context) {
    const auto& range = x3::_attr(context);
    x3::_val(context) = std::string(range.begin(), range.end());
};

// Text of a number, as in JSON.
inline const auto numberText = x3::rule<struct NumberTextTag, std::string>("a number")
    = x3::lexeme[x3::raw[-x3::char_('-') >> +x3::digit >> -(x3::char_('.') >> +x3::digit)
                     >> -(x3::char_("eE") >> -x3::char_("+-") >> +x3::digit)][setMatched]
        >> !wordTail];

inline const auto setNumber = [](auto& context) {
    auto shortest = normaliseNumber(x3::_attr(context));
    x3::_pass(context) = shortest.has_value();
    if (shortest)
        x3::_val(context) = *shortest;
};

inline const auto number = x3::rule<struct NumberTag, std::string>("a number") = numberText[setNumber];

inline const auto setRatio = [](auto& context) {
    const std::string& text = x3::_attr(context);
    double value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    x3::_pass(context) = result.ec == std::errc();
    x3::_val(context) = value;
};

inline const auto ratio = x3::rule<struct RatioTag, double>("a number") = numberText[setRatio];

inline const auto stringLiteral = x3::rule<struct StringLiteralTag, std::string>("a string in double quotes")
    = x3::lexeme[x3::raw['"' >> *(('\\' >> x3::char_) | ~x3::char_("\"\\")) >> '"'][setMatched]];

inline const auto setString = [](auto& context) {
    auto text = unescapeString(x3::_attr(context));
    x3::_pass(context) = text.has_value();
    if (text)
        x3::_val(context) = *text;
};

inline const auto string
    = x3::rule<struct StringTag, std::string>("a string in double quotes with escapes as in JSON")
    = stringLiteral[setString];

inline const auto setKey = [](auto& context) {
    const std::string& key = x3::_attr(context);
    // The key is sent in an HTTP header and becomes part of a store key.
    const bool isPrintable = std::all_of(
        key.begin(), key.end(), [](char character) { return character > ' ' && character <= '~'; });
    x3::_pass(context) = isPrintable && !key.empty() && key.size() <= maxKeyLength;
    x3::_val(context) = key;
};

inline const auto idempotencyKey
    = x3::rule<struct KeyTag, std::string>("a string of 1 to 200 printable ASCII characters without spaces")
    = string[setKey];

inline x3::symbols<Duration> makeUnits()
{
    x3::symbols<Duration> units;
    units.add("us", std::chrono::microseconds(1))("ms", std::chrono::milliseconds(1))(
        "s", std::chrono::seconds(1))("m", std::chrono::minutes(1));
    return units;
}
inline const x3::symbols<Duration> unit = makeUnits();

inline const auto setDuration = [](auto& context) {
    const std::string& digits = boost::fusion::at_c<0>(x3::_attr(context));
    const Duration scale = boost::fusion::at_c<1>(x3::_attr(context));
    double value = 0;
    const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    const double micros = std::round(value * static_cast<double>(scale.count()) / 1000.0);
    constexpr double maxMicros = std::chrono::duration<double, std::micro>(maxDuration).count();
    x3::_pass(context) = result.ec == std::errc() && micros >= 1 && micros <= maxMicros;
    if (micros >= 1 && micros <= maxMicros)
        x3::_val(context) = std::chrono::microseconds(static_cast<std::int64_t>(micros));
};

inline const auto durationText = x3::rule<struct DurationTextTag, std::string>("a duration")
    = x3::raw[+x3::digit >> -(x3::char_('.') >> +x3::digit)][setMatched];

inline const auto duration
    = x3::rule<struct DurationTag, Duration>("a duration from 1us to 60m, such as 150ms or 2s")
    = x3::lexeme[durationText >> unit >> !wordTail][setDuration];

} // namespace banyancroft::query::grammar
