#include "command_line/command_line.h"
#include "config/document_json.h"
#include "upstream_emulator/upstream_fleet.h"

#include <absl/flags/flag.h>

#include <sys/resource.h>

#include <cstdio>
#include <exception>
#include <fstream>
#include <iterator>
#include <limits>

ABSL_FLAG(std::string, config, "", "configuration document that names the upstreams; required");
ABSL_FLAG(int, admin_port, 0, "port of the admin interface; 0 binds a free port");
ABSL_FLAG(bool, ephemeral_ports, false,
    "bind free ports instead of those in the document; GET /document returns them");
ABSL_FLAG(std::string, service_time, "lognormal:4ms:0.5",
    "time per request: fixed:MEANms, exponential:MEANms or lognormal:MEDIANms:SIGMA");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random service times");
ABSL_FLAG(unsigned, threads, 1, "threads that serve the upstreams");

namespace {

int usageError(const std::string& message)
{
    std::fprintf(stderr, "banyancroft-upstream-emulator: %s\n", message.c_str());
    return 2;
}

/** Raises the soft limit, whose default is below the number of connections of a large deployment. */
void raiseDescriptorLimit()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

int run()
{
    using namespace banyancroft;
    const auto path = absl::GetFlag(FLAGS_config);
    std::ifstream file(path);
    if (!file)
        return usageError("--config: cannot read \"" + path + "\"; name a configuration document");
    const std::string text(std::istreambuf_iterator<char>(file), {});
    Error reason;
    auto document = config::parseDocument(text, reason);
    if (!document)
        return usageError("--config: " + toString(reason));
    const auto serviceTime = tools::parseServiceTime(absl::GetFlag(FLAGS_service_time), reason);
    if (!serviceTime)
        return usageError("--service-time: " + toString(reason));
    const int adminPort = absl::GetFlag(FLAGS_admin_port);
    if (adminPort < 0 || adminPort > std::numeric_limits<std::uint16_t>::max())
        return usageError("--admin-port: port is out of range; give 0 to 65535");

    raiseDescriptorLimit();
    tools::UpstreamFleet fleet(std::move(*document),
        { *serviceTime, absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_threads),
            absl::GetFlag(FLAGS_ephemeral_ports), static_cast<std::uint16_t>(adminPort) });
    std::printf("ready admin=127.0.0.1:%u\n", fleet.adminPort());
    std::fflush(stdout);
    fleet.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    banyancroft::tools::parseCommandLine(argc, argv, "banyancroft-upstream-emulator",
        "Emulates all upstreams of a configuration document for tests and measurements.");
    try {
        return run();
    } catch (const std::exception& problem) {
        std::fprintf(
            stderr, "banyancroft-upstream-emulator: %s; check the addresses and ports\n", problem.what());
        return 1;
    }
}
