#pragma once

#include "config/document.h"
#include "upstream_emulator/service_time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace banyancroft::tools {

/**
 * Emulates all upstreams of a configuration document, with an admin port for fault injection and counters.
 *
 * Admin calls are POST requests with a JSON body unless noted. The fields "upstream", "group", "service" and
 * "zone" select the upstreams that a command applies to; without any of them it applies to all.
 *   /restart  {"cold_answers":N,"cold_ms":N,"down_ms":N}   resets connections; new boot ID, cold start
 *   /straggle {"factor":F}      /drain {"on":B}       /stall {"on":B}
 *   /serve    {"index":[…],"layout":[…]}              versions served
 *   /health   {"override":{…}} replaces fields, {"freeze":true} repeats the present report, {} restores
 *   /garbage  {"answers":N}     the next N responses are not valid HTTP
 *   /shed     {"percent":P}     rejects this share of requests as not run
 *   GET /books, POST /books/reset, GET /document (with the ports in use)
 *
 * The upstreams are distributed over the threads of the fleet; the thread that calls run() serves the admin
 * port. The constructor throws std::system_error if a port cannot be bound.
 */
class UpstreamFleet {
public:
    struct Options {
        ServiceTime serviceTime;
        std::uint64_t seed = 1;
        unsigned threads = 1;
        /** Binds free ports instead of those in the document. */
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
    /** Serves the admin port until stop(), SIGINT or SIGTERM. */
    void run();
    /** May be called from any thread. */
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace banyancroft::tools
