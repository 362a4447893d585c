#pragma once

#include "base/error.h"

#include <string>

namespace banyancroft::daemon {

/** Answer to an operator's command. */
struct CommandResult {
    /** None: carried out. */
    Error error;
    /** The command may have taken effect although it is reported as failed. */
    bool unknown = false;
    /** JSON object with the result; merged into the answer. Empty for none. */
    std::string body;
};

} // namespace banyancroft::daemon
