#pragma once

#include "base/ids.h"
#include "wire/messages.h"

#include <compare>
#include <cstdint>
#include <random>

namespace banyancroft::search {

/** Index of an upstream in the table of a ClusterState; stable while the upstream is configured. */
using UpstreamSlot = std::uint32_t;
/** Index of a service in the tables of ClusterState and PolicyState; never reused. */
using ServiceSlot = std::uint32_t;
/** Index of an availability zone in the table of a ClusterState; never reused. */
using ZoneSlot = std::uint32_t;

/** Value of each of the types above that stands for "none". */
constexpr std::uint32_t noSlot = 0xffff'ffff;

/** Random number generator. The caller owns and seeds it, so that a run is reproducible. */
using Random = std::mt19937_64;

/** Layout and index version; all rows of an answer come from one snapshot. */
struct Snapshot {
    LayoutVersion layout;
    /** Zero until an upstream has reported a version. */
    IndexVersion index;

    // clang-tidy 14 reports a false positive on the defaulted comparison.
    auto operator<=>(const Snapshot&) const = default; // NOLINT(modernize-use-nullptr)
};

/** Generates the sequence numbers of the sub-requests of one Entry; strictly increasing. */
class SequenceGenerator {
public:
    wire::SequenceNumber next() { return { ++last_ }; }

private:
    std::uint64_t last_ = 0;
};

} // namespace banyancroft::search
