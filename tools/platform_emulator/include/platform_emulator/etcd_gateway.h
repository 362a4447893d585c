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

/** Range and start revision of a watch, as requested by the client. */
struct WatchRequest {
    KeyRange range;
    /** First revision to report; zero means only changes after the start of the watch. */
    std::int64_t startRevision = 0;
};

/** Reply to a call and whether it wrote, for fault injection and counters. */
struct CallResult {
    HttpReply reply;
    /** True if the call changed a key or a lease. */
    bool wrote = false;
};

/**
 * Implements the HTTP/JSON gateway of etcd v3 on a KeyValueState. As in etcd, keys and values are base64,
 * 64-bit integers are strings, and fields with default values are omitted.
 *
 * Supports range, txn, lease grant, keepalive and revoke. Parses watch requests and encodes their events;
 * PlatformEmulator delivers them. Not thread-safe.
 */
class EtcdGateway {
public:
    explicit EtcdGateway(KeyValueState& state)
        : state_(state)
    {
    }

    /** Handles one call; replies 404 to an unknown path and 400 to an invalid body. */
    CallResult handle(std::string_view path, std::string_view body, TimePoint now);

    /** Parses a create_request; empty if the body is not one. */
    static std::optional<WatchRequest> parseWatch(std::string_view body);
    /** Encodes the first line of a watch stream. */
    std::string encodeWatchCreated() const;
    /** Encodes the events as one line; like all lines of a watch, it ends with a newline. */
    std::string encodeEvents(const std::vector<StoreEvent>& events) const;
    /** Encodes the line that cancels a watch whose start revision has been compacted. */
    std::string encodeCompacted() const;

private:
    KeyValueState& state_;
};

} // namespace banyancroft::tools
