#pragma once

#include "basic_parsers.h"
#include "query/statement.h"

#include <array>
#include <functional>

namespace banyancroft::query::grammar {

// Clauses that may appear at most once each, in any order.
enum class Clause : std::uint8_t { Where, Limit, Deadline, RequireAll, Force, IfVersion };

// State of one parse, which the semantic actions fill.
struct StatementBuilder {
    Statement statement;
    std::array<bool, 6> seenClauses {};
    std::size_t nestingDepth = 0;
    config::EditOptions options;

    template <typename Kind> Kind& as()
    {
        if (!std::holds_alternative<Kind>(statement))
            statement.emplace<Kind>();
        return std::get<Kind>(statement);
    }
};

struct BuilderTag;

template <typename Context> StatementBuilder& builder(const Context& context)
{
    return x3::get<BuilderTag>(context).get();
}

} // namespace banyancroft::query::grammar
