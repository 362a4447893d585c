#include "membership/zone_views.h"

namespace banyancroft::membership {

bool ZoneViews::adopt(const View& view)
{
    auto& known = views_[view.zone];
    if (known && view.number <= known->view.number)
        return false;
    known = std::make_shared<const IndexedView>(view);
    return true;
}

const View* ZoneViews::find(const AvailabilityZone& zone) const
{
    auto known = views_.find(zone);
    return known == views_.end() ? nullptr : &known->second->view;
}

const Member* ZoneViews::homeOf(const AvailabilityZone& zone, const UpstreamId& upstream) const
{
    auto known = views_.find(zone);
    return known == views_.end() ? nullptr : known->second->finder.homeOf(upstream);
}

std::vector<const View*> ZoneViews::all() const
{
    std::vector<const View*> result;
    result.reserve(views_.size());
    for (const auto& [zone, known] : views_)
        result.push_back(&known->view);
    return result;
}

} // namespace banyancroft::membership
