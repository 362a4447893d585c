#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace banyancroft {

/**
 * A string identifier that does not convert to identifiers of another kind.
 *
 *     UpstreamId upstream { "desk-03-b" };
 *     std::string_view text = upstream.view();
 */
template <typename Tag> class StringId {
public:
    StringId() = default;
    explicit StringId(std::string value)
        : value_(std::move(value))
    {
    }

    std::string_view view() const { return value_; }
    const std::string& str() const { return value_; }
    bool empty() const { return value_.empty(); }

    // clang-tidy 14 mistakes the 0 in the generated comparison for a null pointer.
    auto operator<=>(const StringId&) const = default; // NOLINT(modernize-use-nullptr)

    friend std::ostream& operator<<(std::ostream& out, const StringId& id) { return out << id.value_; }

private:
    std::string value_;
};

/** A numeric identifier or version that does not convert to those of another kind. Zero means "none". */
template <typename Tag> struct NumberId {
    std::uint64_t value = 0;

    auto operator<=>(const NumberId&) const = default; // NOLINT(modernize-use-nullptr)
    explicit operator bool() const { return value != 0; }

    friend std::ostream& operator<<(std::ostream& out, const NumberId& id) { return out << id.value; }
};

using VmId = StringId<struct VmTag>;
using AvailabilityZone = StringId<struct AvailabilityZoneTag>;
using RegionId = StringId<struct RegionTag>;
/** A customer of the operators, whose callers share API keys and limits. */
using CustomerId = StringId<struct CustomerTag>;
using ServiceId = StringId<struct ServiceTag>;
using GroupId = StringId<struct GroupTag>;
using ShardId = StringId<struct ShardTag>;
/** Identifies one upstream process, which is one replica of a shard group. */
using UpstreamId = StringId<struct UpstreamTag>;
using IdempotencyKey = StringId<struct IdempotencyKeyTag>;

/** Identifies one run of a daemon on a VM. Chosen at random at start, so that a restarted daemon counts as a
 * new member. */
using Incarnation = NumberId<struct IncarnationTag>;
/** Number of the membership view of an availability zone; increases by one with each change. */
using ViewNumber = NumberId<struct ViewNumberTag>;
using ConfigVersion = NumberId<struct ConfigVersionTag>;
/** Version of the assignment of shards to groups. */
using LayoutVersion = NumberId<struct LayoutVersionTag>;
/** Version of the index contents; each answer reflects exactly one version. */
using IndexVersion = NumberId<struct IndexVersionTag>;

} // namespace banyancroft

template <typename Tag> struct std::hash<banyancroft::StringId<Tag>> {
    std::size_t operator()(const banyancroft::StringId<Tag>& id) const noexcept
    {
        return std::hash<std::string_view> {}(id.view());
    }
};

template <typename Tag> struct std::hash<banyancroft::NumberId<Tag>> {
    std::size_t operator()(const banyancroft::NumberId<Tag>& id) const noexcept
    {
        return std::hash<std::uint64_t> {}(id.value);
    }
};
