#pragma once

#include "characters.h"
#include "json_text.h"

#include <boost/spirit/home/x3.hpp>

#include <string>
#include <string_view>

// Parsers for keywords, the end of a statement and JSON objects, with their names for error messages.

namespace banyancroft::query::grammar {

namespace x3 = boost::spirit::x3;

using Iterator = std::string_view::const_iterator;

// An error that no grammar rule can express. Thrown to end the parse, as X3's expectation_failure is.
struct GrammarError {
    Iterator position;
    std::string message;
    std::string remedy;
};

// A keyword or operator. X3's own literals neither check the end of a word nor give a name for errors.
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

// The end of the statement; its name in errors lists the clauses that are allowed in its place.
struct EndOfStatement : x3::parser<EndOfStatement> {
    using attribute_type = x3::unused_type; // NOLINT(readability-identifier-naming): fixed by X3
    static constexpr bool has_attribute = false; // NOLINT(readability-identifier-naming): fixed by X3

    explicit EndOfStatement(std::string_view allowedClauses)
        : clauses(allowedClauses)
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

// A JSON object; its attribute is the unchanged source text.
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
        JsonError error;
        auto length = jsonObjectLength(rest, error);
        if (!length) {
            throw GrammarError { first + static_cast<std::ptrdiff_t>(error.offset), error.message,
                "write the payload as one JSON object" };
        }
        x3::traits::move_to(std::string(rest.substr(0, *length)), attribute);
        first += static_cast<std::ptrdiff_t>(*length);
        return true;
    }
};

} // namespace banyancroft::query::grammar

// Names of the parsers, which error messages show after "expected".
namespace boost::spirit::x3 {

template <> struct get_info<banyancroft::query::grammar::Keyword> {
    using result_type = std::string; // NOLINT(readability-identifier-naming): fixed by X3
    std::string operator()(const banyancroft::query::grammar::Keyword& keyword) const
    {
        return "'" + std::string(keyword.text) + "'";
    }
};

template <> struct get_info<banyancroft::query::grammar::EndOfStatement> {
    using result_type = std::string; // NOLINT(readability-identifier-naming): fixed by X3
    std::string operator()(const banyancroft::query::grammar::EndOfStatement& end) const
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

// Boost 1.74 does not pass on the name of a parser that has a semantic action.
template <typename Subject, typename Action> struct get_info<action<Subject, Action>> {
    using result_type = std::string; // NOLINT(readability-identifier-naming): fixed by X3
    std::string operator()(const action<Subject, Action>& parser) const { return what(parser.subject); }
};

} // namespace boost::spirit::x3
