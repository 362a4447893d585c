#include "daemon/daemon.h"
#include "telemetry/log.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <set>
#include <span>
#include <string_view>

ABSL_FLAG(std::string, vm, "", "name of this VM; required");
ABSL_FLAG(std::string, zone, "", "availability zone of this VM; required");
ABSL_FLAG(std::string, listen, "127.0.0.1:8080", "IP:port for HTTP from callers and operators");
ABSL_FLAG(std::string, peer_listen, "127.0.0.1:8081", "IP:port for other daemons");
ABSL_FLAG(
    std::string, peer_address, "", "IP:port under which other daemons reach this one; default --peer_listen");
ABSL_FLAG(std::string, store, "", "IP:port of the platform's key-value service; required");
ABSL_FLAG(std::string, store_source, "", "source IP of connections to the store");
ABSL_FLAG(std::string, seeds, "", "comma-separated peer addresses to ask while the store is down at start");
ABSL_FLAG(std::string, operator_token, "", "bearer token of operator commands; without it they are refused");
ABSL_FLAG(std::string, lease, "15s", "duration of the store lease");
ABSL_FLAG(std::string, promise, "2s",
    "duration of a promise, which replaces the lease during an outage of the store");
ABSL_FLAG(std::string, heartbeat, "500ms", "period of state digests to peers");
ABSL_FLAG(std::string, traffic_threads, "1", "number of traffic threads");
ABSL_FLAG(std::string, stop_limit, "30s", "maximum duration of a planned stop");
ABSL_FLAG(std::string, lame_duck, "1s",
    "time that a stopping daemon reports not ready before it refuses connections");
ABSL_FLAG(bool, test_direct, false, "measurements only: no homes, a fixed share of each upstream per daemon");
ABSL_FLAG(bool, test_no_hedge, false, "measurements only: no hedges");
ABSL_FLAG(std::string, log_level, "info", "lowest level to log: debug, info, warn or error");

namespace {

using namespace banyancroft;

constexpr int exitUsage = 2;

struct FlagBinding {
    const char* name;
    absl::Flag<std::string>* flag;
    std::string daemon::RawSettings::*field;
};

bool isBooleanFlag(std::string_view name)
{
    return name == "help" || name == "version" || name == "test_direct" || name == "test_no_hedge";
}

/** Names of the flags on the command line, with underscores. */
using GivenFlags = std::set<std::string>;

// Replaces dashes in flag names by the underscores that Abseil requires, and rejects unknown flags with a
// remedy, where Abseil would exit with 1. Empty with a reason when an argument is not a flag of this program.
std::optional<GivenFlags> normaliseFlags(std::span<char*> arguments, Error& reason)
{
    GivenFlags given;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        char* argument = arguments[i];
        const std::string_view text(argument);
        if (!text.starts_with("--")) {
            reason = { ErrorKind::InvalidInput, "unexpected argument \"" + std::string(text) + "\"",
                "write settings as --flag=value; see --help" };
            return std::nullopt;
        }
        const std::size_t nameEnd = std::min(text.find('='), text.size());
        std::replace(argument + 2, argument + nameEnd, '-', '_');
        std::string name(text.substr(2, nameEnd - 2));
        const bool known = absl::FindCommandLineFlag(name) || name == "help" || name == "version";
        if (!known) {
            reason = { ErrorKind::InvalidInput, "unknown flag \"" + std::string(text) + "\"", "see --help" };
            return std::nullopt;
        }
        const bool hasSeparateValue = nameEnd == text.size() && !isBooleanFlag(name);
        given.insert(std::move(name));
        if (hasSeparateValue)
            ++i;
    }
    return given;
}

// Flags take precedence over environment variables, which take precedence over defaults.
std::string resolveSetting(const FlagBinding& binding, const GivenFlags& given)
{
    std::string value = absl::GetFlag(*binding.flag);
    if (given.contains(binding.name))
        return value;
    std::string variable = "BANYANCROFT_";
    for (const char* c = binding.name; *c; ++c)
        variable.push_back(static_cast<char>(std::toupper(static_cast<unsigned char>(*c))));
    const char* environment = std::getenv(variable.c_str());
    return environment ? std::string(environment) : value;
}

daemon::RawSettings readSettings(const GivenFlags& given)
{
    using Raw = daemon::RawSettings;
    const FlagBinding bindings[] {
        { "vm", &FLAGS_vm, &Raw::vm },
        { "zone", &FLAGS_zone, &Raw::zone },
        { "listen", &FLAGS_listen, &Raw::listen },
        { "peer_listen", &FLAGS_peer_listen, &Raw::peerListen },
        { "peer_address", &FLAGS_peer_address, &Raw::peerAddress },
        { "store", &FLAGS_store, &Raw::store },
        { "store_source", &FLAGS_store_source, &Raw::storeSource },
        { "seeds", &FLAGS_seeds, &Raw::seeds },
        { "operator_token", &FLAGS_operator_token, &Raw::operatorToken },
        { "lease", &FLAGS_lease, &Raw::lease },
        { "promise", &FLAGS_promise, &Raw::promise },
        { "heartbeat", &FLAGS_heartbeat, &Raw::heartbeat },
        { "traffic_threads", &FLAGS_traffic_threads, &Raw::trafficThreads },
        { "stop_limit", &FLAGS_stop_limit, &Raw::stopLimit },
        { "lame_duck", &FLAGS_lame_duck, &Raw::lameDuck },
        { "log_level", &FLAGS_log_level, &Raw::logLevel },
    };
    Raw raw;
    for (const auto& binding : bindings)
        raw.*binding.field = resolveSetting(binding, given);
    raw.testDirect = absl::GetFlag(FLAGS_test_direct);
    raw.testNoHedge = absl::GetFlag(FLAGS_test_no_hedge);
    return raw;
}

int usageError(const Error& reason)
{
    std::cerr << "banyancroftd: " << reason.message << "; " << reason.remedy << "\n";
    return exitUsage;
}

} // namespace

int main(int argc, char** argv)
{
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return std::string("banyancroftd ") + BANYANCROFT_VERSION + "\n"; };
    usage.contains_helpshort_flags
        = [](absl::string_view file) { return absl::EndsWith(file, "banyancroftd/main.cpp"); };
    usage.contains_help_flags = usage.contains_helpshort_flags;
    absl::SetFlagsUsageConfig(usage);
    absl::SetProgramUsageMessage(
        "daemon of the banyancroft query tier.\n"
        "Each flag has an environment variable BANYANCROFT_<FLAG>; the flag takes precedence.");
    Error reason;
    const auto given = normaliseFlags(std::span(argv, static_cast<std::size_t>(argc)).subspan(1), reason);
    if (!given)
        return usageError(reason);
    absl::ParseCommandLine(argc, argv);

    const auto raw = readSettings(*given);
    const auto level = telemetry::logLevelFromString(raw.logLevel);
    if (!level)
        return usageError({ ErrorKind::InvalidInput, "--log-level: \"" + raw.logLevel + "\" is not allowed",
            "give debug, info, warn or error" });
    auto settings = daemon::checkSettings(raw, reason);
    if (!settings)
        return usageError(reason);

    telemetry::setUpLogging(*level, settings->vm.view());
    daemon::Daemon daemon(*settings);
    const auto bound = daemon.start(reason);
    if (!bound)
        return usageError(reason);
    std::cout << "ready http=" << bound->http << " peer=" << bound->peer << std::endl;
    return daemon.run();
}
