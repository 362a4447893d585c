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

/** Headers of a reply of an upstream (design page, section 3.2). */
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

/** Writes the text of a request. The host is "address:port". */
std::string searchRequest(const wire::SubrequestBatch& batch, std::span<const ShardId> shards,
    std::string_view host, std::string_view requestId, std::int64_t remainingMillis);
std::string submitRequest(const wire::SubmitRequest& request, std::string_view host,
    std::string_view requestId, std::int64_t remainingMillis);
std::string cancelRequest(std::string_view host, std::string_view requestId);
std::string healthRequest(std::string_view host);

/** Empty when a header that is present has a wrong form; `detail` names it. */
std::optional<ReplyHeaders> parseHeaders(const Response& response, std::string& detail);
/** Each row has to be a JSON value on a line of its own; `detail` names the first wrong one. */
bool rowsAreValid(std::string_view rows, std::string& detail);
/** Value of "result" of a submit's reply as JSON text; empty when the body does not have it. */
std::optional<std::string> parseSubmitResult(std::string_view body);

struct Health {
    admission::HealthReport report;
    std::vector<IndexVersion> servedIndexes;
    std::vector<LayoutVersion> servedLayouts;
};

std::optional<Health> parseHealth(const Response& response);

} // namespace banyancroft::home
