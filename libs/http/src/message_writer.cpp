#include "http/message_writer.h"

// Beast 1.74 uses std::ostream in status.hpp without including it.
#include <ostream>

#include <boost/beast/http/status.hpp>

#include <algorithm>

namespace banyancroft::http {

std::string_view reasonPhrase(unsigned status)
{
    const auto text = boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status));
    return text.empty() ? std::string_view("Unknown") : std::string_view(text.data(), text.size());
}

std::string serialise(const Response& response, bool close, bool withoutBody)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " ";
    text.append(reasonPhrase(response.status)).append("\r\n");
    for (const auto& [name, value] : response.fields)
        text.append(name).append(": ").append(value).append("\r\n");
    text.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n");
    if (close)
        text.append("Connection: close\r\n");
    text.append("\r\n");
    if (!withoutBody)
        text.append(response.body);
    return text;
}

std::string serialiseRequestHead(std::string_view method, std::string_view target, const FieldList& fields,
    std::span<const Field> replaced, std::size_t bodyBytes, std::span<const std::string_view> removed)
{
    std::string text;
    constexpr std::size_t typicalHeadBytes = 512;
    text.reserve(typicalHeadBytes);
    text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    // The caller framed the body by Content-Length or chunks; the Content-Length added below replaces both.
    bool hadBody = bodyBytes > 0;
    for (std::size_t i = 0; i < fields.size(); ++i) {
        const auto field = fields.at(i);
        const bool isContentLength = equalsIgnoringCase(field.name, "content-length");
        hadBody = hadBody || isContentLength;
        const bool isReplaced = std::any_of(replaced.begin(), replaced.end(),
            [&](const Field& entry) { return equalsIgnoringCase(entry.name, field.name); });
        const bool isRemoved = std::any_of(removed.begin(), removed.end(),
            [&](std::string_view name) { return equalsIgnoringCase(name, field.name); });
        if (isContentLength || isReplaced || isRemoved || isHopByHop(field.name)
            || isConnectionOption(fields, field.name))
            continue;
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    for (const auto& field : replaced)
        text.append(field.name).append(": ").append(field.value).append("\r\n");
    if (hadBody)
        text.append("Content-Length: ").append(std::to_string(bodyBytes)).append("\r\n");
    text.append("\r\n");
    return text;
}

std::string serialiseRequest(std::string_view method, std::string_view target, const FieldList& fields,
    std::span<const Field> replaced, std::string_view body, std::span<const std::string_view> removed)
{
    auto text = serialiseRequestHead(method, target, fields, replaced, body.size(), removed);
    text.append(body);
    return text;
}

} // namespace banyancroft::http
