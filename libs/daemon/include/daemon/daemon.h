#pragma once

#include "base/error.h"
#include "daemon/settings.h"

#include <memory>
#include <string>

namespace banyancroft::daemon {

/** Addresses that the daemon listens on, as IP:port. */
struct BoundAddresses {
    std::string http;
    std::string peer;
};

/**
 * Runs one banyancroft daemon: the entry and home roles on the traffic threads, membership and
 * configuration on the control thread.
 *
 *     Daemon daemon(settings);
 *     Error reason;
 *     auto bound = daemon.start(reason);
 *     if (!bound)
 *         fail(reason);
 *     return daemon.run();
 *
 * Constructed, started and destroyed by one thread.
 */
class Daemon {
public:
    explicit Daemon(Settings settings);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /** Binds the addresses and starts the traffic threads; empty with a reason when an address cannot be
     * bound. */
    std::optional<BoundAddresses> start(Error& reason);

    /**
     * Runs the control plane on the calling thread until a planned stop is complete.
     * SIGTERM and SIGINT begin the stop; a second signal or the stop limit aborts what still runs.
     * @return 0 when no request was aborted and no outcome was left unrecorded, 1 otherwise
     */
    int run();

    /** Begins a planned stop, as SIGTERM does. Thread-safe. */
    void requestStop();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace banyancroft::daemon
