#pragma once

#include "base/error.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace banyancroft::ctl {

/** Unparsed settings from flags or environment variables. */
struct RawSettings {
    std::string daemon = "127.0.0.1:8080";
    std::string token;
    std::string timeout = "10s";
    std::string format = "table";
};

enum class Format : std::uint8_t { Table, Json };

/** Parsed and validated settings. */
struct Settings {
    /** IPv4 or IPv6 address of the daemon, without port. */
    std::string address;
    std::uint16_t port = 0;
    /** Credential for operator commands; empty for none. */
    std::string token;
    /** Total time limit for connecting, sending the request and receiving the answer. */
    Duration timeout {};
    Format format = Format::Table;
};

/**
 * Parses and validates settings.
 * @return empty with ErrorKind::InvalidInput; the message names the flag and its value, except that of
 * --token, which is secret
 */
std::optional<Settings> checkSettings(const RawSettings& raw, Error& reason);

} // namespace banyancroft::ctl
