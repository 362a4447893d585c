#pragma once

#include "store/store.h"

#include <string>
#include <string_view>

namespace banyancroft::store {

/** Request and response bodies of the etcd v3 JSON gateway. Pure functions. */

std::string encodeGet(std::string_view key);
std::string encodeList(std::string_view prefix);
std::string encodeSwap(const Swap& swap);
std::string encodeLeaseGrant(Duration timeToLive);
std::string encodeLeaseId(LeaseId lease);
std::string encodeWatch(std::string_view prefix, Revision after);

/** All parsers return empty with ErrorKind::MalformedMessage when the body is not a valid response. */
std::optional<Listing> parseRange(std::string_view body, Error& reason);
std::optional<SwapResult> parseSwap(std::string_view body, Error& reason);
std::optional<LeaseGrant> parseLeaseGrant(std::string_view body, Error& reason);
/** Also empty with ErrorKind::NotFound when the lease has lapsed. */
std::optional<LeaseGrant> parseKeepAlive(std::string_view body, Error& reason);

/** One line of a watch stream. */
struct WatchLine {
    std::vector<KeyValue> changes;
};
/** Also empty with ErrorKind::Unavailable when the service ended the watch. */
std::optional<WatchLine> parseWatchLine(std::string_view line, Error& reason);

/** Returns the error for a response whose status is not 200. */
Error errorForStatus(unsigned status, std::string_view body);

} // namespace banyancroft::store
