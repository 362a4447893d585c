#include "search/submit_router.h"

#include "replica_selector.h"

#include <xxhash.h>

#include <algorithm>

namespace banyancroft::search {

namespace {

/**
 * Rendezvous hashing: returns the group with the highest hash of group and key. A new group takes over only
 * its share of the keys.
 */
std::uint32_t groupForKey(
    const Topology& topology, std::span<const std::uint32_t> groups, std::string_view key)
{
    const auto weight = [&](std::uint32_t group) {
        const auto& id = topology.groups[group].id.str();
        return XXH3_64bits_withSeed(key.data(), key.size(), XXH3_64bits(id.data(), id.size()));
    };
    return *std::max_element(groups.begin(), groups.end(),
        [&](std::uint32_t left, std::uint32_t right) { return weight(left) < weight(right); });
}

} // namespace

SubmitRoute SubmitRouter::route(std::string_view operation, const IdempotencyKey& key,
    const AvailabilityZone& ownZone, std::span<const UpstreamSlot> tried, TimePoint now, Random& random)
{
    SubmitRoute route;
    const auto& topology = *cluster_.topology();
    const auto* const entry = topology.findOperation(operation);
    if (entry == nullptr || entry->groups.empty()) {
        route.reason = Reason::NoCandidate;
        return route;
    }
    const auto groupIndex = key.empty() ? entry->groups[random() % entry->groups.size()]
                                        : groupForKey(topology, entry->groups, key.view());
    const auto& group = topology.groups[groupIndex];
    route.group = &group.id;
    route.nonIdempotent = entry->nonIdempotent;

    ReplicaCriteria criteria;
    criteria.members = topology.membersOf(group);
    criteria.ownZone = cluster_.findZone(ownZone);
    for (const auto slot : tried)
        criteria.tried |= triedBit(slot);
    ReplicaSelector selector(cluster_, random);
    auto choice = selector.choose(criteria, now);
    if (choice.upstream == noSlot && criteria.tried != 0) {
        criteria.tried = 0;
        choice = selector.choose(criteria, now);
    }
    route.reason = choice.reason;
    route.upstream = choice.upstream;
    if (choice.upstream != noSlot)
        route.upstreamId = &cluster_.upstreamId(choice.upstream);
    return route;
}

} // namespace banyancroft::search
