#include "upstreams/registry.h"

#include "base/string_map.h"

#include <algorithm>
#include <map>

namespace banyancroft::upstreams {

class Registry::Impl {
public:
    Impl(Duration recoveryGrace, Listener listener)
        : recoveryGrace_(recoveryGrace)
        , listener_(std::move(listener))
    {
    }

    void put(const UpstreamRecord& record, TimePoint now)
    {
        deferredRemovals_.erase(record.id.str());
        const auto found = byId_.find(record.id.str());
        if (found == byId_.end()) {
            add(record, RegistryEvent::Added, now);
            return;
        }
        const auto known = found->second;
        if (isOlder(record, known->record))
            return;
        if (isRestart(record, known->record)) {
            retire(record.id);
            add(record, RegistryEvent::Restarted, now);
            return;
        }
        const bool startsDraining = record.draining && !known->record.draining;
        if (known->record.sequence != record.sequence)
            known->misdirected = false;
        // The replica may have turned cold again. An entry that is known already must not restart the phase.
        if (known->record.sequence < record.sequence)
            known->coldUntil = std::max(known->coldUntil, now + record.coldFor);
        known->record = record;
        known->usable = !record.draining && !known->isLeaving;
        if (startsDraining) {
            unlist(known);
            listener_(RegistryEvent::Draining, *known);
        }
    }

    void remove(const UpstreamId& id, TimePoint now)
    {
        if (!byId_.contains(id.str()))
            return;
        if (now >= graceUntil_)
            return removeNow(id, now);
        // A later recovery does not extend the deferral.
        if (deferredRemovals_.emplace(id.str(), graceUntil_).second)
            listener_(RegistryEvent::RemovalDeferred, *byId_.find(id.str())->second);
    }

    void applyListing(std::span<const UpstreamRecord> records, TimePoint now)
    {
        std::set<std::string_view> listed;
        for (const auto& record : records) {
            listed.insert(record.id.view());
            if (isFromCopy(record, now)) {
                Upstream ignored;
                ignored.record = record;
                listener_(RegistryEvent::CopyIgnored, ignored);
            } else {
                put(record, now);
            }
        }
        std::vector<UpstreamId> missing;
        for (const auto& [id, upstream] : byId_) {
            if (!listed.contains(id))
                missing.push_back(upstream->record.id);
        }
        for (const auto& id : missing)
            remove(id, now);
    }

    void applyDeferredRemovals(TimePoint now)
    {
        for (auto removal = deferredRemovals_.begin(); removal != deferredRemovals_.end();) {
            const auto& [id, due] = *removal;
            if (now < due) {
                ++removal;
                continue;
            }
            if (byId_.contains(id))
                removeNow(UpstreamId(id), now);
            removal = deferredRemovals_.erase(removal);
        }
    }

    void applyStatement(const UpstreamPointer& upstream, const ReplicaStatement& statement, TimePoint now)
    {
        if (statement.coldFor)
            upstream->coldUntil = now + *statement.coldFor;
        if (statement.restFor) {
            upstream->restUntil = std::max(upstream->restUntil, now + *statement.restFor);
            upstream->isReturning = true;
        }
        if (!statement.leaving || upstream->isLeaving)
            return;
        upstream->isLeaving = true;
        rememberLeaving(upstream->record, now);
        if (!std::exchange(upstream->usable, false))
            return;
        unlist(upstream);
        listener_(RegistryEvent::Leaving, *upstream);
    }

    std::span<const UpstreamPointer> upstreams(const ServiceId& service) const
    {
        const auto found = byService_.find(service.view());
        if (found == byService_.end())
            return {};
        return found->second;
    }

    /** A run of a replica that has said that it is leaving. */
    struct LeavingRun {
        UpstreamRecord record;
        TimePoint heardAt {};
    };

    struct RemovedRun {
        UpstreamRecord record;
        TimePoint removedAt {};
    };

    const Duration recoveryGrace_;
    const Listener listener_;
    StringMap<UpstreamPointer> byId_;
    StringMap<std::vector<UpstreamPointer>> byService_;
    /** Ids of entries that were removed during a grace period, with its end. */
    std::map<std::string, TimePoint> deferredRemovals_;
    /** By id, also after the entry was removed, since it may be registered once more. */
    std::map<std::string, LeavingRun> leavingRuns_;
    /** Last runs of removed replicas, by id. */
    std::map<std::string, RemovedRun> removedRuns_;
    TimePoint graceUntil_ {};
    std::optional<TimePoint> restoredAt_;
    std::uint64_t lastNumber_ = 0;

private:
    /** A replica has ended long before this time after it said that it is leaving. */
    static constexpr Duration leavingMemory = std::chrono::minutes(10);
    /** Copies are some seconds old, and entries that are not written again end with their leases. */
    static constexpr Duration removalMemory = std::chrono::minutes(10);

    void rememberRemoval(const UpstreamRecord& record, TimePoint now)
    {
        std::erase_if(
            removedRuns_, [now](const auto& entry) { return now - entry.second.removedAt >= removalMemory; });
        removedRuns_[record.id.str()] = { record, now };
    }

    /** True if the record was written before, or is, the known state of a replica. */
    static bool isCoveredBy(const UpstreamRecord& record, const UpstreamRecord& known)
    {
        if (record.startedAtUnixMillis != known.startedAtUnixMillis)
            return record.startedAtUnixMillis < known.startedAtUnixMillis;
        return !isRestart(record, known) && record.sequence <= known.sequence;
    }

    /** True if a listed entry comes from the copy of a restored store and must not undo what came later. */
    bool isFromCopy(const UpstreamRecord& record, TimePoint now) const
    {
        if (!restoredAt_ || now - *restoredAt_ >= removalMemory)
            return false;
        const auto id = record.id.str();
        if (const auto removed = removedRuns_.find(id); removed != removedRuns_.end())
            return removed->second.removedAt <= *restoredAt_ && isCoveredBy(record, removed->second.record);
        const auto known = byId_.find(id);
        return known != byId_.end() && isCoveredBy(record, known->second->record)
            && (deferredRemovals_.contains(id) || record.sequence < known->second->record.sequence);
    }

    void rememberLeaving(const UpstreamRecord& record, TimePoint now)
    {
        std::erase_if(
            leavingRuns_, [now](const auto& entry) { return now - entry.second.heardAt >= leavingMemory; });
        leavingRuns_[record.id.str()] = { record, now };
    }

    bool hasSaidLeaving(const UpstreamRecord& record) const
    {
        const auto found = leavingRuns_.find(record.id.str());
        return found != leavingRuns_.end() && !isRestart(record, found->second.record);
    }

    static bool isOlder(const UpstreamRecord& record, const UpstreamRecord& known)
    {
        if (record.startedAtUnixMillis != known.startedAtUnixMillis)
            return record.startedAtUnixMillis < known.startedAtUnixMillis;
        return record.startedAtUnixMillis != 0 && record.sequence < known.sequence;
    }

    static bool isRestart(const UpstreamRecord& record, const UpstreamRecord& known)
    {
        return record.startedAtUnixMillis > known.startedAtUnixMillis || record.address != known.address
            || record.port != known.port || record.service != known.service;
    }

    void add(const UpstreamRecord& record, RegistryEvent event, TimePoint now)
    {
        auto upstream = std::make_shared<Upstream>();
        upstream->number = ++lastNumber_;
        upstream->record = record;
        upstream->coldUntil = now + record.coldFor;
        upstream->isLeaving = hasSaidLeaving(record);
        upstream->usable = !record.draining && !upstream->isLeaving;
        byId_[record.id.str()] = upstream;
        removedRuns_.erase(record.id.str());
        if (upstream->usable)
            byService_[record.service.str()].push_back(upstream);
        listener_(upstream->usable ? event : RegistryEvent::Draining, *upstream);
    }

    /** Removes the replica from the list of its service, so that it receives no new requests. */
    void unlist(const UpstreamPointer& upstream)
    {
        auto& list = byService_[upstream->record.service.str()];
        list.erase(std::remove(list.begin(), list.end(), upstream), list.end());
    }

    /** Removes the replica from all lists. @pre `id` is registered */
    UpstreamPointer retire(const UpstreamId& id)
    {
        auto upstream = std::move(byId_.extract(id.str()).mapped());
        upstream->usable = false;
        unlist(upstream);
        return upstream;
    }

    void removeNow(const UpstreamId& id, TimePoint now)
    {
        const auto upstream = retire(id);
        rememberRemoval(upstream->record, now);
        listener_(RegistryEvent::Removed, *upstream);
    }
};

Registry::Registry(Duration recoveryGrace, Listener listener)
    : impl_(std::make_unique<Impl>(recoveryGrace, std::move(listener)))
{
}

Registry::~Registry() = default;

void Registry::applyListing(std::span<const UpstreamRecord> records, TimePoint now)
{
    impl_->applyListing(records, now);
}

void Registry::apply(const RegistryChange& change, TimePoint now)
{
    if (change.record) {
        impl_->put(*change.record, now);
    } else {
        impl_->remove(change.id, now);
    }
}

void Registry::applyStatement(
    const UpstreamPointer& upstream, const ReplicaStatement& statement, TimePoint now)
{
    impl_->applyStatement(upstream, statement, now);
}

void Registry::applyLeaving(const UpstreamId& id, std::uint64_t startedAtUnixMillis, TimePoint now)
{
    const auto found = impl_->byId_.find(id.str());
    if (found == impl_->byId_.end() || found->second->record.startedAtUnixMillis != startedAtUnixMillis)
        return;
    ReplicaStatement statement;
    statement.leaving = true;
    impl_->applyStatement(found->second, statement, now);
}

void Registry::storeRecovered(TimePoint now) { impl_->graceUntil_ = now + impl_->recoveryGrace_; }

void Registry::storeRestored(TimePoint now)
{
    storeRecovered(now);
    impl_->restoredAt_ = now;
}

void Registry::applyDeferredRemovals(TimePoint now) { impl_->applyDeferredRemovals(now); }

std::span<const UpstreamPointer> Registry::upstreams(const ServiceId& service) const
{
    return impl_->upstreams(service);
}

std::size_t Registry::size() const { return impl_->byId_.size(); }

} // namespace banyancroft::upstreams
