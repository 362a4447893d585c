#pragma once

#include "upstreams/record.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace banyancroft::gateway {

/** Names of the header fields that the gateway reads and writes. */
struct HeaderNames {
    /** Identity of one attempt of a caller; upstreams repeat it in their answers. */
    std::string requestId;
    /** Time that is left for the request, in whole milliseconds. */
    std::string deadlineMillis;
    /** Signature of an upstream over the request it answers. */
    std::string signature;
    /** The upstream that a request is meant for; another one refuses it. */
    std::string expectedUpstream;
    /** Load that an upstream tells. */
    std::string load;
    /** Set by an upstream that refuses a request without having run it. */
    std::string notExecuted;
    std::string retryAfter;
    /** The upstream that answers. */
    std::string upstreamId;
    /** How much longer an upstream stays cold, in whole milliseconds. */
    std::string coldMillis;
    /** Signatures of the parts of a merged answer. */
    std::string partSignatures;
    /** Number of shards that a merged answer lacks. */
    std::string missingParts;
};

/** What differs between platforms in the messages of callers and upstreams. */
struct Dialect {
    HeaderNames headers;
    /** Path of the readiness probe. */
    std::string readyPath;
    /** Empty when the value does not follow the format. */
    std::function<std::optional<upstreams::ReportedLoad>(std::string_view)> parseLoad;
};

} // namespace banyancroft::gateway
