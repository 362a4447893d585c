#pragma once

#include "incoming_request.h"
#include "traffic_manager.h"

#include <memory>
#include <optional>
#include <string>

namespace banyancroft::gateway {

/** Retry-After while the VM has no configuration or an outdated one: time to list the store or ask another
 * VM. */
constexpr Duration configurationRetryAfter = std::chrono::milliseconds(200);

/** The route of a request, in the configuration that is in force for it. */
struct RoutedRequest {
    std::shared_ptr<const routing::RouteTable> routes;
    const routing::Route* route = nullptr;
    /** Null if the request belongs to no customer. */
    const routing::Customer* customer = nullptr;
    /** Priority of the customer or, without one, of the route. */
    unsigned priority = 0;
    std::string requestId;
    /** Time limit that the caller set for this attempt. */
    Duration deadline {};
};

/** Finds the route of a request; responds to the request and returns nullopt if it cannot be routed. */
std::optional<RoutedRequest> routeRequest(
    TrafficManager& traffic, const IncomingRequest& request, TimePoint now);

} // namespace banyancroft::gateway
