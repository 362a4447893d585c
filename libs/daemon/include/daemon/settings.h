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

/** Checked settings. */
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
    /** Source IP of connections to the store; empty for the system's choice. */
    std::string storeSource;
    /** Peer addresses to ask for the configuration while the store is down at start. */
    std::vector<std::string> seeds;
    /** Credential of operators' commands; empty: commands are refused. */
    std::string operatorToken;
    Duration lease {};
    Duration promise {};
    Duration heartbeat {};
    unsigned trafficThreads = 1;
    /** Longest planned stop; work still running then is cut and logged. */
    Duration stopLimit {};
    /** Time between "not ready" and the first refused connection at a planned stop. */
    Duration lameDuck {};
    /** Measurements only: no homes; each daemon connects to all upstreams with a fixed share of their slots.
     */
    bool testDirect = false;
    /** Measurements only: no hedges, whatever the policy says. */
    bool testNoHedge = false;
};

/** Reads a duration such as `150ms`, `2s` or `1m`; empty for anything else. */
std::optional<Duration> parseDuration(std::string_view text);

/**
 * Checks all settings.
 * @return empty with ErrorKind::InvalidInput; the message names the flag and its value
 */
std::optional<Settings> checkSettings(const RawSettings& raw, Error& reason);

} // namespace banyancroft::daemon
