#pragma once

#include "membership/view.h"

#include <map>
#include <memory>
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
    /** Boxed, since the finder points into the view. */
    struct Known {
        explicit Known(const View& known)
            : view(known)
            , finder(view)
        {
        }

        View view;
        HomeFinder finder;
    };

    std::map<AvailabilityZone, std::shared_ptr<const Known>> views_;
};

} // namespace banyancroft::membership
