#include "store/fake_store.h"

#include <algorithm>
#include <utility>

namespace banyancroft::store {

namespace {

const Error downError { ErrorKind::Unavailable, "the fake store is down", "call setDown(false)" };
const Error lostError { ErrorKind::TimedOut, "the fake store lost the response", "read the key back" };
const Error lapsedError { ErrorKind::NotFound, "the lease has lapsed", "grant a new lease" };
const Error watchBrokenError { ErrorKind::Unavailable, "the watch was interrupted",
    "list the keys and start a new watch" };

} // namespace

template <typename Result>
void FakeStore::enqueue(
    bool write, Callback<Result> callback, std::function<std::optional<Result>(TimePoint, Error&)> effect)
{
    ++calls_;
    steps_.push_back(
        { {}, [this, write, callback = std::move(callback), effect = std::move(effect)](TimePoint now) {
             Error reason;
             std::optional<Result> result;
             if (down_) {
                 reason = downError;
             } else {
                 endExpiredLeases(now);
                 result = effect(now, reason);
             }
             if (result && write && responsesToLose_ > 0) {
                 --responsesToLose_;
                 result.reset();
                 reason = lostError;
             }
             steps_.push_back({ now + delay_,
                 [callback, result = std::move(result), reason](TimePoint) { callback(result, reason); } });
         } });
}

void FakeStore::get(std::string_view key, Callback<Listing> callback)
{
    enqueue<Listing>(false, std::move(callback), [this, key = std::string(key)](TimePoint, Error&) {
        Listing listing { {}, revision() };
        if (auto found = find(key))
            listing.entries.push_back(*found);
        return std::optional(listing);
    });
}

void FakeStore::list(std::string_view prefix, Callback<Listing> callback)
{
    enqueue<Listing>(false, std::move(callback), [this, prefix = std::string(prefix)](TimePoint, Error&) {
        Listing listing { {}, revision() };
        for (auto entry = values_.lower_bound(prefix);
             entry != values_.end() && entry->first.starts_with(prefix); ++entry)
            listing.entries.push_back(entry->second);
        return std::optional(listing);
    });
}

void FakeStore::compareAndSwap(Swap swap, Callback<SwapResult> callback)
{
    enqueue<SwapResult>(true, std::move(callback),
        [this, swap = std::move(swap)](TimePoint, Error& reason) -> std::optional<SwapResult> {
            SwapResult result;
            result.current = find(swap.key);
            result.revision = revision();
            if ((result.current ? result.current->modified : Revision {}) != swap.expected)
                return result;
            if (swap.lease && !leases_.contains(swap.lease.value)) {
                reason = lapsedError;
                return std::nullopt;
            }
            write(swap.key, swap.value, swap.lease);
            return SwapResult { true, revision(), std::nullopt };
        });
}

void FakeStore::grantLease(Duration timeToLive, Callback<LeaseGrant> callback)
{
    const Duration whole = std::chrono::ceil<std::chrono::seconds>(timeToLive);
    enqueue<LeaseGrant>(true, std::move(callback), [this, whole](TimePoint now, Error&) {
        const LeaseId lease { nextLease_++ };
        leases_[lease.value] = { whole, now + whole };
        return std::optional(LeaseGrant { lease, whole });
    });
}

void FakeStore::renewLease(LeaseId lease, Callback<LeaseGrant> callback)
{
    enqueue<LeaseGrant>(
        true, std::move(callback), [this, lease](TimePoint now, Error& reason) -> std::optional<LeaseGrant> {
            const auto found = leases_.find(lease.value);
            if (found == leases_.end()) {
                reason = lapsedError;
                return std::nullopt;
            }
            found->second.expires = now + found->second.timeToLive;
            return LeaseGrant { lease, found->second.timeToLive, {}, revision() };
        });
}

void FakeStore::revokeLease(LeaseId lease, Callback<bool> callback)
{
    enqueue<bool>(true, std::move(callback), [this, lease](TimePoint, Error& reason) -> std::optional<bool> {
        if (endLease(lease))
            return true;
        reason = lapsedError;
        return std::nullopt;
    });
}

void FakeStore::watch(std::string_view prefix, Revision after,
    std::function<void(std::span<const KeyValue>)> onChange, std::function<void(const Error&)> onEnd)
{
    ++calls_;
    steps_.push_back({ {},
        [this, prefix = std::string(prefix), after, onChange = std::move(onChange), onEnd = std::move(onEnd)](
            TimePoint) {
            if (down_)
                return onEnd(downError);
            watches_[prefix] = { onChange, onEnd };
            std::vector<KeyValue> missed;
            for (const auto& [changedAt, change] : history_) {
                if (changedAt > after.value && change.key.starts_with(prefix))
                    missed.push_back(change);
            }
            if (!missed.empty())
                onChange(missed);
        } });
}

bool FakeStore::runOne(TimePoint now)
{
    endExpiredLeases(now);
    const auto due = std::ranges::find_if(steps_, [now](const Step& step) { return step.due <= now; });
    if (due == steps_.end())
        return false;
    const auto step = std::move(*due);
    steps_.erase(due);
    step.action(now);
    return true;
}

void FakeStore::run(TimePoint now)
{
    while (runOne(now)) { }
}

void FakeStore::setDown(bool down)
{
    down_ = down;
    if (down)
        breakWatches();
}

void FakeStore::breakWatches()
{
    for (auto& [prefix, watch] : std::exchange(watches_, {}))
        steps_.push_back({ {}, [onEnd = std::move(watch.onEnd)](TimePoint) { onEnd(watchBrokenError); } });
}

void FakeStore::put(const std::string& key, std::string value) { write(key, std::move(value), {}); }

std::optional<KeyValue> FakeStore::find(const std::string& key) const
{
    const auto found = values_.find(key);
    return found == values_.end() ? std::nullopt : std::optional(found->second);
}

void FakeStore::restore(std::map<std::string, KeyValue> values)
{
    values_ = std::move(values);
    history_.clear();
    breakWatches();
}

void FakeStore::restore(std::map<std::string, KeyValue> values, Revision revision)
{
    restore(std::move(values));
    revision_ = revision.value;
}

void FakeStore::write(const std::string& key, std::optional<std::string> value, LeaseId lease)
{
    KeyValue change { key, {}, {}, {} };
    ++revision_;
    if (value) {
        change = { key, std::move(*value), { revision_ }, lease };
        values_[key] = change;
    } else {
        values_.erase(key);
    }
    history_.emplace_back(revision_, change);
    for (const auto& [prefix, watch] : watches_) {
        if (!key.starts_with(prefix))
            continue;
        steps_.push_back({ {}, [this, prefix = prefix, change](TimePoint) {
                              const auto found = watches_.find(prefix);
                              if (found == watches_.end())
                                  return;
                              // Copied, since the handler may end or replace the watch.
                              const auto onChange = found->second.onChange;
                              onChange({ &change, 1 });
                          } });
    }
}

bool FakeStore::endLease(LeaseId lease)
{
    if (leases_.erase(lease.value) == 0)
        return false;
    std::vector<std::string> attached;
    for (const auto& [key, stored] : values_) {
        if (stored.lease == lease)
            attached.push_back(key);
    }
    for (const auto& key : attached)
        write(key, std::nullopt, {});
    return true;
}

void FakeStore::endExpiredLeases(TimePoint now)
{
    std::vector<LeaseId> lapsed;
    for (const auto& [lease, state] : leases_) {
        if (state.expires <= now)
            lapsed.push_back({ lease });
    }
    for (const auto lease : lapsed)
        endLease(lease);
}

} // namespace banyancroft::store
