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
    /** Maximum number of rows in the result; empty for no limit. */
    std::optional<std::uint64_t> limit;
    /** Empty: the default deadline of the policy. */
    std::optional<Duration> deadline;
    /** True: a partial result is reported as an error. */
    bool requireAll = false;

    bool operator==(const Search&) const = default;
};

/** `submit OPERATION [key "K"] {…json…} [deadline D]` */
struct Submit {
    std::string operation;
    /** Empty when not given; required for non-idempotent operations. */
    IdempotencyKey key;
    /** JSON object, unchanged as sent by the caller. */
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

/** `release zone Z`: the operator confirms that all VMs of the zone that hold no lease have stopped. */
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
 * True for statements that change the deployment and therefore require the operators' credential. All others,
 * `submit` included, are open to every caller.
 */
bool isOperatorCommand(const Statement& statement);

/** The edit of the configuration document that a statement requests; empty for all other statements. */
std::optional<config::Edit> configEdit(const Statement& statement);

/** The statement in normalised form; parseStatement() of the result gives an equal statement. */
std::string toString(const Statement& statement);

} // namespace banyancroft::query
