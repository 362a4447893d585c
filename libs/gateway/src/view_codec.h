#pragma once

#include "base/error.h"
#include "store_view.h"

#include <optional>
#include <string>
#include <string_view>

namespace banyancroft::gateway {

/**
 * Update of a view as MessagePack, for another VM. Times travel as ages, since VMs share no clock.
 * @param now of the VM that sends
 */
std::string encodeUpdate(const ViewUpdate& update, TimePoint now);

/**
 * Reads what encodeUpdate() wrote. Empty with ErrorKind::MalformedMessage when the bytes are none.
 * @param requestedAt when the question was sent: the ages count from then, so that no time on the way makes
 * the update look younger than it is
 */
std::optional<ViewUpdate> decodeUpdate(std::string_view bytes, TimePoint requestedAt, Error& reason);

} // namespace banyancroft::gateway
