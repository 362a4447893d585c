#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "config/edit.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace banyancroft::query {

/** `search C [where …] [limit N] [deadline D] [require all]` */
struct Search {
    std::string collection;
    /**
     * Condition in normalised form, empty for all rows: single spaces, parentheses only where precedence
     * needs them, strings and numbers as in JSON. Equal conditions differ at most in the order of terms.
     */
    std::string where;
    /** Most rows wanted; empty for all. */
    std::optional<std::uint64_t> limit;
    /** Empty: the default of the policy. */
    std::optional<Duration> deadline;
    /** True: a partial answer is an error to this caller. */
    bool requireAll = false;

    bool operator==(const Search&) const = default;
};

/** `submit OPERATION [key "K"] {…json…} [deadline D]` */
struct Submit {
    std::string operation;
    /** Empty when not given; non-idempotent operations need one. */
    IdempotencyKey key;
    /** JSON object as the caller wrote it. */
    std::string payload;
    std::optional<Duration> deadline;

    bool operator==(const Submit&) const = default;
};

using config::DrainUpstream;
using config::LoadConfig;
using config::ReturnZone;
using config::SetPolicy;
using config::SetService;
using config::TakeOutZone;
using config::UndrainUpstream;

/** `release zone Z`: the operator confirms that the VMs of a lapsed zone have stopped. */
struct ReleaseZone {
    AvailabilityZone zone;

    bool operator==(const ReleaseZone&) const = default;
};

enum class ShowTopic : std::uint8_t { Coverage, Config, Views };

/** `show coverage|config|views` */
struct Show {
    ShowTopic topic = ShowTopic::Coverage;

    bool operator==(const Show&) const = default;
};

/** `status` */
struct Status {
    bool operator==(const Status&) const = default;
};

/** `explain T` */
struct Explain {
    /** Trace id from the traceparent header or the answer. */
    std::string traceId;

    bool operator==(const Explain&) const = default;
};

using Statement = std::variant<Search, Submit, TakeOutZone, ReturnZone, DrainUpstream, UndrainUpstream,
    SetService, SetPolicy, LoadConfig, ReleaseZone, Show, Status, Explain>;

/**
 * True for statements that change the deployment; they need the operators' credential. Statements that
 * only read, and `submit`, are open to callers.
 */
bool isOperatorCommand(const Statement& statement);

/** The edit of the configuration document that the statement asks for; empty for all other statements. */
std::optional<config::Edit> configEdit(const Statement& statement);

/** The statement in normalised form; parseStatement() of it gives an equal statement. */
std::string toString(const Statement& statement);

} // namespace banyancroft::query
