#pragma once

#include <string>
#include <string_view>

namespace banyancroft::ctl {

/**
 * Readable form of a JSON answer: one line per scalar, and a table per list of objects. Text that is no
 * JSON is given back unchanged.
 */
std::string renderTable(std::string_view json);

} // namespace banyancroft::ctl
