#pragma once

#include "characters.h"
#include "json_text.h"

#include <boost/spirit/home/x3.hpp>

#include <string>
#include <string_view>

// Parsers of fixed words, the end and JSON, which name themselves in errors.

namespace banyancroft::query::grammar {

namespace x3 = boost::spirit::x3;

using Iterator = std::string_view::const_iterator;

// A fault that no grammar rule describes; ends the parse like an expectation failure.
struct Fault {
    Iterator where;
    std::string message;
    std::string remedy;
};

// A fixed word or sign. X3's own literals neither check the end of a word nor name themselves in errors.
struct Keyword : x3::parser<Keyword> {
    using attribute_type = x3::unused_type; // NOLINT(readability-identifier-naming): fixed by X3
    static constexpr bool has_attribute = false; // NOLINT(readability-identifier-naming): fixed by X3

    explicit Keyword(std::string_view word)
        : text(word)
    {
    }

    template <typename Context, typename RuleContext, typename Attribute>
    bool parse(Iterator& first, const Iterator& last, const Context& context, RuleContext& /*unused*/,
        Attribute& /*unused*/) const
    {
        x3::skip_over(first, last, context);
        const std::string_view rest(first, last);
        if (!rest.starts_with(text))
            return false;
        const bool isWord = isWordCharacter(text.back());
        if (isWord && rest.size() > text.size() && isWordCharacter(rest[text.size()]))
            return false;
        first += static_cast<std::ptrdiff_t>(text.size());
        return true;
    }

    std::string_view text;
};

// The end of the statement; names the clauses that could have stood there.
struct End : x3::parser<End> {
    using attribute_type = x3::unused_type; // NOLINT(readability-identifier-naming): fixed by X3
    static constexpr bool has_attribute = false; // NOLINT(readability-identifier-naming): fixed by X3

    explicit End(std::string_view otherClauses)
        : clauses(otherClauses)
    {
    }

    template <typename Context, typename RuleContext, typename Attribute>
    bool parse(Iterator& first, const Iterator& last, const Context& context, RuleContext& /*unused*/,
        Attribute& /*unused*/) const
    {
        x3::skip_over(first, last, context);
        return first == last;
    }

    std::string_view clauses;
};

// A JSON object; its attribute is the text as it was written.
struct JsonObject : x3::parser<JsonObject> {
    using attribute_type = std::string; // NOLINT(readability-identifier-naming): fixed by X3
    static constexpr bool has_attribute = true; // NOLINT(readability-identifier-naming): fixed by X3

    template <typename Context, typename RuleContext, typename Attribute>
    bool parse(Iterator& first, const Iterator& last, const Context& context, RuleContext& /*unused*/,
        Attribute& attribute) const
    {
        x3::skip_over(first, last, context);
        if (first == last || *first != '{')
            return false;
        const std::string_view rest(first, last);
        JsonFault fault;
        auto length = jsonObjectLength(rest, fault);
        if (!length) {
            throw Fault { first + static_cast<std::ptrdiff_t>(fault.offset), fault.message,
                "write the payload as one JSON object" };
        }
        x3::traits::move_to(std::string(rest.substr(0, *length)), attribute);
        first += static_cast<std::ptrdiff_t>(*length);
        return true;
    }
};

} // namespace banyancroft::query::grammar

// The texts that errors use for "expected".
namespace boost::spirit::x3 {

template <> struct get_info<banyancroft::query::grammar::Keyword> {
    using result_type = std::string; // NOLINT(readability-identifier-naming): fixed by X3
    std::string operator()(const banyancroft::query::grammar::Keyword& keyword) const
    {
        return "'" + std::string(keyword.text) + "'";
    }
};

template <> struct get_info<banyancroft::query::grammar::End> {
    using result_type = std::string; // NOLINT(readability-identifier-naming): fixed by X3
    std::string operator()(const banyancroft::query::grammar::End& end) const
    {
        return std::string(end.clauses) + "the end of the statement";
    }
};

template <> struct get_info<banyancroft::query::grammar::JsonObject> {
    using result_type = std::string; // NOLINT(readability-identifier-naming): fixed by X3
    std::string operator()(const banyancroft::query::grammar::JsonObject& /*unused*/) const
    {
        return "a JSON object";
    }
};

// Boost 1.74 forgets the name of a parser that has an action.
template <typename Subject, typename Action> struct get_info<action<Subject, Action>> {
    using result_type = std::string; // NOLINT(readability-identifier-naming): fixed by X3
    std::string operator()(const action<Subject, Action>& parser) const { return what(parser.subject); }
};

} // namespace boost::spirit::x3
