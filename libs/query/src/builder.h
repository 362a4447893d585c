#pragma once

#include "basic_parsers.h"
#include "query/statement.h"

#include <array>
#include <functional>

namespace banyancroft::query::grammar {

// Clauses that may appear once each, in any order.
enum class Clause : std::uint8_t { Where, Limit, Deadline, RequireAll, Force, IfVersion };

// What the semantic actions fill. One is made per parse.
struct Builder {
    Statement statement;
    std::array<bool, 6> seen {};
    std::size_t depth = 0;
    config::EditOptions options;

    template <typename Kind> Kind& as()
    {
        if (!std::holds_alternative<Kind>(statement))
            statement.emplace<Kind>();
        return std::get<Kind>(statement);
    }
};

struct BuilderTag;

template <typename Context> Builder& builder(const Context& context)
{
    return x3::get<BuilderTag>(context).get();
}

} // namespace banyancroft::query::grammar
