#pragma once

#include "admission/cold_start_guard.h"
#include "base/ids.h"
#include "connection.h"
#include "wire/messages.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace banyancroft::home {

/** Headers of an upstream's reply (design page, section 3.2). */
struct ReplyHeaders {
    std::string_view boot;
    bool notRun = false;
    bool cold = false;
    std::optional<std::uint64_t> load;
    LayoutVersion layout;
    IndexVersion index;
    std::vector<IndexVersion> servedIndexes;
    std::vector<LayoutVersion> servedLayouts;
};

/** Returns the text of an HTTP request. `host` is "address:port". */
std::string searchRequest(const wire::SubrequestBatch& batch, std::span<const ShardId> shards,
    std::string_view host, std::string_view requestId, std::int64_t remainingMillis);
std::string submitRequest(const wire::SubmitRequest& request, std::string_view host,
    std::string_view requestId, std::int64_t remainingMillis);
std::string cancelRequest(std::string_view host, std::string_view requestId);
std::string healthRequest(std::string_view host);

/** @return empty when a header has a malformed value; `detail` names the header */
std::optional<ReplyHeaders> parseHeaders(const Response& response, std::string& detail);
/** @return true when each non-empty line is one JSON value; `detail` names the first line that is not */
bool rowsAreValid(std::string_view rows, std::string& detail);
/** @return the value of "result" in the reply to a submit as JSON text; empty when it is missing */
std::optional<std::string> parseSubmitResult(std::string_view body);

/** Reply to a health poll. */
struct Health {
    admission::HealthReport report;
    std::vector<IndexVersion> servedIndexes;
    std::vector<LayoutVersion> servedLayouts;
};

/** @return empty when the status is not 200, "state" or "boot" is missing, or a field is malformed */
std::optional<Health> parseHealth(const Response& response);

} // namespace banyancroft::home
