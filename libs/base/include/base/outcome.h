#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace banyancroft {

/** Whether a request or sub-request ran, as far as known. The same three values are used on every hop. */
enum class Outcome : std::uint8_t {
    /** It ran and its result is available. */
    Done,
    /** It certainly did not run; it is safe to send it again. */
    NotRun,
    /** It may have run. */
    Unknown,
};

/** Why an outcome is not Done, why a shard is missing from an answer, or why a request was refused. */
enum class Reason : std::uint8_t {
    None,
    /** The request was not started because it could not have finished before its deadline. */
    DeadlineTooShort,
    /** No answer arrived before the deadline. */
    DeadlineExceeded,
    /** The admission queue of the upstream is full. */
    QueueFull,
    /** The upstream is cold and has reached its limit for cold starts. */
    ColdLimit,
    /** The upstream shed load: it refused the request without running it. */
    UpstreamShed,
    /** The connection to the upstream was refused or lost. */
    UpstreamUnreachable,
    /** The upstream sent an answer that violates the protocol. */
    UpstreamMalformed,
    /** The upstream reported an internal failure. */
    UpstreamFailed,
    /** The upstream does not serve the pinned index version. */
    IndexVersionMismatch,
    /** The upstream does not serve the pinned layout version. */
    LayoutVersionMismatch,
    /** The upstream is draining and accepts no new requests. */
    UpstreamDraining,
    /** Operators took the availability zone out of service. */
    ZoneOut,
    /** The receiving daemon is not the home of the upstream; the sender has to refresh its view. */
    WrongHome,
    /** The home has no valid authority over the upstream. */
    NoAuthority,
    /** No daemon is the home of the upstream, or the home cannot be reached. */
    HomeUnreachable,
    /** The upstream is not in the configuration in force. */
    UnknownUpstream,
    /** No upstream of the group can be tried. */
    NoCandidate,
    /** The retry budget is exhausted. */
    RetryBudget,
    /** The sub-request was cancelled. */
    Cancelled,
    /** The idempotency key could not be claimed in the store. */
    ClaimUnavailable,
    /** Another request has claimed the idempotency key and its outcome is not known yet. */
    ClaimPending,
    /** The daemon is stopping. */
    Stopping,
    /** A limit of the daemon was reached. */
    Overloaded,
};

std::string_view toString(Outcome outcome);
std::string_view toString(Reason reason);
/** What the caller can do about it; empty when nothing needs to be done. */
std::string_view remedy(Reason reason);
/** Empty when the number is not a value of the enumeration. */
std::optional<Outcome> outcomeFromNumber(std::uint64_t number);
std::optional<Reason> reasonFromNumber(std::uint64_t number);

} // namespace banyancroft
