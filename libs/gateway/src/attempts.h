#pragma once

#include "base/time.h"
#include "upstream_connection.h"
#include "upstreams/registry.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace banyancroft::gateway {

/** One send of a request to one replica. */
struct Attempt {
    std::size_t shard = 0;
    upstreams::UpstreamPointer upstream;
    std::shared_ptr<UpstreamConnection> connection;
    TimePoint startedAt {};
    TimePoint sentAt {};
    TimePoint endedAt {};
    /** The replica had the request before. */
    bool toSameUpstream = false;
    /** The replica refused the request without having run it. */
    bool wasRefused = false;
    bool openedConnection = false;
    bool sent = false;
    bool ended = false;
    /** No longer counted by the plan: its connection took too long to open. */
    bool detached = false;
};

using AttemptPointer = std::shared_ptr<Attempt>;

/** True while a send to the shard may still be answered. */
bool isOpen(std::span<const AttemptPointer> attempts, std::size_t shard);

/** Replicas of the shard that had the request, or for which a connection is being opened. */
std::vector<std::uint64_t> triedUpstreams(std::span<const AttemptPointer> attempts, std::size_t shard);

/**
 * The same without those that may get the request again: a replica that refused it, and of a repeatable
 * request one whose answer was lost.
 */
std::vector<std::uint64_t> excludedUpstreams(
    std::span<const AttemptPointer> attempts, std::size_t shard, bool repeatable);

/**
 * When a replica that had the request may get it again; empty when none may.
 *
 * Answers the load of shards with one replica left, which refuses a request while its queue is full: the
 * pause doubles with each such send, and after some of them the shard is given up.
 */
std::optional<TimePoint> nextResendTime(
    std::span<const AttemptPointer> attempts, std::size_t shard, bool repeatable);

/** Replicas of which the answers are lacking, with the age of the sends, for the log. */
std::string describeOpenAttempts(std::span<const AttemptPointer> open, TimePoint now);

} // namespace banyancroft::gateway
