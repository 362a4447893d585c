#pragma once

#include "base/error.h"
#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyancroft::membership {

/** Longest text of a view or member record, in bytes: the store's limit for the value of one key. */
constexpr std::size_t maxDocumentBytes = 1024 * 1024;
/** Limit on the number of members, of departing members and of settled VMs of one view. */
constexpr std::size_t maxMembers = 4096;
/** Longest name or address in a view or member record, in bytes. */
constexpr std::size_t maxNameBytes = 256;

/** One incarnation of a daemon as a member of an availability zone's view. */
struct Member {
    VmId vm;
    Incarnation incarnation;
    /** Address and port under which other daemons reach it. */
    std::string address;
    /** View in which it became a member. */
    ViewNumber joined;
    /** True when the platform's VM list contained its VM before it joined. Only then does absence from the
     * list prove that the VM stopped. */
    bool listed = false;

    bool operator==(const Member&) const = default;
};

/**
 * Numbered membership of one availability zone; its members may be homes of the zone's upstreams. Stored and
 * changed only by compare-and-swap. `number` increases with each change of `members`; `departing` can shrink
 * and `settled` can be replaced under the same number.
 */
struct View {
    AvailabilityZone zone;
    ViewNumber number;
    std::vector<Member> members;
    /** Removed members that are not yet known to have stopped sending. */
    std::vector<Member> departing;
    /** VMs of the last settled view: the first view, or a later one that all its members acknowledged. At
     * least one of these VMs must acknowledge a view before a member activates it. Empty only when all of
     * them are known to have stopped. */
    std::vector<VmId> settled;
    /** Latest view that removed a member. A daemon that missed it keeps an upstream only after the barrier.
     */
    ViewNumber lastRemoval;

    const Member* find(const VmId& vm) const;
    const Member* find(const VmId& vm, Incarnation incarnation) const;
    const Member* findDeparting(const VmId& vm, Incarnation incarnation) const;

    bool operator==(const View&) const = default;
};

/** @return the JSON text that is stored and sent to peers */
std::string serialize(const View& view);
/** @return empty when the text is not a view; `reason` is then MalformedMessage and names the field */
std::optional<View> parseView(std::string_view text, Error& reason);

/** Requests that a daemon has sent to one upstream and that may still run there. */
struct InFlight {
    UpstreamId upstream;
    unsigned count = 0;

    bool operator==(const InFlight&) const = default;
};

/** Whether a daemon asks to be added to the view or removed from it. */
enum class Intent : std::uint8_t { Join, Leave };

/** Record of one daemon at the store, attached to its lease; the store deletes it when the lease lapses. */
struct MemberRecord {
    VmId vm;
    Incarnation incarnation;
    std::string address;
    /** Latest view in which it has stopped sending to upstreams of which it is no longer the home. */
    ViewNumber acknowledged;
    Intent intent = Intent::Join;
    /** See Member::listed. */
    bool listed = false;
    /** Own and inherited requests in flight when it acknowledged; upstreams without any are omitted. */
    std::vector<InFlight> inFlight;

    bool operator==(const MemberRecord&) const = default;
};

std::string serialize(const MemberRecord& record);
/** @return empty when the text is not a member record; `reason` is then MalformedMessage and names the field
 */
std::optional<MemberRecord> parseMemberRecord(std::string_view text, Error& reason);

/** Rendezvous weight of a VM for a name; the home of an upstream is the member with the highest weight. */
std::uint64_t weight(const VmId& vm, std::string_view name);
/**
 * Looks up homes in one view, with the members' part of the weights computed once, for many look-ups.
 * Holds a pointer to the view's members, which must outlive it unchanged.
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
/** All members in rendezvous order for the zone's name. The first ones maintain the view and watch the store.
 */
std::vector<const Member*> maintenanceOrder(const View& view);
/** The two members that watch the store on behalf of the zone. */
std::vector<const Member*> watchers(const View& view);

} // namespace banyancroft::membership
