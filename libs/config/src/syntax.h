#pragma once

#include "base/error.h"

#include <string>
#include <string_view>

namespace banyancroft::config {

/** Appends one reference token to a JSON pointer, with '~' and '/' escaped according to RFC 6901. */
std::string childPointer(std::string_view pointer, std::string_view token);

/**
 * Checks JSON syntax, nesting depth and duplicate keys without building a document. The JSON library keeps
 * the last of two equal keys, so the value in force could differ from the one that an operator reads first.
 */
bool checkSyntax(std::string_view text, Error& reason);

} // namespace banyancroft::config
