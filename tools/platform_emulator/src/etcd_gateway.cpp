#include "platform_emulator/etcd_gateway.h"

#include "store/base64.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace banyancroft::tools {

using Json = nlohmann::json;
using store::decodeBase64;
using store::encodeBase64;

namespace {

// gRPC status codes that the gateway reports in the body of an error response.
constexpr int grpcInvalidArgument = 3;
constexpr int grpcNotFound = 5;

struct BadRequest : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct LeaseNotFound { };

/** Finds a field by its snake_case or camelCase name; the gateway accepts both. */
const Json* field(const Json& object, std::string_view snake, std::string_view camel = {})
{
    if (!object.is_object())
        throw BadRequest("request must be a JSON object");
    if (auto found = object.find(std::string(snake)); found != object.end())
        return &*found;
    if (camel.empty())
        return nullptr;
    const auto found = object.find(std::string(camel));
    return found == object.end() ? nullptr : &*found;
}

std::string bytesField(const Json& object, std::string_view snake, std::string_view camel = {})
{
    const auto* value = field(object, snake, camel);
    if (!value)
        return {};
    if (!value->is_string())
        throw BadRequest("field " + std::string(snake) + " must be a base64 string");
    auto bytes = decodeBase64(value->get_ref<const std::string&>());
    if (!bytes)
        throw BadRequest("field " + std::string(snake) + " is not valid base64");
    return *bytes;
}

std::int64_t integerField(const Json& object, std::string_view snake, std::string_view camel = {})
{
    const auto* value = field(object, snake, camel);
    if (!value)
        return 0;
    if (value->is_number_integer())
        return value->get<std::int64_t>();
    if (!value->is_string())
        throw BadRequest("field " + std::string(snake) + " must be an integer");
    const auto& text = value->get_ref<const std::string&>();
    try {
        std::size_t used = 0;
        const auto number = std::stoll(text, &used);
        if (used == text.size())
            return number;
    } catch (const std::logic_error&) {
    }
    throw BadRequest("field " + std::string(snake) + " is not an integer");
}

std::string textField(const Json& object, std::string_view name, std::string_view fallback)
{
    const auto* value = field(object, name);
    return value && value->is_string() ? value->get<std::string>() : std::string(fallback);
}

/** Sets an integer in the encoding of the gateway: as a string, omitted if zero. */
void setInteger(Json& object, const char* name, std::int64_t value)
{
    if (value != 0)
        object[name] = std::to_string(value);
}

Json header(const KeyValueState& state)
{
    Json result { { "cluster_id", "14841639068965178418" }, { "member_id", "10276657743932975437" },
        { "raft_term", "2" } };
    setInteger(result, "revision", state.revision());
    return result;
}

Json keyValue(const std::string& key, const StoredValue& stored)
{
    Json result { { "key", encodeBase64(key) } };
    setInteger(result, "create_revision", stored.createRevision);
    setInteger(result, "mod_revision", stored.modRevision);
    setInteger(result, "version", stored.version);
    setInteger(result, "lease", stored.lease);
    if (!stored.value.empty())
        result["value"] = encodeBase64(stored.value);
    return result;
}

KeyRange rangeOf(const Json& body)
{
    KeyRange range { bytesField(body, "key"), bytesField(body, "range_end", "rangeEnd") };
    if (range.begin.empty())
        throw BadRequest("etcdserver: key is not provided");
    return range;
}

Json runRange(const KeyValueState& state, const Json& body)
{
    const auto entries = state.range(rangeOf(body));
    const auto limit = static_cast<std::size_t>(integerField(body, "limit"));
    Json result { { "header", header(state) } };
    for (const auto& [key, stored] : entries) {
        if (limit != 0 && result.contains("kvs") && result["kvs"].size() == limit) {
            result["more"] = true;
            break;
        }
        result["kvs"].push_back(keyValue(key, stored));
    }
    setInteger(result, "count", static_cast<std::int64_t>(entries.size()));
    return result;
}

bool compareHolds(const KeyValueState& state, const Json& compare)
{
    const auto stored = state.find(bytesField(compare, "key")).value_or(StoredValue {});
    const auto target = textField(compare, "target", "VERSION");
    std::int64_t actual = stored.version;
    std::int64_t expected = 0;
    if (target == "MOD") {
        actual = stored.modRevision;
        expected = integerField(compare, "mod_revision", "modRevision");
    } else if (target == "CREATE") {
        actual = stored.createRevision;
        expected = integerField(compare, "create_revision", "createRevision");
    } else if (target == "VERSION") {
        expected = integerField(compare, "version");
    } else {
        throw BadRequest("compare target " + target + " is not supported by the emulator");
    }
    const auto relation = textField(compare, "result", "EQUAL");
    if (relation == "EQUAL")
        return actual == expected;
    if (relation == "NOT_EQUAL")
        return actual != expected;
    if (relation == "GREATER")
        return actual > expected;
    if (relation == "LESS")
        return actual < expected;
    throw BadRequest("compare result " + relation + " is unknown");
}

Json runOperation(KeyValueState& state, const Json& operation)
{
    if (const auto* put = field(operation, "request_put", "requestPut")) {
        const auto lease = integerField(*put, "lease");
        state.put(rangeOf(*put).begin, bytesField(*put, "value"), lease);
        return { { "response_put", Json::object() } };
    }
    if (const auto* erase = field(operation, "request_delete_range", "requestDeleteRange")) {
        Json response = Json::object();
        setInteger(response, "deleted", state.erase(rangeOf(*erase)));
        return { { "response_delete_range", response } };
    }
    if (const auto* range = field(operation, "request_range", "requestRange"))
        return { { "response_range", runRange(state, *range) } };
    throw BadRequest("transaction contains an operation that the emulator does not support");
}

/** Validates all puts of a branch before the first write, so that a rejected transaction writes nothing. */
void checkBranch(const KeyValueState& state, const Json& branch)
{
    for (const auto& operation : branch) {
        if (const auto* put = field(operation, "request_put", "requestPut")) {
            const auto lease = integerField(*put, "lease");
            if (lease != 0 && !state.hasLease(lease))
                throw LeaseNotFound {};
            bytesField(*put, "value");
        }
    }
}

CallResult runTransaction(KeyValueState& state, const Json& body)
{
    bool succeeded = true;
    if (const auto* compares = field(body, "compare")) {
        for (const auto& compare : *compares)
            succeeded = compareHolds(state, compare) && succeeded;
    }
    const auto* branch = succeeded ? field(body, "success") : field(body, "failure");
    Json responses = Json::array();
    state.beginWrite();
    if (branch) {
        checkBranch(state, *branch);
        for (const auto& operation : *branch)
            responses.push_back(runOperation(state, operation));
    }
    const bool wrote = state.endWrite();
    Json result { { "header", header(state) } };
    if (succeeded)
        result["succeeded"] = true;
    if (!responses.empty())
        result["responses"] = responses;
    return { { 200, {}, result.dump() }, wrote };
}

CallResult failure(unsigned status, int code, const std::string& message)
{
    const Json body { { "error", message }, { "code", code }, { "message", message } };
    return { { status, {}, body.dump() }, false };
}

} // namespace

CallResult EtcdGateway::handle(std::string_view path, std::string_view body, TimePoint now)
{
    state_.expireLeases(now);
    try {
        const auto json = Json::parse(body);
        if (path == "/v3/kv/range")
            return { { 200, {}, runRange(state_, json).dump() }, false };
        if (path == "/v3/kv/txn")
            return runTransaction(state_, json);
        if (path == "/v3/lease/grant") {
            const auto seconds = integerField(json, "TTL");
            if (seconds <= 0)
                throw BadRequest("TTL must be positive");
            Json result { { "header", header(state_) } };
            setInteger(result, "ID", state_.grantLease(std::chrono::seconds(seconds), now));
            setInteger(result, "TTL", seconds);
            return { { 200, {}, result.dump() }, true };
        }
        if (path == "/v3/lease/keepalive") {
            const auto lease = integerField(json, "ID");
            Json result { { "header", header(state_) } };
            setInteger(result, "ID", lease);
            if (const auto timeToLive = state_.renewLease(lease, now)) {
                setInteger(
                    result, "TTL", std::chrono::duration_cast<std::chrono::seconds>(*timeToLive).count());
            }
            return { { 200, {}, Json { { "result", result } }.dump() + "\n" }, true };
        }
        if (path == "/v3/lease/revoke") {
            if (!state_.revokeLease(integerField(json, "ID")))
                throw LeaseNotFound {};
            return { { 200, {}, Json { { "header", header(state_) } }.dump() }, true };
        }
    } catch (const LeaseNotFound&) {
        return failure(404, grpcNotFound, "etcdserver: requested lease not found");
    } catch (const BadRequest& problem) {
        return failure(400, grpcInvalidArgument, problem.what());
    } catch (const Json::exception& problem) {
        return failure(400, grpcInvalidArgument, problem.what());
    }
    return failure(404, grpcNotFound, "Not Found");
}

std::optional<WatchRequest> EtcdGateway::parseWatch(std::string_view body)
{
    try {
        const auto json = Json::parse(body);
        const auto* create = field(json, "create_request", "createRequest");
        if (!create)
            return std::nullopt;
        return WatchRequest { rangeOf(*create), integerField(*create, "start_revision", "startRevision") };
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::string EtcdGateway::encodeWatchCreated() const
{
    return Json { { "result", { { "header", header(state_) }, { "created", true } } } }.dump() + "\n";
}

std::string EtcdGateway::encodeEvents(const std::vector<StoreEvent>& events) const
{
    Json list = Json::array();
    for (const auto& event : events) {
        if (event.current) {
            list.push_back({ { "kv", keyValue(event.key, *event.current) } });
            continue;
        }
        Json deletedKey { { "key", encodeBase64(event.key) } };
        setInteger(deletedKey, "mod_revision", event.revision);
        list.push_back({ { "type", "DELETE" }, { "kv", deletedKey } });
    }
    return Json { { "result", { { "header", header(state_) }, { "events", list } } } }.dump() + "\n";
}

std::string EtcdGateway::encodeCompacted() const
{
    Json result { { "header", header(state_) }, { "canceled", true } };
    setInteger(result, "compact_revision", state_.compactRevision());
    return Json { { "result", result } }.dump() + "\n";
}

} // namespace banyancroft::tools
