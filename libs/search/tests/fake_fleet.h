#pragma once

#include "fixture.h"

#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace banyancroft::search::test {

/** Thrown with the invariant that does not hold. */
struct InvariantViolation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline void require(bool holds, const std::string& invariant)
{
    if (!holds)
        throw InvariantViolation(invariant);
}

/** Faults of the network and the upstreams to inject, in percent of the sub-requests. */
struct Faults {
    unsigned lost = 0;
    unsigned duplicated = 0;
    unsigned refused = 0;
    unsigned failed = 0;
    unsigned wrongHome = 0;
    /** Answers at a version other than the requested one, instead of a refusal. */
    unsigned otherVersion = 0;
    unsigned maxDelayMillis = 5;
};

/**
 * Simulates the upstreams, network and clock of a deployment, runs the coordinators of its queries and checks
 * their invariants. The checks use only the sent items, the simulated reply rows and the answers.
 */
class FakeFleet {
public:
    static constexpr unsigned groups = 6;
    static constexpr unsigned shards = 12;
    static constexpr double hedgeBurst = 16;
    static constexpr double retryBurst = 32;

    explicit FakeFleet(std::uint64_t randomSeed)
        : random_(randomSeed)
        , fleetRandom_(randomSeed + 1)
    {
        const auto declared = document(groups);
        for (const auto& group : declared.services[0].groups) {
            for (const auto& upstream : group.upstreams)
                upstreams_[upstream.id.str()] = { group.id.str(), upstream.zone.str(), { 1 }, { 1 } };
        }
        applyLayout(1);
    }

    Faults faults;

    void startQuery(Duration deadline, bool requireAll)
    {
        auto query = std::make_unique<Query>();
        query->deadline = now_ + deadline;
        query->requireAll = requireAll;
        query->search = std::make_unique<SearchCoordinator>(
            SearchRequest { "all", "", 0, query->deadline, requireAll, AvailabilityZone("a"), "" }, cluster_,
            policy_, sequences_, random_);
        queries_.push_back(std::move(query));
        Actions actions;
        queries_.back()->search->start(now_, actions);
        perform(*queries_.back(), actions);
    }

    void advance(Duration time)
    {
        const auto end = now_ + time;
        while (true) {
            auto next = replies_.empty() ? TimePoint::max() : replies_.begin()->first;
            Query* timed = nullptr;
            for (const auto& query : queries_) {
                if (!query->search->finished() && query->search->nextTimer() < next) {
                    next = query->search->nextTimer();
                    timed = query.get();
                }
            }
            if (next > end)
                break;
            now_ = std::max(now_, next);
            Actions actions;
            if (timed != nullptr) {
                timed->search->onTimer(now_, actions);
                perform(*timed, actions);
                continue;
            }
            auto delivery = std::move(replies_.begin()->second);
            replies_.erase(replies_.begin());
            delivery.query->unanswered.erase(delivery.reply.sequence.value);
            delivery.query->search->onReply(std::move(delivery.reply), now_, actions);
            perform(*delivery.query, actions);
        }
        now_ = end;
        for (const auto& query : queries_)
            require(query->search->finished() || now_ < query->deadline, "a query finishes by its deadline");
    }

    /** Makes the group's upstream in the zone start or stop serving an index version. */
    void changeServedIndex(unsigned group, const std::string& zone, std::uint64_t version, bool serves)
    {
        auto& indexes = upstreams_.at("g" + std::to_string(group) + "-" + zone).indexes;
        if (serves) {
            indexes.insert(version);
        } else if (indexes.size() > 1) {
            indexes.erase(version);
        }
    }

    /** Makes the group's upstream in the zone serve a layout; with `only`, it drops all others. */
    void changeServedLayout(unsigned group, const std::string& zone, std::uint64_t layout, bool only)
    {
        auto& layouts = upstreams_.at("g" + std::to_string(group) + "-" + zone).layouts;
        if (only)
            layouts.clear();
        layouts.insert(layout);
    }

    void applyLayout(std::uint64_t layout)
    {
        layout_ = layout;
        configuration_ = document(groups, layout);
        for (auto& group : configuration_.services[0].groups)
            group.shards = shardsOf(group.id.str(), layout);
        for (auto& zone : configuration_.zones)
            zone.serving = zone.id.str() != zoneOut_;
        cluster_.apply(configuration_, now_);
    }

    /** Takes the zone out of service; an empty name returns all zones to service. */
    void takeZoneOut(const std::string& zone)
    {
        zoneOut_ = zone;
        applyLayout(layout_);
    }

    std::uint64_t layout() const { return layout_; }
    const SearchCounters& total() const { return total_; }
    unsigned complete = 0;
    unsigned partial = 0;

private:
    struct Upstream {
        std::string group;
        std::string zone;
        std::set<std::uint64_t> indexes;
        std::set<std::uint64_t> layouts;
    };
    struct Query {
        std::unique_ptr<SearchCoordinator> search;
        TimePoint deadline;
        bool requireAll = false;
        bool checked = false;
        std::set<std::pair<std::uint64_t, std::uint64_t>> snapshots;
        /** Number of sub-requests other than hedges, per group. */
        std::map<std::string, unsigned> sends;
        /** Sent, neither replied to nor cancelled: sequence number to group and zone. */
        std::map<std::uint64_t, std::pair<std::string, std::string>> unanswered;
    };
    struct Delivery {
        Query* query = nullptr;
        wire::SubreplyItem reply;
    };

    static std::vector<ShardId> shardsOf(const std::string& group, std::uint64_t layout)
    {
        std::vector<ShardId> result;
        for (unsigned shard = 0; shard < shards; ++shard) {
            if ("g" + std::to_string((shard * layout + shard / groups) % groups) == group)
                result.emplace_back("s" + std::to_string(shard));
        }
        return result;
    }

    bool chance(unsigned percent) { return fleetRandom_() % 100 < percent; }

    void perform(Query& query, const Actions& actions)
    {
        // One set of actions may contain the send and the cancellation of the same item, in this order.
        for (const auto& item : actions.sends)
            send(query, item);
        for (const auto& item : actions.cancels) {
            require(query.unanswered.erase(item.sequence.value) == 1,
                "only sub-requests in flight are cancelled");
            if (chance(50)) {
                std::erase_if(replies_,
                    [&](const auto& entry) { return entry.second.reply.sequence == item.sequence; });
            }
        }
        if (query.search->finished() && !query.checked)
            check(query);
    }

    void send(Query& query, const SendItem& item)
    {
        require(now_ < query.deadline && !query.checked,
            "nothing is sent after the deadline or the end of the query");
        const auto& upstream = upstreams_.at(item.upstream->str());
        require(upstream.zone != zoneOut_, "nothing is sent to a zone out of service");
        require(std::ranges::equal(item.shards, shardsOf(upstream.group, item.snapshot.layout.value)),
            "a sub-request names the shards of its group at the pinned layout");
        if (item.snapshot.index)
            query.snapshots.insert({ item.snapshot.layout.value, item.snapshot.index.value });
        for (const auto& [sequence, other] : query.unanswered) {
            if (other.first == upstream.group && item.hedge)
                require(other.second != upstream.zone, "a hedge is sent to another zone");
        }
        query.unanswered[item.sequence.value] = { upstream.group, upstream.zone };
        if (item.hedge) {
            ++hedges_;
        } else if (++query.sends[upstream.group] == 1) {
            ++firstSends_;
        } else {
            ++repeatedSends_;
        }
        require(hedges_ <= 0.05 * firstSends_ + hedgeBurst, "hedges stay within their budget");
        scheduleReply(query, item, upstream);
    }

    /** Schedules the delivery of the reply, if any, according to `faults`. */
    void scheduleReply(Query& query, const SendItem& item, const Upstream& upstream)
    {
        if (chance(faults.lost))
            return;
        wire::SubreplyItem reply;
        reply.sequence = item.sequence;
        reply.upstream = *item.upstream;
        reply.load = static_cast<std::uint32_t>(fleetRandom_() % 10);
        reply.cold = chance(5);
        fillReply(reply, item, upstream);
        for (int copy = chance(faults.duplicated) ? 2 : 1; copy > 0; --copy) {
            const auto delay
                = std::chrono::microseconds(200 + fleetRandom_() % (faults.maxDelayMillis * 1000));
            replies_.emplace(now_ + delay, Delivery { &query, reply });
        }
    }

    void fillReply(wire::SubreplyItem& reply, const SendItem& item, const Upstream& upstream)
    {
        if (chance(faults.wrongHome)) {
            reply.reason = Reason::WrongHome;
            ++refusedBeforeUpstream_;
            return;
        }
        if (chance(faults.refused)) {
            reply.reason = Reason::QueueFull;
            return;
        }
        if (chance(faults.failed)) {
            reply.outcome = Outcome::Unknown;
            reply.reason = Reason::UpstreamUnreachable;
            return;
        }
        if (chance(80)) {
            for (const auto version : upstream.indexes)
                reply.servedIndexes.push_back({ version });
            for (const auto version : upstream.layouts)
                reply.servedLayouts.push_back({ version });
        }
        const bool answersOther = chance(faults.otherVersion);
        if (!upstream.layouts.contains(item.snapshot.layout.value) && !answersOther) {
            reply.reason = Reason::LayoutVersionMismatch;
            return;
        }
        if (item.snapshot.index && !upstream.indexes.contains(item.snapshot.index.value) && !answersOther) {
            reply.reason = Reason::IndexVersionMismatch;
            return;
        }
        reply.outcome = Outcome::Done;
        reply.layout = answersOther ? LayoutVersion { *upstream.layouts.rbegin() } : item.snapshot.layout;
        reply.index = answersOther || !item.snapshot.index ? IndexVersion { *upstream.indexes.rbegin() }
                                                           : item.snapshot.index;
        for (const auto& shard : item.shards) {
            reply.rows += shard.str() + " " + std::to_string(reply.layout.value) + " "
                + std::to_string(reply.index.value) + "\n";
        }
    }

    void check(Query& query)
    {
        query.checked = true;
        require(query.unanswered.empty(), "all sub-requests in flight at the end of the query are cancelled");
        const auto answer = query.search->answer();
        require(query.snapshots.size() <= 2 && answer.counters.restarts <= 1,
            "a query is restarted at most once");
        std::set<std::string> withRows;
        for (const auto& part : answer.rows) {
            std::istringstream lines(part);
            std::string shard;
            std::uint64_t layout = 0;
            std::uint64_t index = 0;
            while (lines >> shard >> layout >> index) {
                require(withRows.insert(shard).second, "the rows of a shard appear only once");
                require(layout == answer.snapshot.layout.value && index == answer.snapshot.index.value,
                    "all rows are from the snapshot of the answer");
            }
        }
        std::set<std::string> listed;
        std::set<std::string> covered;
        for (const auto& entry : answer.coverage) {
            listed.emplace(entry.shard);
            if (entry.missingReason == Reason::None)
                covered.emplace(entry.shard);
        }
        require(listed.size() == shards, "coverage lists every shard of the layout");
        require(answer.complete == (covered.size() == shards),
            "an answer is complete exactly if it covers every shard");
        if (query.requireAll && !answer.complete) {
            require(answer.refusal != Reason::None && withRows.empty(),
                "a partial answer is refused without rows if all shards are required");
        } else {
            require(withRows == covered, "a shard is covered exactly if the answer contains its rows");
        }
        ++(answer.complete ? complete : partial);

        // A restart sends to each group once more; any further sub-request is a retry.
        if (answer.counters.restarts == 1) {
            for (const auto& [group, sends] : query.sends)
                repeatedSends_ -= sends > 1 ? 1 : 0;
        }
        const auto& counters = answer.counters;
        total_.hedges += counters.hedges;
        total_.hedgesWon += counters.hedgesWon;
        total_.retries += counters.retries;
        total_.restarts += counters.restarts;
        total_.otherVersion += counters.otherVersion;
        total_.duplicateReplies += counters.duplicateReplies;
        // A running query may have restarted, so that up to one send per group is not a retry.
        const auto running
            = std::ranges::count_if(queries_, [](const auto& other) { return !other->checked; });
        // A refusal before the upstream puts no load on it, so its retry is not charged to the budget.
        require(repeatedSends_ - refusedBeforeUpstream_
                <= 0.1 * firstSends_ + retryBurst + static_cast<double>(running * groups),
            "retries stay within their budget");
    }

    TimePoint now_ = startTime;
    Random random_;
    Random fleetRandom_;
    std::map<std::string, Upstream> upstreams_;
    std::string zoneOut_;
    std::uint64_t layout_ = 1;
    config::Document configuration_;
    ClusterState cluster_;
    PolicyState policy_;
    SequenceGenerator sequences_;
    std::vector<std::unique_ptr<Query>> queries_;
    std::multimap<TimePoint, Delivery> replies_;
    SearchCounters total_;
    double hedges_ = 0;
    double refusedBeforeUpstream_ = 0;
    double firstSends_ = 0;
    double repeatedSends_ = 0;
};

} // namespace banyancroft::search::test
