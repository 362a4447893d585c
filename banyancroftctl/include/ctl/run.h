#pragma once

#include "ctl/settings.h"

#include <iosfwd>
#include <span>
#include <string>

namespace banyancroft::ctl {

/** Exit codes of banyancroftctl. */
enum ExitCode : int {
    ExitDone = 0,
    /** The daemon refused the statement, or it failed and definitely did not take effect. */
    ExitFailed = 1,
    /** Invalid flag, argument or statement; nothing was sent. */
    ExitUsage = 2,
    /** The statement may have taken effect. */
    ExitUnknown = 3,
    /** Conflict with another change, such as a version that is no longer in force. */
    ExitConflict = 4,
};

/**
 * Executes one invocation: a statement, `config check FILE` or `config put FILE [if version N] [force]`.
 * Blocks until the daemon has answered or the timeout has expired.
 * @param out receives the answer @param err receives errors with their remedies
 */
ExitCode run(
    const Settings& settings, std::span<const std::string> arguments, std::ostream& out, std::ostream& err);

} // namespace banyancroft::ctl
