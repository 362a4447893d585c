#pragma once

#include "base/error.h"
#include "query/statement.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace banyancroft::query {

/** Longest statement in bytes, except `load config`. */
constexpr std::size_t maxStatementBytes = 8 * 1024;
/** Longest `load config` statement in bytes: a whole document and the keywords around it. */
constexpr std::size_t maxLoadConfigBytes = 1'000'000 + 1024;
/** Deepest nesting of parentheses in a condition and of objects and arrays in a payload. */
constexpr std::size_t maxNesting = 32;
/** Longest duration in a statement. */
constexpr Duration maxDuration = std::chrono::hours(1);
/** Longest idempotency key in characters. */
constexpr std::size_t maxKeyLength = 200;

/**
 * Parses one statement of the language in docs/query-language.md.
 * @return empty with ErrorKind::InvalidInput; the message names the column, what was expected there and
 * what was found
 */
std::optional<Statement> parseStatement(std::string_view text, Error& reason);

/**
 * Normalises a condition, for components that receive one without its statement.
 * @return empty with ErrorKind::InvalidInput, as for parseStatement()
 */
std::optional<std::string> normaliseCondition(std::string_view text, Error& reason);

} // namespace banyancroft::query
