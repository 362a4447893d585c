#include "upstream_protocol.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace banyancroft::home {

namespace {

using Json = nlohmann::json;

std::string_view toView(boost::beast::string_view text) { return { text.data(), text.size() }; }

constexpr std::string_view hexDigits = "0123456789abcdef";

void appendJsonString(std::string& out, std::string_view text)
{
    out += '"';
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte == '"' || byte == '\\') {
            out += '\\';
            out += character;
        } else if (byte < 0x20) {
            out += "\\u00";
            out += hexDigits[byte >> 4U];
            out += hexDigits[byte & 0xfU];
        } else {
            out += character;
        }
    }
    out += '"';
}

bool isPlainHeaderByte(char character) { return character > 0x20 && character < 0x7f; }

/** Percent-encodes bytes that are not allowed in a header value, so that a caller's text cannot inject a
 * header. */
void appendHeaderValue(std::string& out, std::string_view text)
{
    for (const char character : text) {
        if (isPlainHeaderByte(character) && character != '%') {
            out += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        out += '%';
        out += hexDigits[byte >> 4U];
        out += hexDigits[byte & 0xfU];
    }
}

void appendNumber(std::string& out, std::uint64_t number)
{
    std::array<char, 24> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number);
    out.append(digits.data(), end.ptr);
}

void appendStart(std::string& out, std::string_view requestLine, std::string_view host)
{
    out += requestLine;
    out += " HTTP/1.1\r\nHost: ";
    out += host;
}

void appendRequestHeaders(
    std::string& out, std::string_view requestId, std::int64_t remainingMillis, std::string_view traceparent)
{
    out += "\r\nX-Request-Id: ";
    out += requestId;
    out += "\r\nX-Deadline-Ms: ";
    appendNumber(out, static_cast<std::uint64_t>(std::max<std::int64_t>(0, remainingMillis)));
    if (!traceparent.empty() && std::all_of(traceparent.begin(), traceparent.end(), isPlainHeaderByte)) {
        out += "\r\ntraceparent: ";
        out += traceparent;
    }
}

void appendJsonBody(std::string& out, std::string_view body)
{
    out += "\r\nContent-Type: application/json\r\nContent-Length: ";
    appendNumber(out, body.size());
    out += "\r\n\r\n";
    out += body;
}

bool parseNumber(std::string_view text, std::uint64_t& number)
{
    const auto end = std::from_chars(text.data(), text.data() + text.size(), number);
    return !text.empty() && end.ec == std::errc() && end.ptr == text.data() + text.size();
}

template <typename Id> bool parseList(std::string_view text, std::vector<Id>& list)
{
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        std::string_view part = text.substr(0, comma);
        while (!part.empty() && part.front() == ' ')
            part.remove_prefix(1);
        while (!part.empty() && part.back() == ' ')
            part.remove_suffix(1);
        Id id;
        if (!parseNumber(part, id.value))
            return false;
        list.push_back(id);
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return true;
}

template <typename Id> bool readList(const Json& json, const char* name, std::vector<Id>& list)
{
    const auto found = json.find(name);
    if (found == json.end())
        return true;
    if (!found->is_array())
        return false;
    for (const Json& item : *found) {
        if (!item.is_number_unsigned())
            return false;
        list.push_back({ item.get<std::uint64_t>() });
    }
    return true;
}

/** Reads an optional count. @return false when the field is present but is not an unsigned number */
bool readCount(const Json& json, const char* name, unsigned& count)
{
    const auto found = json.find(name);
    if (found == json.end())
        return true;
    if (!found->is_number_unsigned())
        return false;
    count = static_cast<unsigned>(std::min<std::uint64_t>(found->get<std::uint64_t>(), UINT32_MAX));
    return true;
}

} // namespace

std::string searchRequest(const wire::SubrequestBatch& batch, std::span<const ShardId> shards,
    std::string_view host, std::string_view requestId, std::int64_t remainingMillis)
{
    std::string body = R"({"collection":)";
    appendJsonString(body, batch.collection);
    body += R"(,"shards":[)";
    for (const ShardId& shard : shards) {
        appendJsonString(body, shard.view());
        body += ',';
    }
    if (!shards.empty())
        body.pop_back();
    body += R"(],"where":)";
    appendJsonString(body, batch.where);
    body += R"(,"limit":)";
    appendNumber(body, batch.limit);
    body += '}';

    std::string out;
    out.reserve(body.size() + 320);
    appendStart(out, "POST /search", host);
    appendRequestHeaders(out, requestId, remainingMillis, batch.traceparent);
    out += "\r\nX-Layout-Version: ";
    appendNumber(out, batch.layout.value);
    out += "\r\nX-Index-Version: ";
    appendNumber(out, batch.index.value);
    appendJsonBody(out, body);
    return out;
}

std::string submitRequest(const wire::SubmitRequest& request, std::string_view host,
    std::string_view requestId, std::int64_t remainingMillis)
{
    std::string body = R"({"operation":)";
    appendJsonString(body, request.operation);
    body += R"(,"payload":)";
    body += request.payload.empty() ? std::string_view("null") : std::string_view(request.payload);
    body += '}';

    std::string out;
    out.reserve(body.size() + 320);
    appendStart(out, "POST /submit", host);
    appendRequestHeaders(out, requestId, remainingMillis, request.traceparent);
    out += "\r\nIdempotency-Key: ";
    appendHeaderValue(out, request.key.view());
    appendJsonBody(out, body);
    return out;
}

std::string cancelRequest(std::string_view host, std::string_view requestId)
{
    std::string out;
    appendStart(out, "POST /cancel", host);
    out += "\r\nX-Request-Id: ";
    out += requestId;
    out += "\r\nContent-Length: 0\r\n\r\n";
    return out;
}

std::string healthRequest(std::string_view host)
{
    std::string out;
    appendStart(out, "GET /health", host);
    out += "\r\n\r\n";
    return out;
}

std::optional<ReplyHeaders> parseHeaders(const Response& response, std::string& detail)
{
    ReplyHeaders headers;
    for (const auto& field : response.base()) {
        const std::string_view name = toView(field.name_string());
        if (name.size() < 2 || (name[0] != 'X' && name[0] != 'x') || name[1] != '-')
            continue;
        const std::string_view value = toView(field.value());
        const auto is
            = [&field](const char* text) { return boost::beast::iequals(field.name_string(), text); };
        bool good = true;
        if (is("X-Boot-Id")) {
            headers.boot = value;
        } else if (is("X-Not-Run")) {
            headers.notRun = value == "1";
        } else if (is("X-Cold")) {
            headers.cold = value == "1";
            good = value == "0" || value == "1";
        } else if (is("X-Load")) {
            std::uint64_t load = 0;
            good = parseNumber(value, load);
            headers.load = load;
        } else if (is("X-Layout-Version")) {
            good = parseNumber(value, headers.layout.value);
        } else if (is("X-Index-Version")) {
            good = parseNumber(value, headers.index.value);
        } else if (is("X-Served-Index")) {
            good = parseList(value, headers.servedIndexes);
        } else if (is("X-Served-Layout")) {
            good = parseList(value, headers.servedLayouts);
        }
        if (!good) {
            detail = "wrong value of header " + std::string(name);
            return std::nullopt;
        }
    }
    return headers;
}

bool rowsAreValid(std::string_view rows, std::string& detail)
{
    std::size_t line = 0;
    while (!rows.empty()) {
        const std::size_t end = std::min(rows.find('\n'), rows.size());
        const std::string_view row = rows.substr(0, end);
        ++line;
        if (!row.empty() && !Json::accept(row.begin(), row.end())) {
            detail = "row " + std::to_string(line) + " is not JSON";
            return false;
        }
        rows.remove_prefix(std::min(end + 1, rows.size()));
    }
    return true;
}

std::optional<std::string> parseSubmitResult(std::string_view body)
{
    const Json json = Json::parse(body.begin(), body.end(), nullptr, false);
    if (!json.is_object() || !json.contains("result"))
        return std::nullopt;
    return json["result"].dump();
}

std::optional<Health> parseHealth(const Response& response)
{
    if (response.result() != http::status::ok)
        return std::nullopt;
    const Json json = Json::parse(response.body(), nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    const auto state = json.find("state");
    const auto boot = json.find("boot");
    if (state == json.end() || !state->is_string() || boot == json.end() || !boot->is_string())
        return std::nullopt;
    Health health;
    const auto& name = state->get_ref<const std::string&>();
    if (name != "cold" && name != "warm" && name != "draining")
        return std::nullopt;
    health.report.cold = name == "cold";
    health.report.draining = name == "draining";
    health.report.boot = boot->get<std::string>();
    if (!readCount(json, "load", health.report.load) || !readCount(json, "slots", health.report.slots)
        || !readList(json, "index", health.servedIndexes) || !readList(json, "layout", health.servedLayouts))
        return std::nullopt;
    return health;
}

} // namespace banyancroft::home
