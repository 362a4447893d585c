#pragma once

#include "search/cluster_state.h"
#include "search/policy_state.h"
#include "search/search_coordinator.h"

#include <chrono>
#include <string>

namespace banyancroft::search::test {

using namespace std::chrono_literals;

inline const TimePoint startTime { 1h };
constexpr std::uint64_t seed = 20261204;

/** One service "desk" whose groups "g0", "g1", … have upstreams "g0-a", "g0-b", "g0-c" in zones "a" to "c".
 */
inline config::Document document(unsigned groups, std::uint64_t layout = 1)
{
    config::Document document;
    document.version = { layout };
    document.layout = { layout };
    for (const char* zone : { "a", "b", "c" })
        document.zones.push_back({ AvailabilityZone(zone), RegionId("r"), true });
    config::Service service { ServiceId("desk"), 3, 30, 1, 6ms, {} };
    for (unsigned group = 0; group < groups; ++group) {
        const auto groupName = "g" + std::to_string(group);
        config::ShardGroup entry { GroupId(groupName), { ShardId("s" + std::to_string(group)) }, {} };
        for (const char* name : { "a", "b", "c", "d" }) {
            const AvailabilityZone zone(*name == 'd' ? "a" : name);
            entry.upstreams.push_back({ UpstreamId(groupName + "-" + name), "127.0.0.1", 1, zone, false });
        }
        service.groups.push_back(std::move(entry));
    }
    document.services.push_back(std::move(service));
    document.collections.push_back({ "all", { ServiceId("desk") } });
    document.operations.push_back({ "credit", ServiceId("desk"), true });
    return document;
}

/** A coordinator with its dependencies; the test supplies the replies and advances the clock. */
struct Fixture {
    explicit Fixture(unsigned groups, config::Policy policy = {})
        : configuration(document(groups))
        , policyState(policy)
    {
        configuration.policy = policy;
        cluster.apply(configuration, now);
    }

    SearchCoordinator& begin(Duration deadline = 150ms, bool requireAll = false)
    {
        search.emplace(SearchRequest { "all", "", 0, now + deadline, requireAll, AvailabilityZone("a"), "" },
            cluster, policyState, sequences, random);
        search->start(now, actions);
        return *search;
    }

    static wire::SubreplyItem done(const SendItem& item, std::uint64_t index, std::uint64_t layout = 1)
    {
        wire::SubreplyItem reply;
        reply.sequence = item.sequence;
        reply.upstream = *item.upstream;
        reply.outcome = Outcome::Done;
        reply.layout = { layout };
        reply.index = { index };
        reply.rows = std::string(item.shards.front().view()) + "@" + std::to_string(index) + "\n";
        return reply;
    }

    static wire::SubreplyItem refused(const SendItem& item, Reason reason, Outcome outcome = Outcome::NotRun)
    {
        wire::SubreplyItem reply;
        reply.sequence = item.sequence;
        reply.upstream = *item.upstream;
        reply.outcome = outcome;
        reply.reason = reason;
        return reply;
    }

    void reply(wire::SubreplyItem item, Duration after = 1ms)
    {
        now += after;
        search->onReply(std::move(item), now, actions);
    }

    ZoneSlot zoneOf(const SendItem& item) const
    {
        return cluster.upstream(*cluster.findUpstream(*item.upstream)).zone;
    }

    /** Returns the sub-requests to send since the last call and removes them from `actions`. */
    std::vector<SendItem> sends()
    {
        auto items = actions.sends;
        actions.sends.clear();
        return items;
    }

    /** Advances the clock to the next timer and calls onTimer(). */
    void timer()
    {
        now = std::max(now, search->nextTimer());
        search->onTimer(now, actions);
    }

    /** Makes the cluster state observe a refusal of the upstream with the given load, cold flag and versions.
     */
    void observeRefusal(
        const std::string& upstream, std::uint32_t load, bool cold, std::vector<IndexVersion> indexes = {})
    {
        wire::SubreplyItem reply;
        reply.reason = Reason::QueueFull;
        reply.load = load;
        reply.cold = cold;
        reply.servedIndexes = std::move(indexes);
        cluster.observeReply(*cluster.findUpstream(UpstreamId(upstream)), reply, {}, now);
    }

    TimePoint now = startTime;
    config::Document configuration;
    ClusterState cluster;
    PolicyState policyState;
    SequenceGenerator sequences;
    Random random { seed };
    Actions actions;
    std::optional<SearchCoordinator> search;
};

} // namespace banyancroft::search::test
