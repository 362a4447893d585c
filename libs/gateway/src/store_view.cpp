#include "store_view.h"

#include "base/rendezvous.h"

#include <algorithm>
#include <utility>

namespace banyancroft::gateway {

namespace {

/** Maximum number of removals kept; a VM that has missed more of them gets a full update. */
constexpr std::size_t maxRemovals = 1000;

} // namespace

StoreView::StoreView(Outranks outranks)
    : outranks_(std::move(outranks))
{
}

bool StoreView::apply(const ViewUpdate& update, ViewPosition base)
{
    const ViewPosition position { update.content.revision, update.content.era };
    if (position.era < position_.era || (!update.isFull && (base != position_ || position.era != base.era)))
        return false;
    const bool isNewEra = position.era > position_.era;
    if (!isNewEra && position.revision < position_.revision)
        return false;
    std::map<std::string, Entry> replaced;
    if (update.isFull) {
        replaced.swap(entries_);
        removals_.clear();
        removalsCompleteAfter_ = position.revision;
    }
    for (const auto& item : update.content.entries) {
        if (item.modified) {
            entries_[item.key] = { item, position.revision };
        } else if (entries_.erase(item.key) > 0) {
            removals_.emplace(position.revision, item.key);
        }
        releaseRetained(item);
    }
    if (isNewEra)
        retainFrom(replaced);
    pruneRemovals();
    position_ = position;
    currentAt_ = std::max(currentAt_, update.currentAt);
    return true;
}

bool StoreView::outranksStored(const store::KeyValue& item) const
{
    const auto stored = entries_.find(item.key);
    return outranks_
        && outranks_(
            item, stored == entries_.end() ? store::KeyValue { item.key, {}, {}, {} } : stored->second.item);
}

void StoreView::retainFrom(const std::map<std::string, Entry>& replaced)
{
    for (const auto& [key, entry] : replaced) {
        // What is retained already outranked the replaced entry.
        if (!retained_.contains(key) && outranksStored(entry.item))
            retained_[key] = entry.item;
    }
}

void StoreView::releaseRetained(const store::KeyValue& item)
{
    const auto found = retained_.find(item.key);
    if (found != retained_.end() && !outranks_(found->second, item))
        retained_.erase(found);
}

std::vector<store::KeyValue> StoreView::retain(std::span<const store::KeyValue> entries, store::StoreEra era)
{
    std::vector<store::KeyValue> added;
    if (era != position_.era)
        return added;
    for (const auto& item : entries) {
        const auto known = retained_.find(item.key);
        if (!outranksStored(item) || (known != retained_.end() && !outranks_(item, known->second)))
            continue;
        retained_[item.key] = item;
        added.push_back(item);
    }
    return added;
}

std::uint64_t StoreView::retainedDigest() const
{
    std::uint64_t digest = 0;
    for (const auto& [key, item] : retained_)
        digest ^= rendezvousWeight(VmId(key), item.value);
    return digest;
}

void StoreView::pruneRemovals()
{
    while (removals_.size() > maxRemovals) {
        removalsCompleteAfter_ = removals_.begin()->first;
        removals_.erase(removals_.begin(), removals_.upper_bound(removalsCompleteAfter_));
    }
}

ViewUpdate StoreView::since(ViewPosition known, std::uint64_t knownRetained) const
{
    ViewUpdate update;
    update.content.revision = position_.revision;
    update.content.era = position_.era;
    update.currentAt = currentAt_;
    if (known.era > position_.era)
        return update;
    update.isFull = known.era < position_.era || known.revision < removalsCompleteAfter_;
    if (knownRetained != retainedDigest()) {
        for (const auto& [key, item] : retained_)
            update.retained.push_back(item);
    }
    for (const auto& [key, entry] : entries_) {
        if (update.isFull || entry.seenAtRevision > known.revision)
            update.content.entries.push_back(entry.item);
    }
    if (update.isFull)
        return update;
    for (auto removal = removals_.upper_bound(known.revision); removal != removals_.end(); ++removal) {
        // A key that was written again after its removal is already among the entries.
        if (!entries_.contains(removal->second))
            update.content.entries.push_back({ removal->second, {}, {}, {} });
    }
    return update;
}

} // namespace banyancroft::gateway
