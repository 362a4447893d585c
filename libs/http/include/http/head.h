#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyancroft::http {

/** One header field; the views point into its FieldList. */
struct Field {
    std::string_view name;
    std::string_view value;
};

/** Header fields of one message in flat storage that is reused between messages. */
class FieldList {
public:
    /** Removes all fields. Keeps the memory of a list of ordinary size for the next message. */
    void clear();
    void add(std::string_view name, std::string_view value);

    std::size_t size() const { return spans_.size(); }
    /** Memory that the list holds, used or not. */
    std::size_t memoryBytes() const { return text_.capacity() + spans_.capacity() * sizeof(Span); }
    Field at(std::size_t index) const;
    /** First value of the field, matched without regard to case; empty when it is missing. */
    std::optional<std::string_view> find(std::string_view name) const;

private:
    struct Span {
        std::uint32_t begin = 0;
        std::uint32_t nameLength = 0;
        std::uint32_t valueLength = 0;
    };

    std::string text_;
    std::vector<Span> spans_;
};

/** True for fields that apply to a single connection and are never forwarded. */
bool isHopByHop(std::string_view name);

/** True when the message's Connection field lists this name, so that the field must not be forwarded. */
bool isConnectionOption(const FieldList& fields, std::string_view name);

/** Compares ASCII text without regard to case. */
bool equalsIgnoringCase(std::string_view left, std::string_view right);

/** Parses an unsigned decimal integer; empty for anything else and for more than 18 digits. */
std::optional<std::uint64_t> parseNumber(std::string_view text);

/** Parses a decimal number of seconds with an optional fraction, such as "2" or "0.25"; empty for anything
 * else. More than 24 h count as 24 h. */
std::optional<Duration> parseSeconds(std::string_view text);

} // namespace banyancroft::http
