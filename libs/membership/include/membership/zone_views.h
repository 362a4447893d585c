#pragma once

#include "membership/view.h"

#include <map>
#include <vector>

namespace banyancroft::membership {

/** The newest view known of each availability zone, for entries that look up homes. Not thread-safe. */
class ZoneViews {
public:
    /** Takes the view unless one with the same or a higher number is known. @return true when taken */
    bool adopt(const View& view);

    /** Null when nothing is known of the zone. */
    const View* find(const AvailabilityZone& zone) const;
    /** Home of an upstream in a zone; null when not known. */
    const Member* homeOf(const AvailabilityZone& zone, const UpstreamId& upstream) const;
    /** All views, in the order of the zones' names. */
    std::vector<const View*> all() const;

private:
    std::map<AvailabilityZone, View> views_;
};

} // namespace banyancroft::membership
