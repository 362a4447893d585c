#pragma once

#include "http/head.h"

#include <span>
#include <string>
#include <string_view>

namespace banyancroft::http {

/** A response to a caller. */
struct Response {
    unsigned status = 200;
    /** Fields other than Content-Length and Connection. */
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
};

/**
 * Serialises a response with a Content-Length.
 * @param close adds `Connection: close`
 * @param withoutBody true for the response to a HEAD request
 */
std::string serialise(const Response& response, bool close, bool withoutBody = false);

/**
 * Serialises a request for an upstream: method, target, body and end-to-end fields as the caller sent
 * them, with some fields replaced.
 * @param replaced fields that are sent instead of the caller's fields of the same name
 * @param removed names of the caller's fields that are not sent
 */
std::string serialiseRequest(std::string_view method, std::string_view target, const FieldList& fields,
    std::span<const Field> replaced, std::string_view body, std::span<const std::string_view> removed = {});

/** The same without the body, which has `bodyBytes` bytes and is sent after it. */
std::string serialiseRequestHead(std::string_view method, std::string_view target, const FieldList& fields,
    std::span<const Field> replaced, std::size_t bodyBytes, std::span<const std::string_view> removed = {});

/** Reason phrase of RFC 9110 for a status; "Unknown" for others. */
std::string_view reasonPhrase(unsigned status);

} // namespace banyancroft::http
