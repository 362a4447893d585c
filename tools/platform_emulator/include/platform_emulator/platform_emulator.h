#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace banyancroft::tools {

/**
 * Emulates the platform's key-value service, with an admin port for fault injection and counters.
 *
 *     asio::io_context ioContext;
 *     PlatformEmulator emulator(ioContext, {});
 *     connect(emulator.httpPort());
 *
 * Admin calls are POST requests with a JSON body unless noted:
 *   /outage      {"mode":"off|refuse|stall"}
 *   /latency     {"ms":N}               delay of each reply
 *   /lose        {"replies":N}          the next N writes take effect but get no reply
 *   /cut         {"clients":[…]}        blocks source addresses or X-Client-Name values; replaces the list
 *   /snapshot    {"name":"…"}, /restore {"name":"…"}
 *   GET /books   calls per kind, watches, connections, keys, revision
 *   /books/reset {}
 *
 * Must be used on the thread that runs the io_context. The constructor throws std::system_error if a port
 * cannot be bound.
 */
class PlatformEmulator {
public:
    struct Options {
        std::string address = "127.0.0.1";
        /** 0 binds a free port. */
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
