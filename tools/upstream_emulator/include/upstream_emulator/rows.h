#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace banyancroft::tools {

/** Rows that each shard has, at every layout and index version. */
constexpr unsigned rowsPerShard = 2;

/**
 * One row without newline. Shard, versions and number are in it, so that a checker can compute the
 * rows of a shard by itself and tell a wrong or missing one.
 */
inline std::string makeRow(std::string_view shard, std::uint64_t layout, std::uint64_t index, unsigned number)
{
    std::string row = R"({"shard":")";
    row.append(shard).append(R"(","layout":)").append(std::to_string(layout));
    row.append(R"(,"index":)").append(std::to_string(index));
    row.append(R"(,"row":)").append(std::to_string(number));
    return row.append("}");
}

} // namespace banyancroft::tools
