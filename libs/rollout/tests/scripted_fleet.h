#pragma once

#include "rollout/rollout_driver.h"
#include "rollout/version_comparison.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace banyancroft::rollout {

/** Answer of a scripted replica. */
struct ScriptedAnswer {
    bool failed = false;
    Duration latency = std::chrono::milliseconds(10);
};

/** VMs with one service under roll-out, a store that answers late, and a scripted load. */
class ScriptedFleet {
public:
    /** @param answer reaction to a request: sent to the target version or not, route, zone, time since start
     */
    using Script = std::function<ScriptedAnswer(bool, const std::string&, const std::string&, Duration)>;

    ScriptedFleet(unsigned vmCount, double requestsPerSecond, Script answer)
        : answer_(std::move(answer))
        , requestsPerSecond_(requestsPerSecond)
    {
        for (unsigned i = 0; i < vmCount; ++i)
            vms.emplace_back(std::make_unique<Vm>());
        for (auto& vm : vms)
            vm->comparison.setTargetZones(2);
        fleetComparison.setTargetZones(2);
    }

    struct Vm {
        RolloutDriver driver { RolloutLimits {} };
        VersionComparison comparison;
        std::map<SampleGroup, SampleCounts> reported;
        bool isAlive = true;
        std::optional<Duration> diedAt;
        /** Fate of this VM's next write. */
        bool loseNextAnswer = false;
        std::optional<Duration> answerAt;
        WriteEnd end = WriteEnd::Written;
        std::uint64_t writtenRevision = 0;
    };

    static TimePoint at(Duration elapsed) { return TimePoint {} + std::chrono::hours(1) + elapsed; }

    void order(const std::string& target, Duration duration)
    {
        order_ = Order { target, duration, ++revision_ };
        deliver([order = order_](Vm& vm, TimePoint now) { vm.driver.setOrder(order, now); });
    }

    void withdraw()
    {
        ++revision_;
        deliver([](Vm& vm, TimePoint now) { vm.driver.setOrder(std::nullopt, now); });
    }

    void runUntil(Duration end)
    {
        for (; elapsed < end; elapsed += tick)
            step();
    }

    std::optional<State> state() const { return status ? std::optional(status->state) : std::nullopt; }

    static constexpr Duration tick = std::chrono::milliseconds(50);

    std::vector<std::unique_ptr<Vm>> vms;
    VersionComparison fleetComparison { VersionComparison::Scope::AllVms };
    std::size_t targetReplicas = 3;
    Duration elapsed {};
    std::optional<Status> status;
    std::optional<Step> latestStep;
    /** Every status that was written. */
    std::vector<Status> statuses;
    unsigned stepWrites = 0;
    std::uint64_t requests = 0;
    std::uint64_t targetRequests = 0;
    /** When the latest status was written. */
    Duration finalAt {};
    std::function<void()> onWrite;

private:
    using Delivery = std::function<void(Vm&, TimePoint)>;

    void deliver(Delivery delivery) { deliveries_.emplace_back(elapsed + propagation, std::move(delivery)); }

    void step()
    {
        const auto now = at(elapsed);
        std::vector<std::pair<Duration, Delivery>> due;
        while (!deliveries_.empty() && deliveries_.front().first <= elapsed) {
            due.push_back(std::move(deliveries_.front()));
            deliveries_.erase(deliveries_.begin());
        }
        for (const auto& [time, delivery] : due) {
            for (auto& vm : vms) {
                if (vm->isAlive)
                    delivery(*vm, now);
            }
        }
        load(now);
        unsigned rank = 0;
        for (auto& vm : vms) {
            // A dead VM stays registered for the time of its lease.
            if (!vm->isAlive && !vm->diedAt)
                vm->diedAt = elapsed;
            if (vm->diedAt && elapsed - *vm->diedAt > std::chrono::seconds(5))
                continue;
            if (vm->isAlive)
                drive(*vm, rank, now);
            ++rank;
        }
    }

    void load(TimePoint now)
    {
        owed_ += requestsPerSecond_ * toMillis(tick) / 1000;
        for (; owed_ >= 1; owed_ -= 1) {
            const auto index = static_cast<std::size_t>(requests) % vms.size();
            auto& vm = *vms[index];
            const auto division = vm.driver.division(now);
            const bool toTarget = division && uniform_(random_) < division->share;
            ++requests;
            targetRequests += toTarget;
            const std::string route = requests / vms.size() % 10 == 0 ? "lookup" : "search";
            const std::string zone = index % 2 == 0 ? "a" : "b";
            const auto result = answer_(toTarget, route, zone, elapsed);
            if (!vm.isAlive || !division)
                continue;
            const auto replica = (toTarget ? 100U : 0U) + index % 2 * 10 + requests % 3;
            vm.comparison.record(
                { route, zone, replica, toTarget, result.failed, true, now - result.latency }, now);
        }
    }

    void drive(Vm& vm, unsigned rank, TimePoint now)
    {
        if (rank == 0 && elapsed % std::chrono::milliseconds(500) == Duration::zero())
            collect(now);
        if (vm.comparison.isTargetBad())
            vm.driver.setBad(vm.comparison.reason());
        if (rank == 0 && fleetComparison.isTargetBad())
            vm.driver.setBad(fleetComparison.reason());
        if (vm.answerAt && elapsed >= *vm.answerAt) {
            vm.answerAt.reset();
            vm.driver.writeEnded(vm.end, vm.writtenRevision, now);
        }
        DriverInputs inputs;
        inputs.rank = rank;
        inputs.targetReplicas = targetReplicas;
        inputs.otherReplicas = 3;
        if (const auto write = vm.driver.nextWrite(inputs, now)) {
            vm.end = apply(*write) ? WriteEnd::Written : WriteEnd::Conflict;
            vm.writtenRevision = revision_;
            if (std::exchange(vm.loseNextAnswer, false))
                vm.end = WriteEnd::Lost;
            vm.answerAt = elapsed + tick;
            if (onWrite)
                onWrite();
        }
    }

    void collect(TimePoint now)
    {
        for (auto& vm : vms) {
            for (const auto& [group, total] : vm->comparison.totals()) {
                auto& known = vm->reported[group];
                fleetComparison.merge(group,
                    { total.target - known.target, total.targetBad - known.targetBad,
                        total.other - known.other, total.otherBad - known.otherBad },
                    now);
                known = total;
            }
        }
    }

    bool apply(const Write& write)
    {
        if (const auto* value = std::get_if<Status>(&write.value)) {
            if ((status ? status->revision : 0) != write.expectedRevision)
                return false;
            status = *value;
            status->revision = ++revision_;
            statuses.push_back(*status);
            finalAt = elapsed;
            deliver([copy = status](Vm& vm, TimePoint now) { vm.driver.setStatus(copy, now); });
            return true;
        }
        const auto& value = std::get<Step>(write.value);
        if ((latestStep ? latestStep->revision : 0) != write.expectedRevision)
            return false;
        latestStep = value;
        latestStep->revision = ++revision_;
        ++stepWrites;
        deliver([copy = latestStep](Vm& vm, TimePoint now) { vm.driver.setStep(copy, now); });
        return true;
    }

    static constexpr Duration propagation = std::chrono::milliseconds(400);

    Script answer_;
    double requestsPerSecond_;
    double owed_ = 0;
    std::mt19937_64 random_ { 20261204 };
    std::uniform_real_distribution<double> uniform_ { 0, 1 };
    std::vector<std::pair<Duration, Delivery>> deliveries_;
    std::uint64_t revision_ = 10;
    std::optional<Order> order_;
};

} // namespace banyancroft::rollout
