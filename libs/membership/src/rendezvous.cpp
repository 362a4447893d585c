#include "base/rendezvous.h"
#include "membership/view.h"

#include <algorithm>

namespace banyancroft::membership {

namespace {

struct Weighted {
    std::uint64_t weight = 0;
    const Member* member = nullptr;

    bool operator>(const Weighted& other) const
    {
        // Ties are broken by name, so that all daemons choose the same order.
        return weight != other.weight ? weight > other.weight : member->vm < other.member->vm;
    }
};

std::vector<const Member*> membersByWeight(std::string_view name, const View& view, std::size_t count)
{
    std::vector<Weighted> weighted;
    weighted.reserve(view.members.size());
    for (const Member& member : view.members)
        weighted.push_back({ weight(member.vm, name), &member });
    count = std::min(count, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(count), weighted.end(),
        std::greater<> {});
    std::vector<const Member*> result;
    result.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        result.push_back(weighted[i].member);
    return result;
}

} // namespace

std::uint64_t weight(const VmId& vm, std::string_view name) { return rendezvousWeight(vm, name); }

HomeFinder::HomeFinder(const View& view)
    : members_(&view.members)
{
    seeds_.reserve(view.members.size());
    for (const Member& member : view.members)
        seeds_.push_back(rendezvousSeed(member.vm));
}

const Member* HomeFinder::homeOf(const UpstreamId& upstream) const
{
    Weighted best;
    for (std::size_t i = 0; i < seeds_.size(); ++i) {
        const Weighted candidate { rendezvousWeight(seeds_[i], upstream.view()), &(*members_)[i] };
        if (best.member == nullptr || candidate > best)
            best = candidate;
    }
    return best.member;
}

const Member* homeOf(const UpstreamId& upstream, const View& view)
{
    return HomeFinder(view).homeOf(upstream);
}

std::vector<const Member*> successors(const UpstreamId& upstream, const View& view, std::size_t count)
{
    return membersByWeight(upstream.view(), view, count);
}

std::vector<const Member*> maintenanceOrder(const View& view)
{
    return membersByWeight(view.zone.view(), view, view.members.size());
}

std::vector<const Member*> watchers(const View& view)
{
    constexpr std::size_t watchersPerZone = 2;
    return membersByWeight(view.zone.view(), view, watchersPerZone);
}

} // namespace banyancroft::membership
