#pragma once

#include "child_process.h"
#include "config/document.h"
#include "store/http_client.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace banyancroft::tools {

/** HTTP ports of the daemons, shared between the thread that starts them and the one that sends load. */
class Endpoints {
public:
    static constexpr std::size_t daemonCount = 8;

    /** Zero while the daemon is not running. */
    std::uint16_t port(std::size_t daemon) const { return ports_.at(daemon).load(); }
    void set(std::size_t daemon, std::uint16_t port) { ports_.at(daemon).store(port); }

private:
    std::array<std::atomic<std::uint16_t>, daemonCount> ports_ {};
};

struct ClusterSettings {
    std::string daemonProgram;
    std::string platformProgram;
    std::string upstreamProgram;
    /** Configuration document; its ports are replaced by free ones. */
    std::string configPath;
    /** Folder for the standard error of the child processes. */
    std::string logFolder;
    std::string serviceTime;
    std::string lease;
    std::uint64_t seed = 1;
    /** Additional flags of the daemons. */
    std::vector<std::string> daemonFlags;
};

/**
 * Runs eight daemons in the zones of a deployment and the emulators that they use, on ephemeral loopback
 * ports. The destructor terminates all processes. Functions throw std::runtime_error on failure. Not
 * thread-safe.
 */
class Cluster {
public:
    Cluster(ClusterSettings settings, Endpoints& endpoints);

    const config::Document& document() const { return document_; }
    std::string zoneOf(std::size_t daemon) const;
    std::string vmOf(std::size_t daemon) const;

    void startDaemon(std::size_t daemon);
    ChildProcess& daemon(std::size_t daemon) { return daemons_.at(daemon).value(); }
    /**
     * Stops the daemon with SIGTERM, starts a new process for the same VM and waits until it is ready.
     * @return exit status; empty if the process did not exit within the timeout
     */
    std::optional<int> restartDaemon(std::size_t daemon, Duration timeout);
    /** Kills the daemon with SIGKILL and does not start it again. */
    void killDaemon(std::size_t daemon);
    /** Waits until all daemons are ready to serve. */
    void waitReady(Duration timeout);
    void waitReady(std::size_t daemon, TimePoint deadline) const;

    std::string platformAdmin(std::string_view target, const std::string& body = {}) const;
    std::string upstreamAdmin(std::string_view target, const std::string& body = {}) const;
    /** Sends an operator's statement to a daemon; status zero if there is no response. */
    store::HttpResponse executeStatement(std::size_t daemon, const std::string& statement) const;
    /** Version of the configuration in the store. */
    std::uint64_t storedVersion() const { return storedDocument().version.value; }
    config::Document storedDocument() const;

private:
    std::string logPath(const std::string& name) const { return settings_.logFolder + "/" + name + ".log"; }
    void writeStore(const std::string& key, const std::string& value) const;

    ClusterSettings settings_;
    Endpoints& endpoints_;
    std::optional<ChildProcess> platform_;
    std::optional<ChildProcess> upstreams_;
    std::uint16_t storePort_ = 0;
    std::uint16_t platformAdminPort_ = 0;
    std::uint16_t upstreamAdminPort_ = 0;
    config::Document document_;
    std::array<std::string, Endpoints::daemonCount> peers_;
    // Last, so that the daemons end before the emulators.
    std::vector<std::optional<ChildProcess>> daemons_;
};

} // namespace banyancroft::tools
