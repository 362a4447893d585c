#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace banyancroft::daemon {

/** Settings of one daemon, as text from flags or environment variables; see section 3.5 of
 * docs/query-path.md. */
struct RawSettings {
    std::string vm;
    std::string zone;
    std::string listen = "127.0.0.1:8080";
    std::string peerListen = "127.0.0.1:8081";
    std::string peerAddress;
    std::string store;
    std::string storeSource;
    std::string seeds;
    std::string operatorToken;
    std::string lease = "15s";
    std::string promise = "2s";
    std::string heartbeat = "500ms";
    std::string trafficThreads = "1";
    std::string stopLimit = "30s";
    std::string lameDuck = "1s";
    std::string logLevel = "info";
    bool testDirect = false;
    bool testNoHedge = false;
};

/** Validated settings. */
struct Settings {
    VmId vm;
    AvailabilityZone zone;
    /** IP:port for callers and operators. */
    std::string listen;
    /** IP:port for other daemons. */
    std::string peerListen;
    /** IP:port under which other daemons reach this one; empty: the bound address of `peerListen`. */
    std::string peerAddress;
    /** IP:port of the platform's key-value service. */
    std::string store;
    /** Source IP of connections to the store; empty to let the system choose. */
    std::string storeSource;
    /** Peer addresses to ask for the configuration while the store is down at start. */
    std::vector<std::string> seeds;
    /** Bearer token of operators' commands; empty: the commands are refused. */
    std::string operatorToken;
    Duration lease {};
    Duration promise {};
    Duration heartbeat {};
    unsigned trafficThreads = 1;
    /** Maximum duration of a planned stop; requests still running then are aborted and logged. */
    Duration stopLimit {};
    /** Time that a stopping daemon reports not ready before it refuses connections. */
    Duration lameDuck {};
    /** For measurements only: no homes; each daemon connects to all upstreams with a fixed share of their
     * slots.
     */
    bool testDirect = false;
    /** For measurements only: no hedges, regardless of the policy. */
    bool testNoHedge = false;
};

/** Parses a duration in us, ms, s or m, such as `150ms`; empty when malformed, negative or too large. */
std::optional<Duration> parseDuration(std::string_view text);

/**
 * Validates all settings.
 * @return empty with ErrorKind::InvalidInput; the message names the flag and its value
 */
std::optional<Settings> checkSettings(const RawSettings& raw, Error& reason);

} // namespace banyancroft::daemon
