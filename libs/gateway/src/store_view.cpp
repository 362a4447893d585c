#include "store_view.h"

#include <algorithm>

namespace banyancroft::gateway {

namespace {

/** Maximum number of removals kept; a VM that has missed more of them gets a full update. */
constexpr std::size_t maxRemovals = 1000;

} // namespace

bool StoreView::apply(const ViewUpdate& update, store::Revision baseRevision)
{
    const auto revision = update.content.revision;
    if (revision < revision_ || (!update.isFull && baseRevision != revision_))
        return false;
    if (update.isFull) {
        entries_.clear();
        removals_.clear();
        removalsCompleteAfter_ = revision;
    }
    for (const auto& item : update.content.entries) {
        if (item.modified) {
            entries_[item.key] = { item, revision };
        } else if (entries_.erase(item.key) > 0) {
            removals_.emplace(revision, item.key);
        }
    }
    pruneRemovals();
    revision_ = revision;
    currentAt_ = std::max(currentAt_, update.currentAt);
    return true;
}

void StoreView::pruneRemovals()
{
    while (removals_.size() > maxRemovals) {
        removalsCompleteAfter_ = removals_.begin()->first;
        removals_.erase(removals_.begin(), removals_.upper_bound(removalsCompleteAfter_));
    }
}

ViewUpdate StoreView::since(store::Revision knownRevision) const
{
    ViewUpdate update;
    update.isFull = knownRevision < removalsCompleteAfter_;
    update.content.revision = revision_;
    update.currentAt = currentAt_;
    for (const auto& [key, entry] : entries_) {
        if (update.isFull || entry.seenAtRevision > knownRevision)
            update.content.entries.push_back(entry.item);
    }
    if (update.isFull)
        return update;
    for (auto removal = removals_.upper_bound(knownRevision); removal != removals_.end(); ++removal) {
        // A key that was written again after its removal is already among the entries.
        if (!entries_.contains(removal->second))
            update.content.entries.push_back({ removal->second, {}, {}, {} });
    }
    return update;
}

} // namespace banyancroft::gateway
