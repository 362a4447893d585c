#pragma once

#include "base/error.h"
#include "ctl/settings.h"

#include <optional>
#include <string>

namespace banyancroft::ctl {

struct HttpAnswer {
    unsigned status = 0;
    std::string body;
};

/**
 * Posts a statement to the daemon.
 * @param sent set once a byte of the request may have left; an error after that has an unknown outcome
 */
std::optional<HttpAnswer> postStatement(
    const Settings& settings, const std::string& statement, bool& sent, Error& reason);

} // namespace banyancroft::ctl
