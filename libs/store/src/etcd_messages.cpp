#include "etcd_messages.h"

#include "store/base64.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <stdexcept>

namespace banyancroft::store {

using Json = nlohmann::json;

namespace {

constexpr std::size_t maxQuotedBytes = 200;

struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/** Exclusive end of the range of keys with the prefix; "\0" (unbounded) when no key follows them. */
std::string prefixEnd(std::string_view prefix)
{
    std::string end(prefix);
    while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xff)
        end.pop_back();
    if (end.empty())
        return std::string(1, '\0');
    end.back() = static_cast<char>(static_cast<unsigned char>(end.back()) + 1);
    return end;
}

Json prefixRange(std::string_view prefix)
{
    // The gateway rejects an empty key; "\0" is the lowest one.
    const auto begin = prefix.empty() ? std::string(1, '\0') : std::string(prefix);
    return { { "key", encodeBase64(begin) }, { "range_end", encodeBase64(prefixEnd(prefix)) } };
}

/** Reads a 64-bit integer, which is encoded as a string; a field with the value zero is omitted. */
std::uint64_t integer(const Json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end())
        return 0;
    if (!found->is_string())
        throw Malformed(std::string(name) + " is not a string");
    const auto& text = found->get_ref<const std::string&>();
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, problem] = std::from_chars(text.data(), end, value);
    if (problem != std::errc {} || stop != end)
        throw Malformed(std::string(name) + " is not an integer");
    return value;
}

std::string bytes(const Json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end())
        return {};
    if (!found->is_string())
        throw Malformed(std::string(name) + " is not a string");
    auto decoded = decodeBase64(found->get_ref<const std::string&>());
    if (!decoded)
        throw Malformed(std::string(name) + " is not valid base64");
    return *decoded;
}

bool flag(const Json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

const Json& member(const Json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_object())
        throw Malformed(std::string(name) + " is missing or not an object");
    return *found;
}

/** Reads an array; an empty one when the field is missing. */
const Json& array(const Json& object, const char* name)
{
    static const Json none = Json::array();
    const auto found = object.find(name);
    if (found == object.end())
        return none;
    if (!found->is_array())
        throw Malformed(std::string(name) + " is not an array");
    return *found;
}

KeyValue keyValue(const Json& json)
{
    if (!json.is_object())
        throw Malformed("a key-value entry is not an object");
    KeyValue result { bytes(json, "key"), bytes(json, "value"), { integer(json, "mod_revision") },
        { integer(json, "lease") } };
    if (result.key.empty())
        throw Malformed("a key-value entry has no key");
    return result;
}

Revision headerRevision(const Json& json) { return { integer(member(json, "header"), "revision") }; }

Listing listing(const Json& json)
{
    Listing result;
    for (const auto& entry : array(json, "kvs"))
        result.entries.push_back(keyValue(entry));
    return result;
}

LeaseGrant leaseGrant(const Json& json)
{
    LeaseGrant grant { { integer(json, "ID") }, std::chrono::seconds(integer(json, "TTL")) };
    if (json.contains("header"))
        grant.revision = headerRevision(json);
    return grant;
}

/** Runs a parser and converts an exception into the reason. */
template <typename Parser> auto parse(std::string_view body, Error& reason, const Parser& parser)
{
    using Result = decltype(parser(Json()));
    try {
        const auto json = Json::parse(body);
        if (!json.is_object())
            throw Malformed("the body is not a JSON object");
        return std::optional<Result>(parser(json));
    } catch (const std::exception& problem) {
        reason = { ErrorKind::MalformedMessage,
            std::string("answer of the store does not follow the protocol: ") + problem.what(),
            "check that --store names an etcd v3 JSON gateway" };
        return std::optional<Result>();
    }
}

} // namespace

std::string encodeGet(std::string_view key) { return Json { { "key", encodeBase64(key) } }.dump(); }

std::string encodeList(std::string_view prefix) { return prefixRange(prefix).dump(); }

std::string encodeSwap(const Swap& swap)
{
    const auto key = encodeBase64(swap.key);
    Json compare { { "key", key }, { "result", "EQUAL" } };
    if (swap.expected) {
        compare["target"] = "MOD";
        compare["mod_revision"] = std::to_string(swap.expected.value);
    } else {
        compare["target"] = "CREATE";
        compare["create_revision"] = "0";
    }
    Json write;
    if (swap.value) {
        Json put { { "key", key }, { "value", encodeBase64(*swap.value) } };
        if (swap.lease)
            put["lease"] = std::to_string(swap.lease.value);
        write = { { "request_put", put } };
    } else {
        write = { { "request_delete_range", { { "key", key } } } };
    }
    return Json {
        { "compare", Json::array({ compare }) }, { "success", Json::array({ write }) },
        { "failure", Json::array({ { { "request_range", { { "key", key } } } } }) }
    }.dump();
}

std::string encodeLeaseGrant(Duration timeToLive)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(timeToLive).count();
    return Json { { "TTL", std::to_string(seconds) } }.dump();
}

std::string encodeLeaseId(LeaseId lease) { return Json { { "ID", std::to_string(lease.value) } }.dump(); }

std::string encodeWatch(std::string_view prefix, Revision after)
{
    auto create = prefixRange(prefix);
    create["start_revision"] = std::to_string(after.value + 1);
    return Json { { "create_request", create } }.dump();
}

std::optional<Listing> parseRange(std::string_view body, Error& reason)
{
    return parse(body, reason, [](const Json& json) {
        auto result = listing(json);
        result.revision = headerRevision(json);
        return result;
    });
}

std::optional<SwapResult> parseSwap(std::string_view body, Error& reason)
{
    return parse(body, reason, [](const Json& json) {
        SwapResult result;
        result.revision = headerRevision(json);
        result.swapped = flag(json, "succeeded");
        if (result.swapped)
            return result;
        const auto& responses = array(json, "responses");
        if (responses.size() != 1)
            throw Malformed("the failure branch of the transaction has no single response");
        auto found = listing(member(responses.front(), "response_range"));
        if (!found.entries.empty())
            result.current = std::move(found.entries.front());
        return result;
    });
}

std::optional<LeaseGrant> parseLeaseGrant(std::string_view body, Error& reason)
{
    return parse(body, reason, [](const Json& json) {
        auto grant = leaseGrant(json);
        if (!grant.lease || grant.timeToLive <= Duration::zero())
            throw Malformed("the lease has no id or no time to live");
        return grant;
    });
}

std::optional<LeaseGrant> parseKeepAlive(std::string_view body, Error& reason)
{
    // The response is a stream of one line.
    auto grant = parse(body.substr(0, body.find('\n')), reason,
        [](const Json& json) { return leaseGrant(member(json, "result")); });
    if (grant && grant->timeToLive <= Duration::zero()) {
        reason = { ErrorKind::NotFound, "lease " + std::to_string(grant->lease.value) + " has lapsed",
            "grant a new lease" };
        return std::nullopt;
    }
    return grant;
}

std::optional<WatchLine> parseWatchLine(std::string_view line, Error& reason)
{
    std::string ended;
    auto result = parse(line, reason, [&](const Json& json) {
        WatchLine parsed;
        if (json.contains("error")) {
            ended = json["error"].dump();
            return parsed;
        }
        const auto& body = member(json, "result");
        if (flag(body, "canceled"))
            ended = "compacted at revision " + std::to_string(integer(body, "compact_revision"));
        for (const auto& event : array(body, "events")) {
            auto change = keyValue(member(event, "kv"));
            if (event.value("type", "PUT") == "DELETE") {
                change.value.clear();
                change.modified = {};
            }
            parsed.changes.push_back(std::move(change));
        }
        return parsed;
    });
    if (result && !ended.empty()) {
        reason = { ErrorKind::Unavailable, "the store ended the watch: " + ended,
            "list the keys and start a new watch" };
        return std::nullopt;
    }
    return result;
}

Error errorForStatus(unsigned status, std::string_view body)
{
    const auto message = "the store answered with status " + std::to_string(status) + ": "
        + std::string(body.substr(0, maxQuotedBytes));
    if (status >= 500)
        return { ErrorKind::Unavailable, message, "try again; check the service if it persists" };
    if (status == 404 && body.find("lease not found") != std::string_view::npos)
        return { ErrorKind::NotFound, message, "grant a new lease" };
    if (status >= 400)
        return { ErrorKind::InvalidInput, message, "check that --store names an etcd v3 JSON gateway" };
    return { ErrorKind::MalformedMessage, message, "check that --store names an etcd v3 JSON gateway" };
}

} // namespace banyancroft::store
