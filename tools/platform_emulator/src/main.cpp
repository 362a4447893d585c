#include "command_line/command_line.h"
#include "platform_emulator/platform_emulator.h"

#include <absl/flags/flag.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <cstdio>
#include <exception>
#include <limits>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(int, port, 0, "port of the key-value service; 0 binds a free port");
ABSL_FLAG(int, admin_port, 0, "port of the admin interface; 0 binds a free port");

namespace {

int run()
{
    banyancroft::tools::PlatformEmulator::Options options;
    options.address = absl::GetFlag(FLAGS_address);
    for (const int port : { absl::GetFlag(FLAGS_port), absl::GetFlag(FLAGS_admin_port) }) {
        if (port < 0 || port > std::numeric_limits<std::uint16_t>::max()) {
            std::fprintf(stderr, "port %d is out of range; give 0 to 65535\n", port);
            return 2;
        }
    }
    options.httpPort = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port));
    options.adminPort = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_admin_port));

    boost::asio::io_context ioContext(1);
    banyancroft::tools::PlatformEmulator emulator(ioContext, options);
    boost::asio::signal_set signals(ioContext, SIGINT, SIGTERM);
    signals.async_wait([&](const auto&, int) { ioContext.stop(); });
    std::printf("ready http=%s:%u admin=%s:%u\n", options.address.c_str(), emulator.httpPort(),
        options.address.c_str(), emulator.adminPort());
    std::fflush(stdout);
    ioContext.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    banyancroft::tools::parseCommandLine(argc, argv, "banyancroft-platform-emulator",
        "Emulates the platform's key-value service (etcd v3 JSON gateway) for tests and measurements.");
    try {
        return run();
    } catch (const std::exception& problem) {
        std::fprintf(
            stderr, "banyancroft-platform-emulator: %s; check --address and the ports\n", problem.what());
        return 1;
    }
}
