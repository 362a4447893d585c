#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace banyancroft::query {

/** An error in JSON text. */
struct JsonError {
    /** Position in bytes from the start of the text. */
    std::size_t offset = 0;
    std::string message;
};

/**
 * Length in bytes of the JSON object at the start of the text.
 * @return empty, with the error filled in, when the text does not start with a well-formed object
 */
std::optional<std::size_t> jsonObjectLength(std::string_view text, JsonError& error);

/** Value of a JSON string literal, which includes its quotes; empty when the literal is malformed. */
std::optional<std::string> unescapeString(std::string_view literal);

/** JSON string literal, with quotes, of a text. */
std::string escapeString(std::string_view text);

/** Shortest form of a JSON number; empty when it does not fit a 64-bit integer or a double. */
std::optional<std::string> normaliseNumber(std::string_view literal);

/** Shortest form that parses to the same double. */
std::string formatNumber(double value);

bool isUtf8(std::string_view text);

} // namespace banyancroft::query
