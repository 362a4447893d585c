#include "search/topology.h"

#include <algorithm>

namespace banyancroft::search {

std::optional<std::uint32_t> Topology::findCollection(std::string_view name) const
{
    const auto found = std::find_if(collections.begin(), collections.end(),
        [&](const auto& collection) { return collection.name == name; });
    if (found == collections.end())
        return std::nullopt;
    return static_cast<std::uint32_t>(found - collections.begin());
}

const TopologyOperation* Topology::findOperation(std::string_view name) const
{
    const auto found = std::find_if(
        operations.begin(), operations.end(), [&](const auto& operation) { return operation.name == name; });
    return found == operations.end() ? nullptr : &*found;
}

bool sameGroups(const Topology& left, const Topology& right, std::string_view collection)
{
    const auto leftIndex = left.findCollection(collection);
    const auto rightIndex = right.findCollection(collection);
    if (left.layout != right.layout || !leftIndex || !rightIndex)
        return false;
    const auto& leftGroups = left.collections[*leftIndex].groups;
    const auto& rightGroups = right.collections[*rightIndex].groups;
    return std::equal(leftGroups.begin(), leftGroups.end(), rightGroups.begin(), rightGroups.end(),
        [&](std::uint32_t leftGroup, std::uint32_t rightGroup) {
            const auto& a = left.groups[leftGroup];
            const auto& b = right.groups[rightGroup];
            return a.id == b.id && a.service == b.service && a.shards == b.shards;
        });
}

} // namespace banyancroft::search
