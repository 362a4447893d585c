#pragma once

#include "base/error.h"
#include "gateway/settings.h"
#include "routing/configuration.h"
#include "store/store.h"
#include "upstreams/registry.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace banyancroft::gateway {

/** An availability zone is taken out, or taken back. */
struct ZoneEvacuationChange {
    AvailabilityZone zone;
    bool isEvacuated = false;
};

/** What a VM of the gateway registers of itself. */
struct MemberRecord {
    AvailabilityZone zone;
    /** Where it tells other VMs its view of the store; port zero when it does not. */
    ListenAddress relay;
};

/** A VM of the gateway registered, or with no record the end of its registration. */
struct MemberChange {
    VmId vm;
    std::optional<MemberRecord> record;
};

/** A key that concerns nobody here. */
struct IgnoredKey { };

/** What a key of the store means. */
using StoreItem = std::variant<IgnoredKey, routing::Configuration, upstreams::RegistryChange,
    ZoneEvacuationChange, MemberChange>;

/** How the gateway's data lies in the store. */
struct StoreLayout {
    /** Common prefix of all keys that are read and watched. */
    std::string watchedPrefix;
    /** Prefix of the keys under which VMs register themselves. */
    std::string memberPrefix;
    /** The value that a VM registers. */
    std::function<std::string(const MemberRecord&)> encodeMember;
    /** Reads a key; empty with a reason when its value cannot be read. Such a key changes nothing. */
    std::function<std::optional<StoreItem>(const store::KeyValue&, Error&)> decode;
    /** The same for a key that was deleted. */
    std::function<StoreItem(std::string_view key)> decodeRemoval;
};

} // namespace banyancroft::gateway
