#pragma once

#include "base/error.h"
#include "routing/configuration.h"
#include "store/store.h"
#include "upstreams/registry.h"

#include <functional>
#include <string>
#include <variant>

namespace banyancroft::gateway {

/** An availability zone is taken out, or taken back. */
struct ZoneOutChange {
    AvailabilityZone zone;
    bool isOut = false;
};

/** A VM of the gateway registered, or its registration ended. */
struct MemberChange {
    VmId vm;
    bool isLive = false;
};

/** A key that concerns nobody here. */
struct OtherKey { };

/** What a key of the store means. */
using StoreItem
    = std::variant<OtherKey, routing::Configuration, upstreams::RegistryChange, ZoneOutChange, MemberChange>;

/** How the gateway's data lies in the store. */
struct StoreLayout {
    /** Common prefix of all keys that are read and watched. */
    std::string watchedPrefix;
    /** Prefix of the keys under which VMs register themselves. */
    std::string memberPrefix;
    /** Reads a key; empty with a reason when its value cannot be read. Such a key changes nothing. */
    std::function<std::optional<StoreItem>(const store::KeyValue&, Error&)> decode;
    /** The same for a key that was deleted. */
    std::function<StoreItem(std::string_view key)> decodeRemoval;
};

} // namespace banyancroft::gateway
