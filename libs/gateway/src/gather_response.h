#pragma once

#include "gateway/dialect.h"
#include "http/message_writer.h"

#include <span>
#include <string>

namespace banyancroft::gateway {

/** The answer of one shard. */
struct ShardResult {
    /** Empty while the shard has not answered. */
    std::string signature;
    std::string records;
};

/**
 * Merges the parts that are in into the caller's answer, with the number of shards that are lacking. A
 * signature that stands twice is used once, and its second shard counts as lacking.
 * @param parts one for each shard
 */
http::Response mergeShardResults(
    std::span<const ShardResult> parts, std::size_t topRecords, const HeaderNames& names);

/** Parts that an answer of `shards` shards has to hold for a coverage of at least `minCoverage`. */
std::size_t requiredShards(std::size_t shards, double minCoverage);

} // namespace banyancroft::gateway
