#pragma once

#include "net.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace banyancroft::review2 {

/** A temporary folder, removed with its files by the destructor. */
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::string& path() const { return path_; }

private:
    std::string path_;
};

/** Limits of the settings file that a case chooses. */
struct SettingsLimits {
    unsigned memoryMb = 260;
    unsigned maxFds = 4100;
};

/** The gateways of a small deployment, one process for each VM, each with the command of the deploy file. */
class Fleet {
public:
    /**
     * Writes the settings and starts the processes.
     * @param stores address of the store for each VM; their number is that of the VMs
     */
    Fleet(const std::string& folder, const std::vector<Address>& stores, const SettingsLimits& limits = {});
    /** Kills the processes. */
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    std::size_t size() const { return vms_.size(); }
    const Address& front(std::size_t vm) const { return vms_[vm].front; }
    /** Whether the VM answers its probe with 200. */
    bool isReady(std::size_t vm) const;
    /** Waits until all VMs are ready. @return false after the timeout */
    bool waitUntilReady(Milliseconds timeout) const;
    /** Number of processes that have ended by themselves. */
    std::size_t ended();

private:
    struct Vm {
        std::string settings;
        Address front;
        Address ready;
        pid_t process = 0;
        bool hasEnded = false;
    };

    void start(Vm& vm, const std::string& log);

    std::vector<Vm> vms_;
};

/** Name of the availability zone of a VM or replica. */
std::string zoneName(std::size_t number);

} // namespace banyancroft::review2
