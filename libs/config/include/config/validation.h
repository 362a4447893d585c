#pragma once

#include "base/error.h"
#include "config/document.h"

#include <cstddef>
#include <string_view>

namespace banyancroft::config {

/** Longest id or name in characters. */
constexpr std::size_t maxIdLength = 128;

/**
 * True for letters, digits, '.', '_' and '-', starting with a letter or digit. Ids become parts of store
 * keys, headers and statements, so no other character is allowed.
 */
bool isValidId(std::string_view text);

/**
 * Checks ranges, ids and references of a document.
 * @return false with ErrorKind::InvalidInput; the message starts with the JSON pointer of the invalid value
 */
bool validate(const Document& document, Error& reason);

} // namespace banyancroft::config
