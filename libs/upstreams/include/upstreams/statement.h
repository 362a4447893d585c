#pragma once

#include "base/time.h"

#include <optional>

namespace banyancroft::upstreams {

/** What a replica says of itself in an answer. It holds for the run of the replica that gave the answer. */
struct ReplicaStatement {
    /** The replica shuts down and wants no new requests. */
    bool leaving = false;
    /** The replica wants no requests from this VM for this time. */
    std::optional<Duration> restFor;
    /** Remaining time for which the replica stays cold. */
    std::optional<Duration> coldFor;
};

} // namespace banyancroft::upstreams
