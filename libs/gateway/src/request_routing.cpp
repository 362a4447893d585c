#include "request_routing.h"

#include "authentication.h"
#include "local_responses.h"

namespace banyancroft::gateway {

std::optional<RoutedRequest> routeRequest(
    TrafficManager& traffic, const IncomingRequest& request, TimePoint now)
{
    const auto& names = traffic.dialect().headers;
    RoutedRequest routed;
    routed.requestId = std::string(request.head.fields.find(names.requestId).value_or(""));
    const auto reject = [&](const http::Response& response, std::string_view reason) {
        traffic.requestLog().logOutcome(now, "request rejected",
            { { "id", routed.requestId }, { "target", request.head.target },
                { "reason", std::string(reason) }, { "status", std::to_string(response.status) },
                { "config", std::to_string(traffic.configuration().version().value) } });
        traffic.metrics().refused.add();
        request.respond(response, false);
        return std::nullopt;
    };
    routed.routes = traffic.configuration().current();
    if (!routed.routes)
        return reject(unavailableResponse(names, configurationRetryAfter), "no configuration yet");
    const auto host = request.head.fields.find("host").value_or("");
    routed.route = routed.routes->match(host, request.head.target);
    if (!routed.route && traffic.isConfigurationOutdated())
        return reject(unavailableResponse(names, configurationRetryAfter), "newer configuration is in force");
    if (!routed.route)
        return reject(emptyResponse(statusNotFound), "no route for host and path");
    const auto caller = identifyCaller(request.head.fields, *routed.routes, *routed.route, traffic.dialect());
    if (!caller.isAllowed && traffic.isConfigurationOutdated())
        return reject(unavailableResponse(names, configurationRetryAfter), "newer configuration is in force");
    if (!caller.isAllowed) {
        traffic.metrics().unauthorized.add();
        return reject(emptyResponse(statusUnauthorized), "API key is missing or unknown");
    }
    routed.customer = caller.customer;
    routed.priority
        = caller.customer && caller.customer->priority ? *caller.customer->priority : routed.route->priority;
    if (routed.requestId.empty())
        return reject(emptyResponse(statusBadRequest), "request id is missing");
    const auto deadlineText = request.head.fields.find(names.deadlineMillis);
    const auto millis = deadlineText ? http::parseNumber(*deadlineText) : std::nullopt;
    if (deadlineText && !millis)
        return reject(emptyResponse(statusBadRequest), "deadline is no whole number");
    routed.deadline = millis ? statedDuration(*millis, std::chrono::milliseconds(1)) : routed.route->timeout;
    return routed;
}

} // namespace banyancroft::gateway
