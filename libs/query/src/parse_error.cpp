#include "parse_error.h"

#include "characters.h"

#include <algorithm>

namespace banyancroft::query {

namespace {

// Longest part of the statement that an error message quotes after "found".
constexpr std::size_t maxQuotedBytes = 32;

std::string describeFound(std::string_view rest)
{
    if (rest.empty())
        return "the end of the statement";
    std::size_t length = 0;
    while (length < rest.size() && length < maxQuotedBytes && isWordCharacter(rest[length]))
        ++length;
    if (length == 0) {
        length = std::min(rest.find_first_of(" \t\r\n"), std::min(rest.size(), maxQuotedBytes));
        // Extends the quote to the end of a UTF-8 character.
        while (length < rest.size() && (static_cast<unsigned char>(rest[length]) & 0xC0U) == 0x80U)
            ++length;
    }
    return "'" + std::string(rest.substr(0, length)) + "'";
}

} // namespace

std::string describePosition(std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, offset);
    const auto lines = std::count(before.begin(), before.end(), '\n');
    const std::size_t lineStart = lines == 0 ? 0 : before.rfind('\n') + 1;
    // UTF-8 continuation bytes do not count as columns.
    const auto column = std::count_if(before.begin() + static_cast<std::ptrdiff_t>(lineStart), before.end(),
        [](char byte) { return (static_cast<unsigned char>(byte) & 0xC0U) != 0x80U; });
    const std::string columnText = "column " + std::to_string(column + 1);
    return lines == 0 ? columnText : "line " + std::to_string(lines + 1) + ", " + columnText;
}

Error expectationError(std::string_view text, std::size_t offset, const std::string& expected)
{
    const std::string_view rest = text.substr(offset);
    const std::size_t whitespaceLength = std::min(rest.find_first_not_of(" \t\r\n\v\f"), rest.size());
    offset += whitespaceLength;
    return { ErrorKind::InvalidInput,
        describePosition(text, offset) + ": expected " + expected + ", found "
            + describeFound(text.substr(offset)),
        "docs/query-language.md lists the statements" };
}

} // namespace banyancroft::query
