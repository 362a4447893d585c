#pragma once

#include "base/error.h"
#include "config/document.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace banyancroft::config {

/** Longest document in bytes; the platform's store accepts values up to 1 MB. */
constexpr std::size_t maxDocumentBytes = 1'000'000;
/** Deepest nesting of objects and arrays; the format itself needs 8. */
constexpr std::size_t maxDocumentNesting = 16;

/**
 * Reads and validates a configuration document.
 *
 * Unknown, missing and duplicate fields, values out of range, duplicate ids and references to ids that
 * do not exist are errors.
 * @return empty with ErrorKind::InvalidInput; the message starts with the JSON pointer of the invalid value
 */
std::optional<Document> parseDocument(std::string_view text, Error& reason);

/** Serialises a document as compact JSON; parseDocument() of the result gives an equal document. */
std::string toJson(const Document& document);

} // namespace banyancroft::config
