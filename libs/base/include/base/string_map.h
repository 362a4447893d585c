#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace banyancroft {

/** Transparent hash for strings and string views; a lookup by view does not copy the key. */
struct StringHash {
    // The standard library requires this name.
    using is_transparent = void; // NOLINT(readability-identifier-naming)

    std::size_t operator()(std::string_view text) const noexcept
    {
        return std::hash<std::string_view> {}(text);
    }
};

template <typename Value>
using StringMap = std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

} // namespace banyancroft
