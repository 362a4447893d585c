#pragma once

#include "membership/view.h"

#include <map>
#include <memory>
#include <vector>

namespace banyancroft::membership {

/** Caches the newest known view of each availability zone, for looking up homes. Not thread-safe. */
class ZoneViews {
public:
    /** Stores the view unless one with the same or a higher number is known. @return true when stored */
    bool adopt(const View& view);

    /** Null when no view of the zone is known. */
    const View* find(const AvailabilityZone& zone) const;
    /** Home of an upstream in a zone; null when not known. */
    const Member* homeOf(const AvailabilityZone& zone, const UpstreamId& upstream) const;
    /** All views, in the order of the zones' names. */
    std::vector<const View*> all() const;

private:
    /** Allocated on the heap, since the finder points into the view. */
    struct IndexedView {
        explicit IndexedView(const View& source)
            : view(source)
            , finder(view)
        {
        }

        View view;
        HomeFinder finder;
    };

    std::map<AvailabilityZone, std::shared_ptr<const IndexedView>> views_;
};

} // namespace banyancroft::membership
