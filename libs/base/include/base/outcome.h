#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace banyancroft {

/** What is known of one request or sub-request. The same three values are used on every hop. */
enum class Outcome : std::uint8_t {
    /** It ran and its result is here. */
    Done,
    /** It certainly did not run; sending it again is safe. */
    NotRun,
    /** It may have run. */
    Unknown,
};

/** Why an outcome is not Done, why a shard is lacking, or why a request was refused. */
enum class Reason : std::uint8_t {
    None,
    /** The work could not finish before its deadline, so it was not started. */
    DeadlineTooShort,
    /** No answer arrived before the deadline. */
    DeadlineExceeded,
    /** The admission queue of the upstream is full. */
    QueueFull,
    /** The upstream is in a cold start and its cold limit is used up. */
    ColdLimit,
    /** The upstream refused the work before running it. */
    UpstreamShed,
    /** The connection to the upstream broke or was refused. */
    UpstreamUnreachable,
    /** The upstream sent an answer that does not follow the protocol. */
    UpstreamMalformed,
    /** The upstream reported a failure of its own. */
    UpstreamFailed,
    /** The upstream does not serve the pinned index version. */
    IndexVersionMismatch,
    /** The upstream does not serve the pinned layout version. */
    LayoutVersionMismatch,
    /** The upstream drains. */
    UpstreamDraining,
    /** Operators took the availability zone out. */
    ZoneOut,
    /** The daemon asked is not the home of this upstream; refresh the view. */
    WrongHome,
    /** The home has no current authority over the upstream. */
    NoAuthority,
    /** No daemon is home of the upstream, or the home cannot be reached. */
    HomeUnreachable,
    /** The upstream is not in the configuration in force. */
    UnknownUpstream,
    /** No upstream is left to try. */
    NoCandidate,
    /** The retry budget is used up. */
    RetryBudget,
    /** The sub-request was cancelled. */
    Cancelled,
    /** The idempotency key could not be claimed at the store. */
    ClaimUnavailable,
    /** Another request holds the idempotency key and its outcome is not known yet. */
    ClaimPending,
    /** The daemon is stopping. */
    Stopping,
    /** A limit of the daemon was reached. */
    Overloaded,
};

std::string_view toString(Outcome outcome);
std::string_view toString(Reason reason);
/** One sentence that tells the caller what to do. */
std::string_view remedy(Reason reason);
/** Empty when the number names no Outcome or Reason. */
std::optional<Outcome> outcomeFromNumber(std::uint64_t number);
std::optional<Reason> reasonFromNumber(std::uint64_t number);

} // namespace banyancroft
