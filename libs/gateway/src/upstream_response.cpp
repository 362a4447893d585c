#include "upstream_response.h"

#include "local_responses.h"

#include <algorithm>
#include <array>

namespace banyancroft::gateway {

namespace {

constexpr unsigned statusMisdirected = 421;
/** Statuses that tell a caller that its request was not executed. */
constexpr std::array<unsigned, 4> notExecutedStatuses { 408, 421, 429, 503 };

bool isSuccess(unsigned status) { return status >= 200 && status < 300; }

} // namespace

ResponseKind classifyResponse(const http::ResponseHead& head, const Dialect& dialect)
{
    // A response that is no valid HTTP proves nothing, also not that the request has not run.
    if (!http::isFinalStatus(head.status))
        return ResponseKind::Failure;
    if (head.status == statusMisdirected)
        return ResponseKind::Misdirected;
    if (!isSuccess(head.status) && head.fields.find(dialect.headers.notExecuted))
        return ResponseKind::Refused;
    const auto signature = head.fields.find(dialect.headers.signature);
    // The signature does not cover the encoded bytes.
    const bool isResult
        = isSuccess(head.status) && signature && !signature->empty() && !head.fields.find("content-encoding");
    return isResult ? ResponseKind::Result : ResponseKind::Failure;
}

ReadStatement readStatement(
    const http::ResponseHead& head, const UpstreamId& upstream, const Dialect& dialect)
{
    const auto& names = dialect.headers;
    ReadStatement result;
    const auto sender = head.fields.find(names.upstreamId);
    if (head.status == statusMisdirected && sender != upstream.view())
        return result;
    if (const auto leaving = head.fields.find(names.leaving)) {
        result.statement.leaving = *leaving == "1";
        result.isMalformed = !result.statement.leaving;
    }
    if (const auto cold = head.fields.find(names.coldMillis)) {
        if (const auto millis = http::parseNumber(*cold)) {
            result.statement.coldFor = statedDuration(*millis, std::chrono::milliseconds(1));
        } else {
            result.isMalformed = true;
        }
    }
    const auto retryAfter = head.fields.find(names.retryAfter);
    if (head.status == statusUnavailable && retryAfter) {
        result.statement.restFor = http::parseSeconds(*retryAfter);
        result.isMalformed = result.isMalformed || !result.statement.restFor;
    }
    return result;
}

http::Response forwardedResponse(const http::ResponseHead& head, std::string body, const Dialect& dialect)
{
    http::Response response;
    const bool impliesNotExecuted
        = std::find(notExecutedStatuses.begin(), notExecutedStatuses.end(), head.status)
        != notExecutedStatuses.end();
    const bool encoded = head.fields.find("content-encoding").has_value();
    const bool unsignedResult = isSuccess(head.status) && !head.fields.find(dialect.headers.signature);
    if (!http::isFinalStatus(head.status) || impliesNotExecuted || encoded || unsignedResult) {
        response.status = statusBadGateway;
        return response;
    }
    response.status = head.status;
    const auto& names = dialect.headers;
    const std::array<std::string_view, 5> internal { names.load, names.upstreamId, names.coldMillis,
        names.notExecuted, names.leaving };
    for (std::size_t i = 0; i < head.fields.size(); ++i) {
        const auto field = head.fields.at(i);
        const bool isInternal = std::any_of(internal.begin(), internal.end(),
            [&](std::string_view name) { return http::equalsIgnoringCase(name, field.name); });
        if (isInternal || http::isHopByHop(field.name)
            || http::equalsIgnoringCase(field.name, "content-length")
            || http::isConnectionOption(head.fields, field.name))
            continue;
        response.fields.emplace_back(field.name, field.value);
    }
    response.body = std::move(body);
    return response;
}

} // namespace banyancroft::gateway
