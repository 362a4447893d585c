#pragma once

#include "base/error.h"
#include "ctl/settings.h"

#include <optional>
#include <string>

namespace banyancroft::ctl {

struct HttpResponse {
    unsigned status = 0;
    std::string body;
};

/**
 * Posts a statement to the daemon and waits for its response.
 * @param sent true once any part of the request may have been sent; the outcome of an error after that is
 * unknown
 * @return empty with ErrorKind::TimedOut, Unavailable or Internal
 */
std::optional<HttpResponse> postStatement(
    const Settings& settings, const std::string& statement, bool& sent, Error& reason);

} // namespace banyancroft::ctl
