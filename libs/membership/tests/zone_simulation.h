#pragma once

#include "membership/membership.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace banyancroft::membership::test {

using namespace std::chrono_literals;

/** Simulates the store, network, platform and upstreams of one zone, with daemons in virtual time. */
class ZoneSimulation {
public:
    static constexpr unsigned limit = 3;
    static constexpr unsigned coldLimit = 1;
    static constexpr Duration deadline = 2s;

    struct Daemon {
        VmId vm;
        Incarnation incarnation;
        std::unique_ptr<Membership> membership;
        std::uint64_t lease = 0;
        bool cutOffFromStore = false;
        bool paused = false;
        bool handedOver = false;
        std::map<UpstreamId, Authority> authority;
    };
    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> run;
    };
    struct Request {
        UpstreamId upstream;
        VmId vm;
        Incarnation incarnation;
        TimePoint until;
    };

    explicit ZoneSimulation(std::vector<UpstreamId> upstreams)
        : upstreams_(std::move(upstreams))
    {
    }

    Daemon& start(const std::string& name)
    {
        auto daemon = std::make_unique<Daemon>();
        daemon->vm = VmId(name);
        daemon->incarnation = { ++lastIncarnation_ };
        Settings settings;
        settings.zone = zone;
        settings.vm = daemon->vm;
        settings.incarnation = daemon->incarnation;
        settings.address = "127.0.0.1:1";
        daemon->membership = std::make_unique<Membership>(settings, now);
        if (std::find(vms.begin(), vms.end(), daemon->vm) == vms.end())
            vms.push_back(daemon->vm);
        Daemon& started = *daemon;
        daemons[daemon->vm] = std::move(daemon);
        perform(started, started.membership->vmsListed(vms, now));
        perform(started, started.membership->setUpstreams(upstreams_, now));
        return started;
    }

    /** Ends the process. Its lease lapses at its end and its requests keep running at the upstream. */
    void kill(const std::string& name) { daemons.erase(VmId(name)); }

    Daemon& daemon(const std::string& name) { return *daemons.at(VmId(name)); }
    bool alive(const std::string& name) const { return daemons.contains(VmId(name)); }

    void runFor(Duration time)
    {
        const TimePoint end = now + time;
        while (now < end) {
            now += step;
            for (auto lease = leases.begin(); lease != leases.end();)
                lease = lease->second <= now ? lapse(lease) : std::next(lease);
            deliver();
            for (auto& [vm, daemon] : daemons) {
                if (daemon->paused)
                    continue;
                perform(*daemon, daemon->membership->vmsListed(vms, now));
                perform(*daemon, daemon->membership->tick(now));
            }
            std::erase_if(running, [&](const Request& request) { return request.until <= now; });
            sendAll();
        }
    }

    /** Lets every daemon send all that its authority allows, alternating between ascending and descending
     * order of names. */
    void sendAll()
    {
        descending_ = !descending_;
        std::vector<Daemon*> order;
        for (auto& [vm, daemon] : daemons)
            order.push_back(daemon.get());
        if (descending_)
            std::reverse(order.begin(), order.end());
        for (Daemon* daemon : order) {
            for (const UpstreamId& upstream : upstreams_) {
                while (!daemon->paused && allowedRequests(*daemon, upstream) > inFlight(*daemon, upstream))
                    running.push_back({ upstream, daemon->vm, daemon->incarnation, now + deadline });
                const auto sum = static_cast<unsigned>(std::count_if(running.begin(), running.end(),
                    [&](const Request& request) { return request.upstream == upstream; }));
                maxRunning = std::max(maxRunning, sum);
                if (sum > (cold ? coldLimit : limit))
                    limitExceeded = true;
            }
        }
    }

    void perform(Daemon& daemon, const Actions& actions)
    {
        for (const Action& action : actions)
            std::visit([&](const auto& value) { act(daemon, value); }, action);
    }

    unsigned inFlight(const Daemon& daemon, const UpstreamId& upstream) const
    {
        return static_cast<unsigned>(
            std::count_if(running.begin(), running.end(), [&](const Request& request) {
                return request.upstream == upstream && request.vm == daemon.vm
                    && request.incarnation == daemon.incarnation;
            }));
    }

    unsigned allowedRequests(const Daemon& daemon, const UpstreamId& upstream) const
    {
        auto found = daemon.authority.find(upstream);
        if (found == daemon.authority.end() || now >= found->second.validUntil)
            return 0;
        const Authority& authority = found->second;
        unsigned most = 0;
        if (authority.share == Share::Full) {
            most = cold ? coldLimit : limit;
        } else if (authority.share == Share::TakeoverRest) {
            most = cold ? coldLimit : limit - limit / 2;
        } else if (authority.share == Share::UncertainHalf) {
            most = cold ? 0 : limit / 2;
        }
        const unsigned inherited = now < authority.inheritedUntil ? authority.inheritedInFlight : 0;
        return most - std::min(most, inherited);
    }

    /** Restarts the upstreams, which ends all requests in flight. */
    void coldStart()
    {
        cold = true;
        running.clear();
    }

    const AvailabilityZone zone { "luzon-a" };
    Duration step = 100ms;
    TimePoint now { 1h };
    bool storeDown = false;
    bool cold = false;
    bool limitExceeded = false;
    unsigned maxRunning = 0;
    /** Probability in percent that a message or reply is lost. */
    unsigned lossPercent = 0;
    /** Longest delay of a message or reply. */
    Duration longestDelay {};
    std::uint64_t random = 1;
    std::map<VmId, std::unique_ptr<Daemon>> daemons;
    std::vector<std::pair<VmId, VmId>> cutLinks;
    std::vector<VmId> vms;
    std::vector<Request> running;
    std::map<std::uint64_t, TimePoint> leases;
    std::optional<View> view;
    StoreRevision viewRevision;
    struct Stored {
        ListedRecord listed;
        std::uint64_t lease = 0;
    };
    std::map<VmId, Stored> records;
    std::size_t swaps = 0;

private:
    using Reply = std::function<Actions(Membership&)>;
    using LeaseIterator = std::map<std::uint64_t, TimePoint>::iterator;

    LeaseIterator lapse(LeaseIterator lease)
    {
        std::erase_if(records, [&](const auto& record) { return record.second.lease == lease->first; });
        return leases.erase(lease);
    }

    unsigned randomPercent()
    {
        random = random * 6364136223846793005ULL + 1442695040888963407ULL;
        return static_cast<unsigned>((random >> 33) % 100);
    }
    bool lost() { return randomPercent() < lossPercent; }

    void schedule(std::function<void()> run)
    {
        const Duration delay = longestDelay * randomPercent() / 100;
        queue_.push_back({ now + delay, ++lastEvent_, std::move(run) });
    }

    void deliver()
    {
        std::vector<Event> due;
        std::copy_if(queue_.begin(), queue_.end(), std::back_inserter(due),
            [&](const Event& event) { return event.at <= now; });
        std::erase_if(queue_, [&](const Event& event) { return event.at <= now; });
        std::sort(due.begin(), due.end(), [](const Event& left, const Event& right) {
            return std::pair(left.at, left.order) < std::pair(right.at, right.order);
        });
        for (const Event& event : due)
            event.run();
    }

    /** Delivers a reply to the incarnation that made the call if it still runs, after any pause has ended. */
    void answer(const VmId& vm, Incarnation incarnation, const Reply& reply)
    {
        schedule([this, vm, incarnation, reply] {
            auto found = daemons.find(vm);
            if (found == daemons.end() || found->second->incarnation != incarnation)
                return;
            if (found->second->paused)
                return answer(vm, incarnation, reply);
            perform(*found->second, reply(*found->second->membership));
        });
    }

    /** Runs a call at the store. The request or the reply may be lost, and both may be delayed. */
    void call(Daemon& daemon, RequestId request, const std::function<Reply()>& effect)
    {
        const VmId vm = daemon.vm;
        const Incarnation incarnation = daemon.incarnation;
        const Reply failure = [this, request](Membership& m) { return m.storeFailed(request, now); };
        if (storeDown || daemon.cutOffFromStore || lost())
            return answer(vm, incarnation, failure);
        schedule([this, vm, incarnation, effect, failure] {
            const Reply reply = effect();
            answer(vm, incarnation, lost() ? failure : reply);
        });
    }

    void act(Daemon& daemon, const AcquireLease& action)
    {
        call(daemon, action.request, [this, vm = daemon.vm, request = action.request]() -> Reply {
            const std::uint64_t lease = ++lastLease_;
            leases[lease] = now + 15s;
            return [this, vm, lease, request](Membership& m) {
                daemons.at(vm)->lease = lease;
                return m.leaseGranted(request, now);
            };
        });
    }

    void act(Daemon& daemon, const RenewLease& action)
    {
        call(daemon, action.request, [this, lease = daemon.lease, request = action.request]() -> Reply {
            auto found = leases.find(lease);
            if (found == leases.end())
                return [this, request](Membership& m) { return m.leaseLost(request, now); };
            found->second = now + 15s;
            return [this, request](Membership& m) { return m.leaseRenewed(request, now); };
        });
    }

    void act(Daemon& daemon, const ReadView& action)
    {
        call(daemon, action.request, [this, request = action.request]() -> Reply {
            return [this, request, read = view, revision = viewRevision](
                       Membership& m) { return m.viewRead(request, read, revision, now); };
        });
    }

    void act(Daemon& daemon, const SwapView& action)
    {
        call(daemon, action.request, [this, action]() -> Reply {
            std::optional<StoreRevision> revision;
            if (action.expected == viewRevision) {
                Error reason;
                view = parseView(serialize(action.view), reason);
                viewRevision = { ++lastRevision_ };
                revision = viewRevision;
                ++swaps;
            }
            return [this, request = action.request, revision](
                       Membership& m) { return m.swapped(request, revision, now); };
        });
    }

    void act(Daemon& daemon, const WriteRecord& action)
    {
        call(daemon, action.request, [this, action, vm = daemon.vm, lease = daemon.lease]() -> Reply {
            auto found = records.find(vm);
            const StoreRevision at
                = found == records.end() ? StoreRevision {} : found->second.listed.modified;
            std::optional<StoreRevision> revision;
            if (at == action.expected && leases.contains(lease)) {
                revision = StoreRevision { ++lastRevision_ };
                records[vm] = { { action.record, *revision }, lease };
            }
            return [this, request = action.request, revision](
                       Membership& m) { return m.recordWritten(request, revision, now); };
        });
    }

    void act(Daemon& daemon, const ListMembers& action)
    {
        call(daemon, action.request, [this, request = action.request]() -> Reply {
            std::vector<ListedRecord> listed;
            for (const auto& [vm, stored] : records)
                listed.push_back(stored.listed);
            return [this, request, listed, revision = StoreRevision { lastRevision_ }](
                       Membership& m) { return m.membersListed(request, listed, revision, now); };
        });
    }

    void send(const VmId& from, const VmId& to, const Reply& message)
    {
        const bool cut = std::any_of(cutLinks.begin(), cutLinks.end(),
            [&](const auto& link) { return link == std::pair(from, to) || link == std::pair(to, from); });
        auto receiver = daemons.find(to);
        if (cut || receiver == daemons.end() || lost())
            return;
        answer(to, receiver->second->incarnation, message);
        if (lost()) // duplicates the message
            answer(to, receiver->second->incarnation, message);
    }

    void act(Daemon& daemon, const SendPromiseRequest& action)
    {
        send(daemon.vm, action.to, [this, from = daemon.vm, action](Membership& m) {
            return m.promiseRequested(from, action.view, action.requestNumber, now);
        });
    }

    void act(Daemon& daemon, const SendPromise& action)
    {
        send(daemon.vm, action.to, [this, from = daemon.vm, action](Membership& m) {
            return m.promiseReceived(from, action.view, action.requestNumber, action.duration, now);
        });
    }

    void act(Daemon& daemon, const AuthorityChanged& action)
    {
        daemon.authority[action.upstream] = action.authority;
    }

    void act(Daemon& daemon, const ReportInFlight& action)
    {
        std::vector<InFlight> counts;
        for (const UpstreamId& upstream : upstreams_) {
            if (const unsigned count = inFlight(daemon, upstream))
                counts.push_back({ upstream, count });
        }
        answer(daemon.vm, daemon.incarnation, [this, view = action.view, counts](Membership& m) {
            return m.inFlightReported(view, counts, now);
        });
    }

    void act(Daemon& daemon, const HandOverDone&) { daemon.handedOver = true; }

    std::vector<UpstreamId> upstreams_;
    std::vector<Event> queue_;
    std::uint64_t lastEvent_ = 0;
    std::uint64_t lastIncarnation_ = 0;
    std::uint64_t lastLease_ = 0;
    std::uint64_t lastRevision_ = 0;
    bool descending_ = false;
};

} // namespace banyancroft::membership::test
