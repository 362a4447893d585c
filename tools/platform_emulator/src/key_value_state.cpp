#include "platform_emulator/key_value_state.h"

#include <utility>

namespace banyancroft::tools {

bool KeyRange::contains(std::string_view key) const
{
    if (end.empty())
        return key == begin;
    if (key < begin)
        return false;
    return end == std::string_view("\0", 1) || key < end;
}

std::optional<StoredValue> KeyValueState::find(const std::string& key) const
{
    const auto found = values_.find(key);
    if (found == values_.end())
        return std::nullopt;
    return found->second;
}

std::vector<std::pair<std::string, StoredValue>> KeyValueState::range(const KeyRange& range) const
{
    std::vector<std::pair<std::string, StoredValue>> result;
    for (auto entry = values_.lower_bound(range.begin); entry != values_.end(); ++entry) {
        if (!range.contains(entry->first))
            break;
        result.emplace_back(entry->first, entry->second);
    }
    return result;
}

void KeyValueState::put(const std::string& key, std::string value, std::int64_t lease)
{
    auto& stored = values_[key];
    const auto next = revision_ + 1;
    if (stored.version == 0)
        stored.createRevision = next;
    stored.value = std::move(value);
    stored.modRevision = next;
    stored.lease = lease;
    ++stored.version;
    record({ key, stored, next });
}

std::int64_t KeyValueState::erase(const KeyRange& range)
{
    std::int64_t count = 0;
    for (auto entry = values_.lower_bound(range.begin);
         entry != values_.end() && range.contains(entry->first);) {
        record({ entry->first, std::nullopt, revision_ + 1 });
        entry = values_.erase(entry);
        ++count;
    }
    return count;
}

bool KeyValueState::endWrite()
{
    if (!changed_)
        return false;
    ++revision_;
    return true;
}

void KeyValueState::record(StoreEvent event)
{
    changed_ = true;
    history_.push_back(std::move(event));
    if (history_.size() <= historyLimit)
        return;
    // Drops half of the history at once, so that a write takes amortized constant time.
    const auto kept = history_.begin() + historyLimit / 2;
    compactRevision_ = std::prev(kept)->revision;
    history_.erase(history_.begin(), kept);
}

std::int64_t KeyValueState::grantLease(Duration timeToLive, TimePoint now)
{
    const auto lease = nextLease_++;
    leases_[lease] = { timeToLive, now + timeToLive };
    return lease;
}

std::optional<Duration> KeyValueState::renewLease(std::int64_t lease, TimePoint now)
{
    const auto found = leases_.find(lease);
    if (found == leases_.end())
        return std::nullopt;
    found->second.expires = now + found->second.timeToLive;
    return found->second.timeToLive;
}

bool KeyValueState::revokeLease(std::int64_t lease)
{
    if (leases_.erase(lease) == 0)
        return false;
    beginWrite();
    std::vector<std::string> attached;
    for (const auto& [key, stored] : values_) {
        if (stored.lease == lease)
            attached.push_back(key);
    }
    for (const auto& key : attached)
        erase({ key, {} });
    endWrite();
    return true;
}

void KeyValueState::expireLeases(TimePoint now)
{
    std::vector<std::int64_t> expired;
    for (const auto& [lease, state] : leases_) {
        if (state.expires <= now)
            expired.push_back(lease);
    }
    for (const auto lease : expired)
        revokeLease(lease);
}

void KeyValueState::extendLeases(TimePoint now)
{
    for (auto& [lease, state] : leases_)
        state.expires = now + state.timeToLive;
}

std::vector<StoreEvent> KeyValueState::eventsSince(std::int64_t firstRevision, const KeyRange& range) const
{
    std::vector<StoreEvent> result;
    for (const auto& event : history_) {
        if (event.revision >= firstRevision && range.contains(event.key))
            result.push_back(event);
    }
    return result;
}

} // namespace banyancroft::tools
