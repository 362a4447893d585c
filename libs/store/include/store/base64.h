#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace banyancroft::store {

/** Base64 with padding (RFC 4648, section 4). */
std::string encodeBase64(std::string_view bytes);
/** Empty when the text is not valid padded base64. */
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace banyancroft::store
