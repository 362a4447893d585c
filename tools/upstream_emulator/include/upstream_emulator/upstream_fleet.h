#pragma once

#include "config/document.h"
#include "upstream_emulator/service_time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace banyancroft::tools {

/**
 * All upstreams of a configuration document in one process, with an admin port for faults and books.
 *
 * Admin calls, POST with a JSON body unless noted. Commands to upstreams name them by any of "upstream",
 * "group", "service" and "zone"; none of them means all.
 *   /restart  {"cold_answers":N,"cold_ms":N,"down_ms":N}   resets connections, new boot id, cold start
 *   /straggle {"factor":F}      /drain {"on":B}       /stall {"on":B}
 *   /serve    {"index":[…],"layout":[…]}              versions served
 *   /health   {"override":{…}} lies, {"freeze":true} lags, {} tells the truth
 *   /garbage  {"answers":N}     the next N answers are no HTTP
 *   /shed     {"percent":P}
 *   GET /books, POST /books/reset, GET /document (with the ports in use)
 *
 * The upstreams are spread over threads of the fleet; the admin port is served by the caller's thread in
 * run(). Construction throws std::system_error when a port cannot be taken.
 */
class UpstreamFleet {
public:
    struct Options {
        ServiceTime serviceTime;
        std::uint64_t seed = 1;
        unsigned threads = 1;
        /** Free ports in place of those in the document. */
        bool ephemeralPorts = false;
        std::uint16_t adminPort = 0;
    };

    UpstreamFleet(config::Document document, const Options& options);
    ~UpstreamFleet();
    UpstreamFleet(const UpstreamFleet&) = delete;
    UpstreamFleet& operator=(const UpstreamFleet&) = delete;

    std::uint16_t adminPort() const;
    /** The document with the ports in use. */
    const config::Document& document() const;
    /** Serves the admin port until stop() or a signal to end. */
    void run();
    /** May be called from any thread. */
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace banyancroft::tools
