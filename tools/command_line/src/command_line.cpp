#include "command_line/command_line.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/match.h>

#include <algorithm>
#include <string>
#include <vector>

namespace banyancroft::tools {

void parseCommandLine(int argc, char** argv, const char* program, const char* description)
{
    absl::FlagsUsageConfig usage;
    usage.version_string = [program] { return std::string(program) + " " BANYANCROFT_VERSION "\n"; };
    usage.contains_help_flags = [](absl::string_view file) { return absl::StrContains(file, "main.cpp"); };
    absl::SetFlagsUsageConfig(usage);
    absl::SetProgramUsageMessage(description);

    std::vector<std::string> arguments(argv, argv + argc);
    for (auto& argument : arguments) {
        if (argument.starts_with("--")) {
            const auto end = std::min(argument.find('='), argument.size());
            std::replace(argument.begin() + 2, argument.begin() + static_cast<std::ptrdiff_t>(end), '-', '_');
        }
    }
    std::vector<char*> pointers;
    pointers.reserve(arguments.size());
    for (auto& argument : arguments)
        pointers.push_back(argument.data());
    absl::ParseCommandLine(argc, pointers.data());
}

} // namespace banyancroft::tools
