#pragma once

#include "rollout/schedule.h"
#include "rollout/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace banyancroft::rollout {

/** Limits on roll-outs. */
struct RolloutLimits {
    /** Fraction of a service's requests from order to deadline that a bad version may receive. */
    double maxExposure = 0.1;
    /** Time within which a change in the store reaches all VMs. */
    Duration propagation = std::chrono::seconds(5);
};

/** How requests of a service are divided between versions. */
struct Division {
    std::string target;
    /** Fraction of the requests for the target version, 0 to 1. With 0 or 1, the other side gets none. */
    double share = 0;
    std::vector<std::string> excluded;
    /** The target version receives nothing even if there is no other one. */
    bool isRolledBack = false;
    /** The deadline has passed and this VM, probably cut off from the store, does not know the result. A
     * completed roll-out has stopped the other replicas, so the target version takes what they cannot. */
    bool isOverdue = false;

    bool operator==(const Division&) const = default;
};

/** A value to be written on condition that the key still has the expected revision. */
struct Write {
    std::variant<Status, Step> value;
    /** Zero: the key must not exist. */
    std::uint64_t expectedRevision = 0;
    /** Why the service is rolled back; empty for other values. */
    std::string reason;
};

/** End of a conditional write. */
enum class WriteEnd {
    Written,
    /** The key has another revision. */
    Conflict,
    /** No answer; the value may have been written, or may be written later. */
    Lost,
};

/** What a VM knows of a service besides the store. */
struct DriverInputs {
    /** Position of this VM among those that may drive the service: 0 for the driver, empty for none. The VM
     * at position n takes over once the driver has written nothing for n times the take-over delay. */
    std::optional<unsigned> rank;
    /** The view of the store is not older than the propagation delay permits. */
    bool isViewCurrent = true;
    /** Numbers of replicas that may receive requests. */
    std::size_t targetReplicas = 0;
    std::size_t otherReplicas = 0;
    /** The target version has had more requests than its share so far; pulses are left out. */
    bool isExposureHigh = false;
};

/**
 * Roll-out of one service as one VM sees it: order, status and latest step in the store, the division of
 * requests that follows from them, and what this VM has to write next.
 *
 * Each VM has one. The driver writes the steps and the status; any other VM only writes a roll-back once it
 * is sure that the version is bad. All writes are conditional on the revision that the decision was based on,
 * so one final status is written even if several VMs decide at once. A lost answer is followed by the same
 * write, which then fails if the first one took effect. Owned by one thread; no I/O.
 */
class RolloutDriver {
public:
    explicit RolloutDriver(const RolloutLimits& limits);

    /** @param order empty when it was withdrawn */
    void setOrder(std::optional<Order> order, TimePoint now);
    void setStatus(std::optional<Status> status, TimePoint now);
    void setStep(std::optional<Step> step, TimePoint now);
    /**
     * The store was restored from a copy: revisions were reissued, and the latest writes may be lost. What
     * the store holds now must be set next. An order that is missing then stays in force for a grace period,
     * and a final status that is missing is written again.
     */
    void storeRestored(TimePoint now);
    /** This VM is sure that the target version of the order is bad. */
    void setBad(std::string reason);

    /** Empty: all versions are used. */
    std::optional<Division> division(TimePoint now) const;
    /** The value to write now, if any; writeEnded() must follow before the next call. */
    std::optional<Write> nextWrite(const DriverInputs& inputs, TimePoint now);
    /** @param revision revision of the key after WriteEnd::Written */
    void writeEnded(WriteEnd end, std::uint64_t revision, TimePoint now);

    const std::optional<Order>& order() const { return order_; }
    /** Status of the current order or, without an order, of the last one. */
    std::optional<State> state() const;
    /** Why this VM rolls back or has rolled back; empty if it did not decide on it. */
    const std::string& reason() const { return reason_; }
    /** Time since the order as far as this VM knows. */
    Duration elapsed(TimePoint now) const;
    /** True if the roll-out needs samples and steps. */
    bool isRunning() const;
    /** True if a value may have to be written now or later. */
    bool isOpen() const;
    bool isWriting() const { return pending_.has_value(); }
    /** True if nothing is known about the service. */
    bool isEmpty() const { return !order_ && !status_ && !step_; }

private:
    /** True if the status belongs to the current order and not to an earlier one. */
    bool isStatusCurrent() const;
    bool isStepCurrent() const;
    /** Final state of the current order, also one that a restored store has lost. */
    std::optional<State> finalState() const;
    bool isFinal() const { return finalState().has_value(); }
    bool isFinalStored() const { return isStatusCurrent() && status_->state != State::Running; }
    /** Adopts an order after storeRestored(). @return false if it is a new one */
    bool adoptRestored(const std::optional<Order>& order, TimePoint now);
    /** Versions that receive nothing besides the target. */
    std::vector<std::string> excludedVersions() const;
    Schedule schedule() const { return { order_->duration, limits_.propagation, limits_.maxExposure }; }
    /** Longest time between two writes of the driver. */
    Duration rewriteInterval() const;
    /** True if this VM is the driver, or the driver and those before this VM have written nothing for long.
     */
    bool mayDrive(const DriverInputs& inputs, TimePoint now) const;
    void updateFullSince(TimePoint now);
    std::optional<Write> decide(const DriverInputs& inputs, TimePoint now) const;
    std::optional<Write> decideRunning(const DriverInputs& inputs, TimePoint now) const;
    std::optional<Write> writeStep(const DriverInputs& inputs, TimePoint now) const;
    Write writeStatus(State state, const std::string& target, std::string reason) const;

    RolloutLimits limits_;
    std::optional<Order> order_;
    std::optional<Status> status_;
    std::optional<Step> step_;
    TimePoint orderSeenAt_ {};
    TimePoint stepSeenAt_ {};
    TimePoint pulseSeenAt_ {};
    /** Latest change of order, status or step. */
    TimePoint changeSeenAt_ {};
    /** When this VM first saw the full share of the current order. */
    std::optional<TimePoint> fullSince_;
    std::vector<std::string> excluded_;
    std::optional<Write> pending_;
    /** The pending write was made to the store before its restoration. */
    bool isPendingObsolete_ = false;
    /** Time of the restoration, until the order is known again. */
    std::optional<TimePoint> restoredAt_;
    std::optional<State> finalBeforeRestore_;
    TimePoint nextWriteAt_ {};
    std::string reason_;
};

} // namespace banyancroft::rollout
