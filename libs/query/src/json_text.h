#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace banyancroft::query {

/** A fault inside JSON text. */
struct JsonFault {
    std::size_t offset = 0;
    std::string message;
};

/**
 * Length of the JSON object at the start of the text.
 * @return empty and a filled fault when the text does not start with a well-formed object
 */
std::optional<std::size_t> jsonObjectLength(std::string_view text, JsonFault& fault);

/** Value of a JSON string literal, quotes included; empty when an escape is wrong. */
std::optional<std::string> unescapeString(std::string_view literal);

/** JSON string literal with quotes. */
std::string escapeString(std::string_view text);

/** The number in its shortest form; empty when it does not fit 64 bits or a double. */
std::optional<std::string> normaliseNumber(std::string_view literal);

/** Shortest form that reads back as the same double. */
std::string formatNumber(double value);

bool isUtf8(std::string_view text);

} // namespace banyancroft::query
