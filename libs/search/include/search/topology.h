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

/** A shard group of one configuration document. */
struct TopologyGroup {
    GroupId id;
    ServiceSlot service = noSlot;
    /** Index into Topology::members of the group's first upstream. */
    std::uint32_t firstMember = 0;
    std::uint32_t memberCount = 0;
    std::vector<ShardId> shards;
};

/** Set of groups that are searched together, as indices into Topology::groups. */
struct TopologyCollection {
    std::string name;
    std::vector<std::uint32_t> groups;
};

/** An operation and the groups of its service, as indices into Topology::groups. */
struct TopologyOperation {
    std::string name;
    ServiceSlot service = noSlot;
    bool nonIdempotent = true;
    std::vector<std::uint32_t> groups;
};

/**
 * Collections, groups and upstreams of one configuration document in flat arrays. Immutable once built and
 * shared by the queries that use it.
 */
struct Topology {
    ConfigVersion version;
    LayoutVersion layout;
    std::vector<TopologyGroup> groups;
    /** Upstreams of all groups; those of one group are contiguous. */
    std::vector<UpstreamSlot> members;
    std::vector<TopologyCollection> collections;
    std::vector<TopologyOperation> operations;

    std::span<const UpstreamSlot> membersOf(const TopologyGroup& group) const
    {
        return std::span(members).subspan(group.firstMember, group.memberCount);
    }

    /** Index into `collections`; empty when the document has no such collection. */
    std::optional<std::uint32_t> findCollection(std::string_view name) const;
    /** Null when the document has no such operation. */
    const TopologyOperation* findOperation(std::string_view name) const;
};

/**
 * True when the collection has the same layout, groups and shards in both topologies, so that a running query
 * can switch from one to the other.
 */
bool sameGroups(const Topology& left, const Topology& right, std::string_view collection);

} // namespace banyancroft::search
