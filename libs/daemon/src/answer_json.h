#pragma once

#include "base/error.h"
#include "entry.h"
#include "query_service.h"
#include "search/search_coordinator.h"

#include <string>
#include <string_view>

namespace banyancroft::daemon {

/** Body of the reply to a search; see docs/query-language.md. */
std::string toJson(const search::Answer& answer, std::string_view traceId);
/** Record that `explain` returns for a search. */
std::string explainJson(const search::Answer& answer, std::string_view statement, Duration elapsed);
std::string toJson(const SubmitResult& result, std::string_view traceId);
std::string explainJson(const SubmitResult& result, std::string_view statement, Duration elapsed);
std::string toJson(const CommandResult& result, std::string_view traceId);
std::string errorJson(const Error& error, std::string_view traceId);

} // namespace banyancroft::daemon
