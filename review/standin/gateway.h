#pragma once

#include "net.h"

#include <string>
#include <sys/types.h>

namespace review {

/** Figures of a small deployment that a case may set. */
struct GatewayOptions {
    std::string name = "front-a-1";
    std::string zone = "zone-a";
    std::string ip;
    Address store;
    /** Folder for the settings file and the log. */
    std::string folder;
};

/** A banyancroft-gateway, started with the command of the deploy file; killed by the destructor. */
class GatewayProcess {
public:
    explicit GatewayProcess(const GatewayOptions& options);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;

    const Address& front() const { return front_; }
    bool waitUntilReady(Milliseconds timeout) const;
    bool isReady() const;
    void signal(int number) const;
    /** True if the process has ended. */
    bool hasEnded();
    /** Resident memory in bytes; zero once the process has ended. */
    std::size_t residentBytes() const;

private:
    Address front_;
    Address readiness_;
    pid_t process_ = -1;
};

/** A loopback address of its own for this run, on which the port of the deploy file's metrics is free. */
std::string ownLoopbackAddress(unsigned index);
/** A temporary folder that the destructor removes. */
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

} // namespace review
