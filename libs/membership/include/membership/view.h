#pragma once

#include "base/error.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyancroft::membership {

/** Longest text of a view or member record, in bytes: what the store holds under one key. */
constexpr std::size_t maxDocumentBytes = 1024 * 1024;
/** Most members, departing members or settled VMs of one view. */
constexpr std::size_t maxMembers = 4096;
/** Longest name or address in a view or member record, in bytes. */
constexpr std::size_t maxNameBytes = 256;

/** One run of a daemon as a member of an availability zone's view. */
struct Member {
    VmId vm;
    Incarnation incarnation;
    /** Address and port under which other daemons reach it. */
    std::string address;
    /** View in which it became a member. */
    ViewNumber joined;
    /** True when the VM list named its VM before it joined; only then does its absence from the list prove
     * that it stopped. */
    bool listed = false;

    bool operator==(const Member&) const = default;
};

/**
 * Who may be home of the upstreams of one availability zone; kept at the store and changed only by
 * compare-and-swap. `number` rises with each change of `members`. `departing` shrinks and `settled` is
 * replaced under an unchanged number.
 */
struct View {
    AvailabilityZone zone;
    ViewNumber number;
    std::vector<Member> members;
    /** Removed members that are not yet known to have stopped. */
    std::vector<Member> departing;
    /** VMs of the last settled view. One of them has to acknowledge a view before anyone activates it; empty
     * only when all of them are known to have stopped. */
    std::vector<VmId> settled;
    /** Latest view that removed a member. A daemon that missed it keeps no upstream without the barrier. */
    ViewNumber lastRemoval;

    const Member* find(const VmId& vm) const;
    const Member* find(const VmId& vm, Incarnation incarnation) const;
    const Member* findDeparting(const VmId& vm, Incarnation incarnation) const;

    bool operator==(const View&) const = default;
};

std::string serialize(const View& view);
/** @return empty with ErrorKind::MalformedMessage that names the field when the text is no view */
std::optional<View> parseView(std::string_view text, Error& reason);

/** Requests that a daemon has sent to one upstream and that may still run there. */
struct InFlight {
    UpstreamId upstream;
    unsigned count = 0;

    bool operator==(const InFlight&) const = default;
};

/** What a daemon wants of the view. */
enum class Intent : std::uint8_t { Join, Leave };

/** What a daemon keeps at the store under its lease; the record disappears when the lease lapses. */
struct MemberRecord {
    VmId vm;
    Incarnation incarnation;
    std::string address;
    /** Latest view under which it has stopped sending to the upstreams that it lost. */
    ViewNumber acknowledged;
    Intent intent = Intent::Join;
    /** See Member::listed. */
    bool listed = false;
    /** Own and inherited requests at the time of the acknowledgement; upstreams without any are left out. */
    std::vector<InFlight> inFlight;

    bool operator==(const MemberRecord&) const = default;
};

std::string serialize(const MemberRecord& record);
/** @return empty with ErrorKind::MalformedMessage that names the field when the text is no member record */
std::optional<MemberRecord> parseMemberRecord(std::string_view text, Error& reason);

/** Rendezvous weight of a VM for a name; the member with the highest weight is the home. */
std::uint64_t weight(const VmId& vm, std::string_view name);
/**
 * Finds homes in one view, with the members' part of the weights computed once; for many look-ups.
 * Holds pointers to the view's members, which have to outlive it unchanged.
 */
class HomeFinder {
public:
    explicit HomeFinder(const View& view);

    /** Home of an upstream; null when the view has no members. */
    const Member* homeOf(const UpstreamId& upstream) const;

private:
    const std::vector<Member>* members_;
    std::vector<std::uint64_t> seeds_;
};

/** Home of an upstream; null when the view has no members. */
const Member* homeOf(const UpstreamId& upstream, const View& view);
/** The first `count` members in rendezvous order, the home first. */
std::vector<const Member*> successors(const UpstreamId& upstream, const View& view, std::size_t count);
/** All members in the rendezvous order of the zone's name: who maintains the view and watches first. */
std::vector<const Member*> maintenanceOrder(const View& view);
/** The two members that watch the store for the whole zone. */
std::vector<const Member*> watchers(const View& view);

} // namespace banyancroft::membership
