#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace banyancroft::config {

/** Options that an operator can add to any edit. */
struct EditOptions {
    /** The edit applies to this version of the document only; any other version gives ErrorKind::Conflict. */
    std::optional<ConfigVersion> ifVersion;
    /** Skips the checks that protect service, such as taking out the last serving zone. */
    bool force = false;

    bool operator==(const EditOptions&) const = default;
};

/** `take out zone Z`: the zone receives no new requests. */
struct TakeOutZone {
    AvailabilityZone zone;
    EditOptions options;

    bool operator==(const TakeOutZone&) const = default;
};

/** `return zone Z`: the zone serves again. */
struct ReturnZone {
    AvailabilityZone zone;
    EditOptions options;

    bool operator==(const ReturnZone&) const = default;
};

/** `drain upstream U`: the upstream receives no new requests. */
struct DrainUpstream {
    UpstreamId upstream;
    EditOptions options;

    bool operator==(const DrainUpstream&) const = default;
};

/** `undrain upstream U`: the upstream serves again, from a cold start. */
struct UndrainUpstream {
    UpstreamId upstream;
    EditOptions options;

    bool operator==(const UndrainUpstream&) const = default;
};

enum class ServiceSetting : std::uint8_t { Slots, Connections, ColdLimit, ConnectTime };

enum class PolicySetting : std::uint8_t {
    DefaultDeadline,
    MaxDeadline,
    AnswerReserve,
    Hedge,
    HedgeQuantile,
    HedgeBudgetPercent,
    RetryBudgetPercent,
    QueueLimit,
    WarmupAnswersPerStep,
};

/** The name used in statements. Names of durations have no unit, since the value carries one. */
std::string_view toString(ServiceSetting setting);
std::string_view toString(PolicySetting setting);

/** Value of a setting: switch (on or off), count, ratio or duration. */
using SettingValue = std::variant<bool, std::uint64_t, double, Duration>;

/** `set service S SETTING VALUE`. */
struct SetService {
    ServiceId service;
    ServiceSetting setting = ServiceSetting::Slots;
    SettingValue value;
    EditOptions options;

    bool operator==(const SetService&) const = default;
};

/** `set policy SETTING VALUE`. */
struct SetPolicy {
    PolicySetting setting = PolicySetting::DefaultDeadline;
    SettingValue value;
    EditOptions options;

    bool operator==(const SetPolicy&) const = default;
};

/** `load config {…}`: replaces the whole document, or creates the first one. */
struct LoadConfig {
    /** JSON text in the format of docs/query-path.md, section 3.4. */
    std::string document;
    EditOptions options;

    bool operator==(const LoadConfig&) const = default;
};

/** A change of the configuration document. */
using Edit = std::variant<TakeOutZone, ReturnZone, DrainUpstream, UndrainUpstream, SetService, SetPolicy,
    LoadConfig>;

} // namespace banyancroft::config
