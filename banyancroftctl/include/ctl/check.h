#pragma once

#include "ctl/run.h"

#include <iosfwd>
#include <span>
#include <string>

namespace banyancroft::ctl {

/**
 * Executes `check FILE [--in-force FILE] [--replicas FILE] [--format text|json]`: checks a configuration of
 * the gateway before it is published. Sends nothing.
 * @param arguments those after `check` @param in read for the file name `-`
 * @return ExitDone without errors, ExitFailed if an error was found, ExitUsage for invalid arguments or files
 * that cannot be read
 */
ExitCode check(
    std::span<const std::string> arguments, std::istream& in, std::ostream& out, std::ostream& err);

} // namespace banyancroft::ctl
