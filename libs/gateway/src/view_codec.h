#pragma once

#include "base/error.h"
#include "store_view.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyancroft::gateway {

/**
 * Encodes an update as MessagePack for another VM. Times are sent as ages, since VMs share no clock.
 * @param now current time on the clock of the sender
 */
std::string encodeUpdate(const ViewUpdate& update, TimePoint now);

/**
 * Decodes the output of encodeUpdate(). Empty with ErrorKind::MalformedMessage if the bytes are malformed.
 * @param requestedAt time at which the request was sent. Ages are subtracted from it, so that time in transit
 *     does not make the update look newer than it is.
 */
std::optional<ViewUpdate> decodeUpdate(std::string_view bytes, TimePoint requestedAt, Error& reason);

/** Path at which a VM serves its view to other VMs, without the query. */
constexpr std::string_view relayPath = "/changes";

/** The part of another VM's view that a VM has. */
struct RelayQuestion {
    ViewPosition known;
    /** StoreView::retainedDigest() of the asking VM. */
    std::uint64_t knownRetained = 0;
};

/** HTTP request target of a question for changes; era and digest are left out while they are zero. */
std::string encodeQuestion(const RelayQuestion& question);
/** Decodes the output of encodeQuestion(); empty for another path or an unreadable number. */
std::optional<RelayQuestion> decodeQuestion(std::string_view target);

} // namespace banyancroft::gateway
