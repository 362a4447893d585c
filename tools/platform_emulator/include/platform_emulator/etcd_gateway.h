#pragma once

#include "base/time.h"
#include "http_server/http_server.h"
#include "platform_emulator/key_value_state.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyancroft::tools {

/** A watch as the client asked for it. */
struct WatchRequest {
    KeyRange range;
    /** First revision to report; zero means "from now on". */
    std::int64_t startRevision = 0;
};

/** What a call did, for faults and counters. */
struct CallResult {
    HttpReply reply;
    /** True when the call changed a key or a lease. */
    bool wrote = false;
};

/**
 * The etcd v3 HTTP/JSON gateway over a KeyValueState: keys and values in base64, 64-bit integers as
 * strings, fields with default values left out, as the published gateway does it.
 *
 * Covers range, txn, lease grant, keepalive and revoke; watches are parsed and encoded here and
 * delivered by the server. Owned by one thread.
 */
class EtcdGateway {
public:
    explicit EtcdGateway(KeyValueState& state)
        : state_(state)
    {
    }

    /** Answers one call; an unknown path gives 404, a body that is no such call 400. */
    CallResult handle(std::string_view path, std::string_view body, TimePoint now);

    /** Empty when the body is no create_request. */
    static std::optional<WatchRequest> parseWatch(std::string_view body);
    /** First line of a watch. */
    std::string encodeWatchCreated() const;
    /** One line with the events; all lines end with a newline. */
    std::string encodeEvents(const std::vector<StoreEvent>& events) const;
    /** The line that ends a watch which starts before the kept history. */
    std::string encodeCompacted() const;

private:
    KeyValueState& state_;
};

} // namespace banyancroft::tools
