#include "attempts.h"

#include <algorithm>

namespace banyancroft::gateway {

namespace {

/** Initial backoff before a request is resent to the same replica; doubled with each resend. The queue of a
 * replica drains within a few service times. */
constexpr Duration resendBackoff = std::chrono::milliseconds(20);
/** A replica that still refuses after this many resends is overloaded for longer than a request can wait. */
constexpr unsigned maxResendsToSameUpstream = 3;

bool mayResend(const Attempt& attempt, bool idempotent)
{
    return attempt.ended && (attempt.wasRefused || idempotent);
}

} // namespace

bool isOpen(std::span<const AttemptPointer> attempts, std::size_t shard)
{
    return std::any_of(attempts.begin(), attempts.end(), [shard](const auto& attempt) {
        return attempt->shard == shard && !attempt->ended && !attempt->detached;
    });
}

std::vector<std::uint64_t> triedUpstreams(std::span<const AttemptPointer> attempts, std::size_t shard)
{
    std::vector<std::uint64_t> tried;
    for (const auto& attempt : attempts) {
        if (attempt->shard == shard)
            tried.push_back(attempt->upstream->number);
    }
    return tried;
}

std::vector<std::uint64_t> excludedUpstreams(
    std::span<const AttemptPointer> attempts, std::size_t shard, bool idempotent)
{
    std::vector<std::uint64_t> excluded;
    for (const auto& attempt : attempts) {
        if (attempt->shard == shard && !mayResend(*attempt, idempotent))
            excluded.push_back(attempt->upstream->number);
    }
    return excluded;
}

std::optional<TimePoint> nextResendTime(
    std::span<const AttemptPointer> attempts, std::size_t shard, bool idempotent)
{
    std::optional<TimePoint> lastEnd;
    unsigned resends = 0;
    for (const auto& attempt : attempts) {
        if (attempt->shard != shard)
            continue;
        resends += attempt->toSameUpstream ? 1 : 0;
        if (mayResend(*attempt, idempotent))
            lastEnd = std::max(lastEnd.value_or(TimePoint {}), attempt->endedAt);
    }
    if (!lastEnd || resends >= maxResendsToSameUpstream)
        return std::nullopt;
    return *lastEnd + resendBackoff * (1U << resends);
}

bool hasCarriedRequest(const UpstreamConnection& connection, std::span<const AttemptPointer> attempts)
{
    return std::any_of(attempts.begin(), attempts.end(),
        [&connection](const auto& attempt) { return attempt->usedConnection.lock().get() == &connection; });
}

std::string describeOpenAttempts(std::span<const AttemptPointer> open, TimePoint now)
{
    /** Keeps the log line short. */
    constexpr std::size_t maxListed = 6;
    std::string text;
    for (const auto& attempt : open.first(std::min(open.size(), maxListed))) {
        text.append(text.empty() ? "" : ",").append(attempt->upstream->record.id.view());
        text.append(":").append(std::to_string(toMicros(now - attempt->sentAt) / 1000)).append("ms");
    }
    if (open.size() > maxListed)
        text.append(",more");
    return text.empty() ? "none" : text;
}

} // namespace banyancroft::gateway
