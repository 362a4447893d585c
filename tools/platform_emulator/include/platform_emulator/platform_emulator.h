#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace banyancroft::tools {

/**
 * The platform's key-value service with an admin port for faults and books.
 *
 *     asio::io_context ioContext;
 *     PlatformEmulator emulator(ioContext, {});
 *     connect(emulator.httpPort());
 *
 * Admin calls, all POST with a JSON body unless noted:
 *   /outage      {"mode":"off|refuse|stall"}
 *   /latency     {"ms":N}               delay of each reply
 *   /lose        {"replies":N}          the next N writes take effect, their replies are lost
 *   /cut         {"clients":[…]}        source addresses or values of X-Client-Name; replaces the list
 *   /snapshot    {"name":"…"}, /restore {"name":"…"}
 *   GET /books   calls per kind, calls in flight, keys, revision
 *   /books/reset {}
 *
 * Owned and used by the one thread that runs the io_context. Construction throws std::system_error
 * when a port cannot be taken.
 */
class PlatformEmulator {
public:
    struct Options {
        std::string address = "127.0.0.1";
        /** 0 takes a free port. */
        std::uint16_t httpPort = 0;
        std::uint16_t adminPort = 0;
    };

    PlatformEmulator(boost::asio::io_context& ioContext, const Options& options);
    ~PlatformEmulator();
    PlatformEmulator(const PlatformEmulator&) = delete;
    PlatformEmulator& operator=(const PlatformEmulator&) = delete;

    std::uint16_t httpPort() const;
    std::uint16_t adminPort() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace banyancroft::tools
