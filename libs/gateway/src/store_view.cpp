#include "store_view.h"

#include <algorithm>

namespace banyancroft::gateway {

namespace {

/** Removals that are remembered; a VM that lacks more of them gets everything. */
constexpr std::size_t rememberedRemovals = 1000;

} // namespace

bool StoreView::apply(const ViewUpdate& update, store::Revision askedAfter)
{
    const auto revision = update.content.revision;
    if (revision < revision_ || (!update.isFull && askedAfter != revision_))
        return false;
    if (update.isFull) {
        entries_.clear();
        removals_.clear();
        removalsKnownAfter_ = revision;
    }
    for (const auto& item : update.content.entries) {
        if (item.modified) {
            entries_[item.key] = { item, revision };
        } else if (entries_.erase(item.key) > 0) {
            removals_.emplace(revision, item.key);
        }
    }
    forgetOldRemovals();
    revision_ = revision;
    currentAt_ = std::max(currentAt_, update.currentAt);
    storeReturnedAt_ = std::max(storeReturnedAt_, update.storeReturnedAt);
    return true;
}

void StoreView::forgetOldRemovals()
{
    while (removals_.size() > rememberedRemovals) {
        removalsKnownAfter_ = removals_.begin()->first;
        removals_.erase(removals_.begin(), removals_.upper_bound(removalsKnownAfter_));
    }
}

ViewUpdate StoreView::since(store::Revision known) const
{
    ViewUpdate update;
    update.isFull = known < removalsKnownAfter_;
    update.content.revision = revision_;
    update.currentAt = currentAt_;
    update.storeReturnedAt = storeReturnedAt_;
    for (const auto& [key, entry] : entries_) {
        if (update.isFull || entry.seenAt > known)
            update.content.entries.push_back(entry.item);
    }
    if (update.isFull)
        return update;
    for (auto removal = removals_.upper_bound(known); removal != removals_.end(); ++removal) {
        // A key that was written again since is among the entries.
        if (!entries_.contains(removal->second))
            update.content.entries.push_back({ removal->second, {}, {}, {} });
    }
    return update;
}

} // namespace banyancroft::gateway
