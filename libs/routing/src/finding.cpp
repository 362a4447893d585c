#include "routing/finding.h"

#include <array>
#include <cstdio>

namespace banyancroft::routing {

std::string_view toString(Severity severity)
{
    switch (severity) {
    case Severity::Error:
        return "error";
    case Severity::Warning:
        return "warning";
    case Severity::Note:
        return "note";
    }
    return "note";
}

std::string quoted(std::string_view name)
{
    constexpr std::size_t maxBytes = 100;
    std::string result = "\"";
    for (const char c : name.substr(0, maxBytes)) {
        const bool isControl = static_cast<unsigned char>(c) < ' ' || c == '\x7f';
        result += isControl ? '?' : c;
    }
    if (name.size() > maxBytes)
        result += "...";
    return result + "\"";
}

std::string formatNumber(double number)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.10g", number);
    return text.data();
}

} // namespace banyancroft::routing
