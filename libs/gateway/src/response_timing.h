#pragma once

#include "base/time.h"

#include <cstddef>

namespace banyancroft::gateway {

/** What decides when an answer has to leave to reach its caller within the objective. */
struct ResponseTimingInputs {
    /** When the first byte of the request arrived. */
    TimePoint arrivedAt {};
    Duration objective {};
    /** Time that earlier attempts of the same caller took. */
    Duration previousAttemptsTime {};
    /** The caller opened a connection for this request. */
    bool openedConnection = false;
    /** Time in one direction between callers and the VM. */
    Duration callerDelay {};
    std::size_t shards = 1;
    /** Processor cores that the VM may use. */
    double processors = 1;
};

/** Time that an answer needs from the VM's decision to the caller: the way, and the VM's own work before. */
Duration responseDelay(const ResponseTimingInputs& inputs);

/**
 * The time at which a scatter-gather request is answered with the parts that are in.
 *
 * Answers the load of many shards on small VMs: an answer that is due waits while the VM sends the
 * sub-requests of another request, which takes milliseconds with a tenth of a core.
 */
TimePoint partialResponseTime(const ResponseTimingInputs& inputs);

} // namespace banyancroft::gateway
