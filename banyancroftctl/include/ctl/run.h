#pragma once

#include "ctl/settings.h"

#include <iosfwd>
#include <span>
#include <string>

namespace banyancroft::ctl {

/** Exit codes of banyancroftctl. */
enum ExitCode : int {
    ExitDone = 0,
    /** The daemon refused the statement, or it failed and certainly did not take effect. */
    ExitFailed = 1,
    /** Wrong flag, argument or statement; nothing was sent. */
    ExitUsage = 2,
    /** The statement may have taken effect. */
    ExitUnknown = 3,
    /** Another operator's change came first. */
    ExitConflict = 4,
};

/**
 * Runs one invocation: a statement, `config check FILE` or `config put FILE [if version N] [force]`.
 * Blocks until the daemon answered or the timeout passed.
 * @param out receives the answer @param err receives errors with their remedy
 */
ExitCode run(
    const Settings& settings, std::span<const std::string> arguments, std::ostream& out, std::ostream& err);

} // namespace banyancroft::ctl
