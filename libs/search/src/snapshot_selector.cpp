#include "snapshot_selector.h"

#include <algorithm>
#include <array>
#include <bit>

namespace banyancroft::search {

namespace {

/** Distinct index versions, newest first; at most 32, so that a 32-bit mask represents a subset of them. */
class CandidateVersions {
public:
    static constexpr std::size_t capacity = 32;
    using Mask = std::uint32_t;
    static constexpr Mask any = ~Mask { 0 };

    void add(const VersionSet& set)
    {
        for (const auto version : set.versions()) {
            auto* const end = values_.begin() + size_;
            auto* const position = std::lower_bound(values_.begin(), end, version, std::greater<> {});
            if (position != end && *position == version)
                continue;
            if (size_ < capacity) {
                ++size_;
            } else if (position == end) {
                continue;
            }
            std::move_backward(position, values_.begin() + size_ - 1, values_.begin() + size_);
            *position = version;
        }
    }

    Mask maskOf(const VersionSet& set) const
    {
        if (!set.known())
            return any;
        Mask mask = 0;
        for (const auto version : set.versions()) {
            for (std::size_t i = 0; i < size_; ++i) {
                if (values_[i] == version)
                    mask |= Mask { 1 } << i;
            }
        }
        return mask;
    }

    Mask all() const { return size_ == capacity ? any : (Mask { 1 } << size_) - 1; }
    std::size_t size() const { return size_; }
    std::uint64_t operator[](std::size_t position) const { return values_[position]; }

private:
    std::array<std::uint64_t, capacity> values_ {};
    std::size_t size_ = 0;
};

} // namespace

SnapshotChoice SnapshotSelector::select(
    const std::shared_ptr<const Topology>& topology, std::uint32_t collection) const
{
    const auto& groups = topology->collections[collection].groups;
    SnapshotChoice choice { topology, collection, { topology->layout, {} }, 0,
        static_cast<std::uint32_t>(groups.size()) };

    CandidateVersions candidates;
    for (const auto group : groups) {
        for (const auto slot : topology->membersOf(topology->groups[group])) {
            const auto& state = cluster_.upstream(slot);
            if (state.serving() && state.layouts.mayContain(topology->layout.value))
                candidates.add(state.indexes);
        }
    }

    std::array<std::uint32_t, CandidateVersions::capacity> capableGroups {};
    std::uint32_t groupsCapableAtAny = 0;
    CandidateVersions::Mask readyInAllGroups = candidates.all();
    CandidateVersions::Mask aliveInAllGroups = candidates.all();
    for (const auto group : groups) {
        CandidateVersions::Mask ready = 0;
        CandidateVersions::Mask alive = 0;
        CandidateVersions::Mask serving = 0;
        for (const auto slot : topology->membersOf(topology->groups[group])) {
            const auto& state = cluster_.upstream(slot);
            if (!state.serving() || !state.layouts.mayContain(topology->layout.value))
                continue;
            const auto mask = candidates.maskOf(state.indexes);
            serving |= mask;
            alive |= state.failing() ? 0 : mask;
            ready |= state.failing() || state.cold ? 0 : mask;
        }
        groupsCapableAtAny += serving != 0 ? 1 : 0;
        for (std::size_t i = 0; i < candidates.size(); ++i)
            capableGroups[i] += (serving >> i) & 1U;
        // A group without a working upstream is missing at any version, so it must not hold back the others.
        if (alive != 0) {
            readyInAllGroups &= ready;
            aliveInAllGroups &= alive;
        }
    }

    if (candidates.size() == 0) {
        choice.capableGroups = groupsCapableAtAny;
        return choice;
    }
    std::size_t best = 0;
    if (readyInAllGroups != 0) {
        best = static_cast<std::size_t>(std::countr_zero(readyInAllGroups));
    } else if (aliveInAllGroups != 0) {
        best = static_cast<std::size_t>(std::countr_zero(aliveInAllGroups));
    } else {
        best = static_cast<std::size_t>(
            std::max_element(capableGroups.begin(), capableGroups.begin() + candidates.size())
            - capableGroups.begin());
    }
    choice.snapshot.index = { candidates[best] };
    choice.capableGroups = capableGroups[best];
    return choice;
}

} // namespace banyancroft::search
