#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <set>

namespace banyancroft::gateway {

/**
 * Availability zones that are evacuated, following the entries of the store.
 *
 * A store that was restored from a copy may lack an evacuation that the operator ordered before and is going
 * to order again. After a restore, an evacuation therefore stays in force until the end of the grace period
 * although the store lacks it; a removal that is seen as such ends it at once. An evacuation that only the
 * copy holds counts, since it may as well have been ordered after the restore. Does no I/O.
 */
class Evacuations {
public:
    /** The store was restored from a copy, whose listing comes next. */
    void storeRestored(TimePoint graceEnd);
    /** Replaces the entries of the store by a full listing. */
    void replaceAll(std::set<AvailabilityZone> zones);
    void set(const AvailabilityZone& zone, bool isEvacuated);
    /** Zones that are evacuated at the given time. */
    std::set<AvailabilityZone> zones(TimePoint now);

private:
    std::set<AvailabilityZone> stored_;
    /** In force before the restore; without effect after the grace period. */
    std::set<AvailabilityZone> held_;
    TimePoint heldUntil_ {};
};

} // namespace banyancroft::gateway
