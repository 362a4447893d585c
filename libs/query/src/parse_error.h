#pragma once

#include "base/error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace banyancroft::query {

/** "column 7", or "line 2, column 7" after the first line; columns count characters from 1. */
std::string describePosition(std::string_view text, std::size_t offset);

/** Error for a text that lacks `expected` at the offset; whitespace at the offset is skipped. */
Error expectationError(std::string_view text, std::size_t offset, const std::string& expected);

} // namespace banyancroft::query
