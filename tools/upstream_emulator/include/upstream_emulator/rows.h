#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace banyancroft::tools {

/** Number of rows of each shard, at every layout and index version. */
constexpr unsigned rowsPerShard = 2;

/**
 * Returns one row, without newline. It consists of shard, versions and row number only, so that a checker
 * can compute the expected rows of a shard and detect wrong or missing ones.
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
