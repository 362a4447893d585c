#include "http/head.h"

#include <algorithm>
#include <array>

namespace banyancroft::http {

namespace {

/** The memory of a longer list is freed with its fields, so that idle connections hold little. */
constexpr std::size_t maxKeptBytes = 8 * 1024;

char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; }

} // namespace

void FieldList::clear()
{
    if (memoryBytes() > maxKeptBytes) {
        text_ = std::string();
        spans_ = std::vector<Span>();
        return;
    }
    text_.clear();
    spans_.clear();
}

void FieldList::add(std::string_view name, std::string_view value)
{
    const auto begin = static_cast<std::uint32_t>(text_.size());
    text_.append(name).append(value);
    spans_.push_back(
        { begin, static_cast<std::uint32_t>(name.size()), static_cast<std::uint32_t>(value.size()) });
}

Field FieldList::at(std::size_t index) const
{
    const auto& span = spans_[index];
    const std::string_view text(text_);
    return { text.substr(span.begin, span.nameLength),
        text.substr(span.begin + span.nameLength, span.valueLength) };
}

std::optional<std::string_view> FieldList::find(std::string_view name) const
{
    for (std::size_t i = 0; i < spans_.size(); ++i) {
        const auto field = at(i);
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(
            left.begin(), left.end(), right.begin(), [](char a, char b) { return lower(a) == lower(b); });
}

bool isHopByHop(std::string_view name)
{
    static constexpr std::array<std::string_view, 9> names { "connection", "keep-alive", "transfer-encoding",
        "te", "trailer", "upgrade", "proxy-connection", "proxy-authorization", "expect" };
    return std::any_of(names.begin(), names.end(),
        [name](std::string_view candidate) { return equalsIgnoringCase(candidate, name); });
}

bool isConnectionOption(const FieldList& fields, std::string_view name)
{
    auto list = fields.find("connection").value_or(std::string_view());
    while (!list.empty()) {
        const auto end = std::min(list.find(','), list.size());
        auto token = list.substr(0, end);
        list.remove_prefix(std::min(end + 1, list.size()));
        while (!token.empty() && token.front() == ' ')
            token.remove_prefix(1);
        while (!token.empty() && token.back() == ' ')
            token.remove_suffix(1);
        if (equalsIgnoringCase(token, name))
            return true;
    }
    return false;
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    constexpr std::size_t maxDigits = 18;
    if (text.empty() || text.size() > maxDigits)
        return std::nullopt;
    std::uint64_t number = 0;
    for (const char c : text) {
        if (c < '0' || c > '9')
            return std::nullopt;
        number = number * 10 + static_cast<std::uint64_t>(c - '0');
    }
    return number;
}

std::optional<Duration> parseSeconds(std::string_view text)
{
    const auto point = text.find('.');
    const auto seconds = parseNumber(text.substr(0, point));
    if (!seconds)
        return std::nullopt;
    auto result = statedDuration(*seconds, std::chrono::seconds(1));
    if (point == std::string_view::npos)
        return result;
    auto digits = text.substr(point + 1);
    constexpr std::size_t maxDigits = 9;
    if (digits.size() > maxDigits)
        return std::nullopt;
    auto unit = Duration(std::chrono::seconds(1));
    for (std::size_t i = 0; i < digits.size(); ++i)
        unit /= 10;
    const auto fraction = parseNumber(digits);
    if (!fraction)
        return std::nullopt;
    return std::min<Duration>(result + statedDuration(*fraction, unit), maxStatedDuration);
}

} // namespace banyancroft::http
