#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace banyancroft::dispatch {

/** Bytes of one record of a part. */
constexpr std::size_t recordBytes = 16;

/**
 * Merges parts into the greatest records, greatest first, compared byte by byte; equal records all count.
 * A remainder of a part that is shorter than a record is left out.
 * @param top most records in the result
 */
std::string mergeTopRecords(std::span<const std::string_view> parts, std::size_t top);

} // namespace banyancroft::dispatch
