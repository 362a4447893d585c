#pragma once

#include "base/error.h"
#include "gateway/settings.h"
#include "rollout/types.h"
#include "routing/configuration.h"
#include "store/store.h"
#include "upstreams/registry.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace banyancroft::gateway {

/** An availability zone is evacuated, or its evacuation ends. */
struct ZoneEvacuationChange {
    AvailabilityZone zone;
    bool isEvacuated = false;
};

/** Registration of a VM that dispatches, as stored. */
struct MemberRecord {
    AvailabilityZone zone;
    /** Address that serves its view of the store to other VMs; port zero when there is none. */
    ListenAddress relay;
    /** Address at which it takes over requests; port zero when it does not. */
    ListenAddress handover {};
    /** Processor cores; may be fractional. */
    double processors = 1;
};

/** A gateway VM has registered or, without a record, its registration has ended. */
struct MemberChange {
    VmId vm;
    std::optional<MemberRecord> record;
};

/** An operator has ordered a roll-out or, without an order, withdrawn it. */
struct RolloutOrder {
    ServiceId service;
    std::optional<rollout::Order> order;
};

struct RolloutStatus {
    ServiceId service;
    std::optional<rollout::Status> status;
};

struct RolloutStep {
    ServiceId service;
    std::optional<rollout::Step> step;
};

/** A key that the gateway does not use. */
struct IgnoredKey { };

/** Decoded entry of the store. */
using StoreItem = std::variant<IgnoredKey, routing::Configuration, upstreams::RegistryChange,
    ZoneEvacuationChange, MemberChange, RolloutOrder, RolloutStatus, RolloutStep>;

/** Layout and encoding of the gateway's data in the store. */
struct StoreLayout {
    /** Common prefix of all keys that are listed and polled. */
    std::string watchedPrefix;
    /** Prefix of the keys under which VMs register themselves. */
    std::string memberPrefix;
    /** Encodes the value under which a VM registers. */
    std::function<std::string(const MemberRecord&)> encodeMember;
    /** Keys and values under which the progress of a roll-out is written. */
    std::function<std::string(const ServiceId&)> rolloutStatusKey;
    std::function<std::string(const ServiceId&)> rolloutStepKey;
    std::function<std::string(const rollout::Status&)> encodeRolloutStatus;
    std::function<std::string(const rollout::Step&)> encodeRolloutStep;
    /** Decodes an entry; empty with a reason when the value is malformed. Such an entry is ignored. */
    std::function<std::optional<StoreItem>(const store::KeyValue&, Error&)> decode;
    /** Decodes the deletion of a key. */
    std::function<StoreItem(std::string_view key)> decodeRemoval;
    /**
     * True if an entry of the time before the store was restored from a copy stays in force against that of
     * the copy, such as a newer configuration; see StoreView::Outranks. Empty if there are no such entries.
     */
    std::function<bool(const store::KeyValue& entry, const store::KeyValue& ofCopy)> outranks {};
};

} // namespace banyancroft::gateway
