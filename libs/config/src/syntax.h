#pragma once

#include "base/error.h"

#include <string>
#include <string_view>

namespace banyancroft::config {

/** Appends one reference token to a JSON pointer, with '~' and '/' escaped as RFC 6901 says. */
std::string childPointer(std::string_view pointer, std::string_view token);

/**
 * Checks syntax, nesting and duplicate keys without building a document. A JSON library keeps the last of
 * two equal keys, so the document in force would differ from what the operator reads first.
 */
bool checkSyntax(std::string_view text, Error& reason);

} // namespace banyancroft::config
