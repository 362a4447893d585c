#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace banyancroft {

/** Hashes strings and views alike, so that a map is searched without a copy of the key. */
struct StringHash {
    // The library looks for this name.
    using is_transparent = void; // NOLINT(readability-identifier-naming)

    std::size_t operator()(std::string_view text) const noexcept
    {
        return std::hash<std::string_view> {}(text);
    }
};

template <typename Value>
using StringMap = std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;

} // namespace banyancroft
