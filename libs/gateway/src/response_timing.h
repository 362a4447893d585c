#pragma once

#include "base/time.h"

#include <cstddef>

namespace banyancroft::gateway {

/** Inputs for the latest time at which a response can be sent and still meet the latency objective. */
struct ResponseTimingInputs {
    /** When the first byte of the request arrived. */
    TimePoint arrivedAt {};
    /** Latency objective of the route, as seen by the caller. */
    Duration objective {};
    /** Time that earlier attempts of the same caller request took. */
    Duration previousAttemptsTime {};
    /** Whether the caller opened a new connection for this request. */
    bool openedConnection = false;
    /** One-way network delay between callers and the VM. */
    Duration callerDelay {};
    /** Time that the response takes to the VM that the caller is connected to, if that is another one. */
    Duration returnDelay {};
    std::size_t shards = 1;
    /** Processor cores available to the VM; may be fractional. */
    double processors = 1;
};

/** Time reserved for returning a response: a network round trip to the caller and the time to write it. */
Duration responseDelay(const ResponseTimingInputs& inputs);

/**
 * Returns the time at which a scatter-gather request is answered with the shard results received so far.
 *
 * The result allows for a VM that is busy sending the sub-requests of another request when the response
 * is due, which takes milliseconds for many shards on a tenth of a core.
 */
TimePoint partialResponseTime(const ResponseTimingInputs& inputs);

} // namespace banyancroft::gateway
