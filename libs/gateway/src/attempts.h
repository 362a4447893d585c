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

/** An attempt to send a request to one replica, and its outcome. */
struct Attempt {
    std::size_t shard = 0;
    upstreams::UpstreamPointer upstream;
    /** The connection on which a response is awaited. */
    std::shared_ptr<UpstreamConnection> connection;
    /** The connection on which the request was sent, also after its response. */
    std::weak_ptr<UpstreamConnection> usedConnection;
    TimePoint startedAt {};
    TimePoint sentAt {};
    TimePoint endedAt {};
    /** The replica has been sent this request before. */
    bool toSameUpstream = false;
    /** The replica refused the request without executing it. */
    bool wasRefused = false;
    /** No idle connection was available, so one was opened for this attempt. */
    bool openedConnection = false;
    bool sent = false;
    bool ended = false;
    /** The request plan no longer tracks this attempt, because its connection failed or was slow to open. */
    bool detached = false;
};

using AttemptPointer = std::shared_ptr<Attempt>;

/** Returns true while an attempt for the shard is in progress. */
bool isOpen(std::span<const AttemptPointer> attempts, std::size_t shard);

/** Numbers of the replicas of the shard that an attempt has been made to, including pending connects. */
std::vector<std::uint64_t> triedUpstreams(std::span<const AttemptPointer> attempts, std::size_t shard);

/**
 * Numbers of the replicas of the shard that must not receive the request again. Excludes replicas that
 * refused it and, for an idempotent request, all replicas whose attempt has ended.
 */
std::vector<std::uint64_t> excludedUpstreams(
    std::span<const AttemptPointer> attempts, std::size_t shard, bool idempotent);

/**
 * Returns the earliest time at which the request may be resent to a replica that has already received it,
 * or nullopt if it may not be resent.
 *
 * Needed for shards with a single remaining replica, which refuses requests while its queue is full. The
 * backoff doubles with each resend; after a limited number of resends the shard is abandoned.
 */
std::optional<TimePoint> nextResendTime(
    std::span<const AttemptPointer> attempts, std::size_t shard, bool idempotent);

/**
 * Returns true if one of the attempts was sent on the connection.
 *
 * A replica may send a second copy of a response where the next one is expected. Only the request ID tells
 * them apart, so a request must not be sent twice on one connection.
 */
bool hasCarriedRequest(const UpstreamConnection& connection, std::span<const AttemptPointer> attempts);

/** Formats the replicas that have not responded, with the age of each attempt, for the log. */
std::string describeOpenAttempts(std::span<const AttemptPointer> open, TimePoint now);

} // namespace banyancroft::gateway
