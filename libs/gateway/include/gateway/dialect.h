#pragma once

#include "upstreams/record.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace banyancroft::gateway {

/** Names of the HTTP header fields that the gateway reads and writes. */
struct HeaderNames {
    /** Identifies one attempt of a caller; upstreams echo it in their responses. */
    std::string requestId;
    /** Time remaining until the deadline of the request, in whole milliseconds. */
    std::string deadlineMillis;
    /** Signature of an upstream over the request that it answers; required on a success. */
    std::string signature;
    /** Identifier of the upstream that a request is addressed to; any other upstream refuses it. */
    std::string expectedUpstream;
    /** Load reported by an upstream. */
    std::string load;
    /** Set by an upstream that refused a request without executing it. */
    std::string notExecuted;
    std::string retryAfter;
    /** Identifier of the responding upstream. */
    std::string upstreamId;
    /** Remaining time for which an upstream stays cold, in whole milliseconds. */
    std::string coldMillis;
    /** Comma-separated signatures of the shard responses in a merged response. */
    std::string partSignatures;
    /** Number of shards missing from a merged response. */
    std::string missingParts;
    /** "1" in the responses of an upstream that is shutting down. */
    std::string leaving;
    /** Carries the API key of a caller; never sent to upstreams if the configuration has customers. */
    std::string authorization;
    /** Name of the customer, which the gateway sets on requests to upstreams. */
    std::string customer;
};

/** Platform-specific names and formats in the HTTP messages of callers and upstreams. */
struct Dialect {
    HeaderNames headers;
    /** Authentication scheme before the API key; matched without regard to case. */
    std::string keyScheme;
    /** URL path of the readiness probe. */
    std::string readyPath;
    /** Parses the value of the load field; returns nullopt if the value is malformed. */
    std::function<std::optional<upstreams::ReportedLoad>(std::string_view)> parseLoad;
};

} // namespace banyancroft::gateway
