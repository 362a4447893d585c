#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace banyancroft::dispatch {

/** Size of one record of a part in bytes. */
constexpr std::size_t recordBytes = 16;

/**
 * Merges the records of all parts and returns the greatest ones in descending order. Records are compared as
 * unsigned bytes; duplicates are kept. An incomplete record at the end of a part is ignored.
 * @param top maximum number of records in the result
 */
std::string mergeTopRecords(std::span<const std::string_view> parts, std::size_t top);

} // namespace banyancroft::dispatch
