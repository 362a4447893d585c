#pragma once

#include "base/error.h"

#include <string>

namespace banyancroft::daemon {

/** Result of an operator's command. */
struct CommandResult {
    /** ErrorKind::None when the command succeeded. */
    Error error;
    /** The command may have taken effect although it is reported as failed. */
    bool unknown = false;
    /** JSON object with the result, included in the reply; empty for none. */
    std::string body;
};

} // namespace banyancroft::daemon
