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

} // namespace banyancroft::gateway
