#pragma once

#include "base/error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace banyancroft::query {

/** "column 7", or "line 2, column 7" behind the first line; columns count characters from 1. */
std::string describePlace(std::string_view text, std::size_t offset);

/** The error for a text in which `expected` does not stand at the offset; blanks there are skipped. */
Error expectationError(std::string_view text, std::size_t offset, const std::string& expected);

} // namespace banyancroft::query
