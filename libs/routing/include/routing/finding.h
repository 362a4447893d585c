#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace banyancroft::routing {

enum class Severity : std::uint8_t {
    /** The gateway rejects the document, or a value is outside of its range. */
    Error,
    /** The gateway accepts the document but probably does not do what was meant. */
    Warning,
    /** May be intended. */
    Note,
};

/** "error", "warning" or "note". */
std::string_view toString(Severity severity);

/** A result of checking a configuration. No text holds an API key. */
struct Finding {
    Severity severity = Severity::Note;
    /** Such as `route "search"`; empty for the document as a whole. */
    std::string place;
    /** Such as "timeout"; empty if the finding is not about one field. */
    std::string field;
    std::string message;
    /** What the operator can do about it. */
    std::string remedy;
};

/** A name in quotation marks: shortened, and with control characters replaced, so that it is safe to print.
 */
std::string quoted(std::string_view name);
/** A number without superfluous digits, such as "0.95". */
std::string formatNumber(double number);

} // namespace banyancroft::routing
