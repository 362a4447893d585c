#pragma once

#include "gateway/dialect.h"
#include "http/message_writer.h"
#include "routing/route_table.h"

#include <span>
#include <string>

namespace banyancroft::gateway {

/** The response of one shard. */
struct ShardResult {
    /** Empty until the shard has responded. */
    std::string signature;
    std::string records;
};

/**
 * Merges the shard results into the response for the caller, which also states the number of missing
 * shards. If two shards have the same signature, the second one is dropped and counts as missing.
 * @param results one element per shard
 */
http::Response mergeShardResults(
    std::span<const ShardResult> results, std::size_t topRecords, const HeaderNames& names);

using routing::requiredShards;

} // namespace banyancroft::gateway
