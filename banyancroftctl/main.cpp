#include "ctl/check.h"
#include "ctl/run.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace {

// Default of a flag: the environment variable if it is set. The flag itself takes precedence over both.
std::string environmentOr(const char* variable, const std::string& fallback)
{
    const char* value = std::getenv(variable);
    return value == nullptr ? fallback : std::string(value);
}

const banyancroft::ctl::RawSettings defaults;

} // namespace

ABSL_FLAG(std::string, daemon, environmentOr("BANYANCROFT_CTL_DAEMON", defaults.daemon),
    "address of a daemon as IP:port; default from BANYANCROFT_CTL_DAEMON");
// BANYANCROFT_CTL_TOKEN is read in main() instead, since --help prints the defaults of flags.
ABSL_FLAG(std::string, token, defaults.token,
    "credential for operator commands; prefer BANYANCROFT_CTL_TOKEN, since flags are visible in the process "
    "list");
ABSL_FLAG(std::string, timeout, environmentOr("BANYANCROFT_CTL_TIMEOUT", defaults.timeout),
    "time limit of a call, such as 500ms or 10s; default from BANYANCROFT_CTL_TIMEOUT");
ABSL_FLAG(std::string, format, environmentOr("BANYANCROFT_CTL_FORMAT", defaults.format),
    "output format, table or json; default from BANYANCROFT_CTL_FORMAT");

namespace {

using namespace banyancroft;

constexpr const char* usageText = R"(operator client of the banyancroft query tier.

    banyancroftctl 'STATEMENT'             sends a statement; see docs/query-language.md
    banyancroftctl config check FILE       validates a configuration document without sending it
    banyancroftctl config put FILE [if version N] [force]
    banyancroftctl check FILE [--in-force FILE] [--replicas FILE] [--format text|json]
                                           checks a configuration of the gateway before it is published

Exit codes: 0 done, 1 refused or failed, 2 invalid usage, 3 outcome unknown, 4 conflict.)";

// Abseil exits with 1 on an unknown flag, which stands for a refused statement here, so flags are checked
// before. A flag without "=" takes the next argument as its value.
bool checkFlagNames(int argc, char** argv, Error& reason)
{
    for (int i = 1; i < argc; ++i) {
        const std::string_view text(argv[i]);
        if (text == "--" || !text.starts_with("-"))
            return true;
        const std::size_t nameEnd = std::min(text.find('='), text.size());
        const std::string name(
            text.substr(std::min<std::size_t>(2, nameEnd), nameEnd - std::min<std::size_t>(2, nameEnd)));
        if (name == "help" || name == "version")
            continue;
        if (!text.starts_with("--") || absl::FindCommandLineFlag(name) == nullptr) {
            reason = { ErrorKind::InvalidInput, "unknown flag \"" + std::string(text) + "\"", "see --help" };
            return false;
        }
        if (nameEnd != text.size())
            continue;
        if (++i == argc) {
            reason = { ErrorKind::InvalidInput, "--" + name + " has no value", "write --" + name + "=VALUE" };
            return false;
        }
    }
    return true;
}

bool asksForHelp(int argc, char** argv)
{
    return std::find(argv, argv + argc, std::string_view("--help")) != argv + argc;
}

int usageError(const Error& reason)
{
    std::cerr << "banyancroftctl: " << reason.message << "; " << reason.remedy << "\n";
    return ctl::ExitUsage;
}

} // namespace

int main(int argc, char** argv)
{
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return std::string("banyancroftctl ") + BANYANCROFT_VERSION + "\n"; };
    usage.contains_helpshort_flags
        = [](absl::string_view file) { return absl::EndsWith(file, "banyancroftctl/main.cpp"); };
    usage.contains_help_flags = usage.contains_helpshort_flags;
    absl::SetFlagsUsageConfig(usage);
    absl::SetProgramUsageMessage(usageText);
    // Has flags of its own, which Abseil would reject.
    if (argc > 1 && std::string_view(argv[1]) == "check" && !asksForHelp(argc, argv))
        return ctl::check(std::vector<std::string>(argv + 2, argv + argc), std::cin, std::cout, std::cerr);
    Error reason;
    if (!checkFlagNames(argc, argv, reason))
        return usageError(reason);
    const std::vector<char*> positionalArguments = absl::ParseCommandLine(argc, argv);
    std::string token = absl::GetFlag(FLAGS_token);
    if (token.empty())
        token = environmentOr("BANYANCROFT_CTL_TOKEN", "");
    const auto settings = ctl::checkSettings(
        { absl::GetFlag(FLAGS_daemon), token, absl::GetFlag(FLAGS_timeout), absl::GetFlag(FLAGS_format) },
        reason);
    if (!settings)
        return usageError(reason);
    const std::vector<std::string> arguments(positionalArguments.begin() + 1, positionalArguments.end());
    return ctl::run(*settings, arguments, std::cout, std::cerr);
}
