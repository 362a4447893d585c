#pragma once

#include <string>
#include <string_view>

namespace banyancroft::ctl {

/**
 * Formats a JSON object for reading: one line per scalar, and one table per list of objects. Any other text
 * is returned unchanged.
 */
std::string renderTable(std::string_view json);

} // namespace banyancroft::ctl
