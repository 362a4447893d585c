#include "membership/zone_views.h"

namespace banyancroft::membership {

bool ZoneViews::adopt(const View& view)
{
    auto [known, added] = views_.try_emplace(view.zone, view);
    if (added)
        return true;
    if (view.number <= known->second.number)
        return false;
    known->second = view;
    return true;
}

const View* ZoneViews::find(const AvailabilityZone& zone) const
{
    auto known = views_.find(zone);
    return known == views_.end() ? nullptr : &known->second;
}

const Member* ZoneViews::homeOf(const AvailabilityZone& zone, const UpstreamId& upstream) const
{
    const View* view = find(zone);
    return view == nullptr ? nullptr : membership::homeOf(upstream, *view);
}

std::vector<const View*> ZoneViews::all() const
{
    std::vector<const View*> result;
    result.reserve(views_.size());
    for (const auto& [zone, view] : views_)
        result.push_back(&view);
    return result;
}

} // namespace banyancroft::membership
