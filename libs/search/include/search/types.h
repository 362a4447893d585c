#pragma once

#include "base/ids.h"
#include "wire/messages.h"

#include <compare>
#include <cstdint>
#include <random>

namespace banyancroft::search {

/** Place of an upstream in the dense table of a ClusterState; the same for as long as it is configured. */
using UpstreamSlot = std::uint32_t;
/** Place of a service in the tables of ClusterState and PolicyState; never reused. */
using ServiceSlot = std::uint32_t;
/** Place of an availability zone in the table of a ClusterState; never reused. */
using ZoneSlot = std::uint32_t;

/** Stands for "none" in each of the tables above. */
constexpr std::uint32_t noSlot = 0xffff'ffff;

/** Source of randomness. The caller owns and seeds it, so that a run can be repeated. */
using Random = std::mt19937_64;

/** The versions that all rows of one answer have. */
struct Snapshot {
    LayoutVersion layout;
    /** Zero while no upstream has named a version yet. */
    IndexVersion index;

    // clang-tidy 14 misreads the defaulted comparison.
    auto operator<=>(const Snapshot&) const = default; // NOLINT(modernize-use-nullptr)
};

/** Hands out the sequence numbers of one entry, rising, never twice. */
class SequenceGenerator {
public:
    wire::SequenceNumber next() { return { ++last_ }; }

private:
    std::uint64_t last_ = 0;
};

} // namespace banyancroft::search
