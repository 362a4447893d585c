#include "json_text.h"

#include "query/parser.h"

#include <nlohmann/json.hpp>

namespace banyancroft::query {

namespace {

using Json = nlohmann::json;

// Length of the text up to the bracket that closes the first one. Checks the nesting depth but no other
// syntax.
std::optional<std::size_t> balancedLength(std::string_view text, JsonError& error)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char character = text[i];
        if (inString) {
            if (character == '\\') {
                ++i;
            } else if (character == '"') {
                inString = false;
            }
            continue;
        }
        if (character == '"') {
            inString = true;
        } else if (character == '{' || character == '[') {
            if (++depth > maxNesting) {
                error = { i, "JSON nested deeper than " + std::to_string(maxNesting) + " levels" };
                return std::nullopt;
            }
        } else if (character == '}' || character == ']') {
            if (--depth == 0)
                return i + 1;
        }
    }
    error = { text.size(), "the JSON object is not closed" };
    return std::nullopt;
}

} // namespace

std::optional<std::size_t> jsonObjectLength(std::string_view text, JsonError& error)
{
    if (!text.starts_with('{')) {
        error = { 0, "a JSON object is expected" };
        return std::nullopt;
    }
    auto length = balancedLength(text, error);
    if (!length)
        return std::nullopt;
    const std::string_view object = text.substr(0, *length);
    if (Json::accept(object))
        return length;
    try {
        const Json value = Json::parse(object);
        error = { 0, "not JSON" };
    } catch (const Json::parse_error& parseError) {
        // The library counts bytes from 1.
        error = { parseError.byte == 0 ? 0 : std::min(parseError.byte - 1, object.size()), "not JSON" };
    }
    return std::nullopt;
}

std::optional<std::string> unescapeString(std::string_view literal)
{
    const Json value = Json::parse(literal, nullptr, false);
    if (!value.is_string())
        return std::nullopt;
    return value.get<std::string>();
}

std::string escapeString(std::string_view text) { return Json(std::string(text)).dump(); }

std::optional<std::string> normaliseNumber(std::string_view literal)
{
    const Json value = Json::parse(literal, nullptr, false);
    if (!value.is_number())
        return std::nullopt;
    // The JSON library converts an integer beyond 64 bits to a double, which would change the value.
    const bool isInteger = literal.find_first_of(".eE") == std::string_view::npos;
    if (isInteger && value.is_number_float())
        return std::nullopt;
    return value.dump();
}

std::string formatNumber(double value) { return Json(value).dump(); }

bool isUtf8(std::string_view text)
{
    try {
        escapeString(text);
        return true;
    } catch (const Json::type_error&) {
        return false;
    }
}

} // namespace banyancroft::query
