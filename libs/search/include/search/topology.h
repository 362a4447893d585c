#pragma once

#include "base/ids.h"
#include "search/types.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace banyancroft::search {

/** A shard group as one configuration document declares it. */
struct TopologyGroup {
    GroupId id;
    ServiceSlot service = noSlot;
    /** First of the group's upstreams in Topology::members. */
    std::uint32_t firstMember = 0;
    std::uint32_t memberCount = 0;
    std::vector<ShardId> shards;
};

/** Groups that form a searchable whole, as places in Topology::groups. */
struct TopologyCollection {
    std::string name;
    std::vector<std::uint32_t> groups;
};

/** An operation and the groups of its service, as places in Topology::groups. */
struct TopologyOperation {
    std::string name;
    ServiceSlot service = noSlot;
    bool nonIdempotent = true;
    std::vector<std::uint32_t> groups;
};

/**
 * Collections, groups and upstreams of one configuration document in flat arrays. Immutable once built and
 * shared by the queries that were planned with it.
 */
struct Topology {
    ConfigVersion version;
    LayoutVersion layout;
    std::vector<TopologyGroup> groups;
    std::vector<UpstreamSlot> members;
    std::vector<TopologyCollection> collections;
    std::vector<TopologyOperation> operations;

    std::span<const UpstreamSlot> membersOf(const TopologyGroup& group) const
    {
        return std::span(members).subspan(group.firstMember, group.memberCount);
    }

    /** Place in `collections`; empty when the document has no such collection. */
    std::optional<std::uint32_t> findCollection(std::string_view name) const;
    const TopologyOperation* findOperation(std::string_view name) const;
};

/** True when the collection has the same groups with the same shards in both, so that a plan carries over. */
bool sameGroups(const Topology& left, const Topology& right, std::string_view collection);

} // namespace banyancroft::search
