#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string_view>

namespace banyancroft::json {

/** Documents with deeper nesting of arrays and objects are rejected. */
constexpr std::size_t maxDepth = 64;
/** Documents with more values are rejected; the values of a longer one could exceed the memory of a VM. */
constexpr std::size_t maxValues = 500'000;

/**
 * Parses a document that another process wrote.
 *
 * Memory and stack are bounded whatever the bytes are: nlohmann's own parsers recurse for each level of
 * MessagePack, and need about 80 times the size of deeply nested JSON.
 *
 * @throw std::invalid_argument with a short message if the text is not a document or exceeds a limit
 */
nlohmann::json parseJson(std::string_view text);

/** The same for MessagePack. */
nlohmann::json parseMessagePack(std::string_view bytes);

} // namespace banyancroft::json
