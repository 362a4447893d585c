#pragma once

#include "base/error.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace banyancroft::ctl {

/** Settings as text from flags or environment variables. */
struct RawSettings {
    std::string daemon = "127.0.0.1:8080";
    std::string token;
    std::string timeout = "10s";
    std::string format = "table";
};

enum class Format : std::uint8_t { Table, Json };

/** Checked settings. */
struct Settings {
    /** IP number of the daemon. */
    std::string address;
    std::uint16_t port = 0;
    /** Credential of operators' commands; empty for none. */
    std::string token;
    /** Longest time for connection, request and answer together. */
    Duration timeout {};
    Format format = Format::Table;
};

/** @return empty with ErrorKind::InvalidInput; the message names the flag and its value */
std::optional<Settings> checkSettings(const RawSettings& raw, Error& reason);

} // namespace banyancroft::ctl
