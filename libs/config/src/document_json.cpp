#include "config/document_json.h"

#include "config/validation.h"
#include "syntax.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <set>

namespace banyancroft::config {

namespace {

using Json = nlohmann::json;
using OrderedJson = nlohmann::ordered_json;

// Keeps the conversion to nanoseconds from overflowing. validate() checks the narrower limit of each field.
constexpr std::uint64_t maxDurationMillis = 1'000'000'000;

// Reads the fields of one JSON object. Keeps the first error; all later reads do nothing.
class FieldReader {
public:
    FieldReader(const Json& object, std::string pointer, Error& reason)
        : object_(object)
        , pointer_(std::move(pointer))
        , reason_(reason)
    {
        if (!reason_ && !object_.is_object())
            fail(pointer_.empty() ? "/" : pointer_, "an object is expected");
    }

    void read(const char* key, std::string& out)
    {
        const Json* value = find(key);
        if (value != nullptr && expect(value->is_string(), key, "a string is expected"))
            out = value->get<std::string>();
    }

    void read(const char* key, bool& out)
    {
        const Json* value = find(key);
        if (value != nullptr && expect(value->is_boolean(), key, "true or false is expected"))
            out = value->get<bool>();
    }

    void read(const char* key, double& out)
    {
        const Json* value = find(key);
        if (value != nullptr && expect(value->is_number(), key, "a number is expected"))
            out = value->get<double>();
    }

    template <typename Number>
    requires std::is_unsigned_v<Number>
    void read(const char* key, Number& out)
    {
        const Json* value = find(key);
        if (value == nullptr || !expect(value->is_number_unsigned(), key, "a whole number is expected"))
            return;
        const auto number = value->get<std::uint64_t>();
        if (expect(number <= std::numeric_limits<Number>::max(), key, "the number is too large"))
            out = static_cast<Number>(number);
    }

    void read(const char* key, Duration& out)
    {
        std::uint64_t millis = 0;
        const Json* value = find(key);
        if (value == nullptr)
            return;
        read(key, millis);
        if (!reason_ && expect(millis <= maxDurationMillis, key, "the number of milliseconds is too large"))
            out = std::chrono::milliseconds(millis);
    }

    template <typename Tag> void read(const char* key, StringId<Tag>& out)
    {
        std::string text;
        read(key, text);
        out = StringId<Tag>(std::move(text));
    }

    template <typename Tag> void read(const char* key, NumberId<Tag>& out) { read(key, out.value); }

    // Reads an array; readItem(const Json&, std::string pointer, Error&) returns one element.
    template <typename Item, typename ReadItem>
    void readArray(const char* key, std::vector<Item>& out, ReadItem readItem)
    {
        const Json* value = find(key);
        if (value == nullptr || !expect(value->is_array(), key, "an array is expected"))
            return;
        out.reserve(value->size());
        const std::string pointer = childPointer(pointer_, key);
        for (std::size_t i = 0; i < value->size() && !reason_; ++i)
            out.push_back(readItem((*value)[i], childPointer(pointer, std::to_string(i)), reason_));
    }

    // Fields read after this call may be missing; a missing field keeps its default.
    void allowMissingFields() { missingAllowed_ = true; }

    const Json* find(const char* key)
    {
        knownFields_.insert(key);
        if (reason_)
            return nullptr;
        auto found = object_.find(key);
        if (found != object_.end())
            return &*found;
        if (!missingAllowed_)
            fail(childPointer(pointer_, key), "the field is missing");
        return nullptr;
    }

    // Call after all fields have been read.
    void rejectUnknownFields()
    {
        if (reason_)
            return;
        for (const auto& [key, value] : object_.items()) {
            if (knownFields_.contains(key))
                continue;
            std::string names;
            for (std::string_view name : knownFields_)
                names += (names.empty() ? "" : ", ") + std::string(name);
            reason_ = { ErrorKind::InvalidInput, childPointer(pointer_, key) + ": unknown field",
                "remove it or use one of: " + names };
            return;
        }
    }

private:
    bool expect(bool condition, const char* key, const char* message)
    {
        if (!condition)
            fail(childPointer(pointer_, key), message);
        return condition;
    }

    void fail(const std::string& pointer, const std::string& message)
    {
        reason_ = { ErrorKind::InvalidInput, pointer + ": " + message,
            "follow the format in docs/query-path.md, section 3.4" };
    }

    const Json& object_;
    std::string pointer_;
    Error& reason_;
    bool missingAllowed_ = false;
    std::set<std::string_view> knownFields_;
};

template <typename Id> Id readId(const Json& value, const std::string& pointer, Error& reason)
{
    if (value.is_string())
        return Id(value.get<std::string>());
    reason = { ErrorKind::InvalidInput, pointer + ": a string is expected", "write the id in double quotes" };
    return {};
}

Zone readZone(const Json& value, std::string pointer, Error& reason)
{
    Zone zone;
    FieldReader fields(value, std::move(pointer), reason);
    fields.read("id", zone.id);
    fields.read("region", zone.region);
    fields.read("serving", zone.serving);
    fields.rejectUnknownFields();
    return zone;
}

Upstream readUpstream(const Json& value, std::string pointer, Error& reason)
{
    Upstream upstream;
    FieldReader fields(value, std::move(pointer), reason);
    fields.read("id", upstream.id);
    fields.read("address", upstream.address);
    fields.read("port", upstream.port);
    fields.read("zone", upstream.zone);
    fields.allowMissingFields();
    fields.read("draining", upstream.draining);
    fields.rejectUnknownFields();
    return upstream;
}

ShardGroup readGroup(const Json& value, std::string pointer, Error& reason)
{
    ShardGroup group;
    FieldReader fields(value, std::move(pointer), reason);
    fields.read("id", group.id);
    fields.readArray("shards", group.shards, readId<ShardId>);
    fields.readArray("upstreams", group.upstreams, readUpstream);
    fields.rejectUnknownFields();
    return group;
}

Service readService(const Json& value, std::string pointer, Error& reason)
{
    Service service;
    FieldReader fields(value, std::move(pointer), reason);
    fields.read("id", service.id);
    fields.read("slots", service.slots);
    fields.read("connections", service.connections);
    fields.read("cold_limit", service.coldLimit);
    fields.readArray("groups", service.groups, readGroup);
    fields.allowMissingFields();
    fields.read("connect_time_ms", service.connectTime);
    fields.rejectUnknownFields();
    return service;
}

Collection readCollection(const Json& value, std::string pointer, Error& reason)
{
    Collection collection;
    FieldReader fields(value, std::move(pointer), reason);
    fields.read("name", collection.name);
    fields.readArray("services", collection.services, readId<ServiceId>);
    fields.rejectUnknownFields();
    return collection;
}

Operation readOperation(const Json& value, std::string pointer, Error& reason)
{
    Operation operation;
    FieldReader fields(value, std::move(pointer), reason);
    fields.read("name", operation.name);
    fields.read("service", operation.service);
    // Required, since a default for a forgotten field could let a request run twice.
    fields.read("non_idempotent", operation.nonIdempotent);
    fields.rejectUnknownFields();
    return operation;
}

Policy readPolicy(const Json& value, std::string pointer, Error& reason)
{
    Policy policy;
    FieldReader fields(value, std::move(pointer), reason);
    fields.allowMissingFields();
    fields.read("default_deadline_ms", policy.defaultDeadline);
    fields.read("max_deadline_ms", policy.maxDeadline);
    fields.read("answer_reserve_ms", policy.answerReserve);
    fields.read("hedge", policy.hedge);
    fields.read("hedge_quantile", policy.hedgeQuantile);
    fields.read("hedge_budget_percent", policy.hedgeBudgetPercent);
    fields.read("retry_budget_percent", policy.retryBudgetPercent);
    fields.read("queue_limit", policy.queueLimit);
    fields.read("warmup_answers_per_step", policy.warmupAnswersPerStep);
    fields.rejectUnknownFields();
    return policy;
}

Document readDocument(const Json& value, Error& reason)
{
    Document document;
    FieldReader fields(value, "", reason);
    std::uint64_t schema = 0;
    fields.read("schema", schema);
    if (!reason && schema != Document::schemaVersion) {
        reason = { ErrorKind::InvalidInput,
            "/schema: schema version " + std::to_string(schema) + " is not supported",
            "use schema " + std::to_string(Document::schemaVersion) + " or a daemon that supports this one" };
    }
    fields.read("version", document.version);
    fields.read("layout_version", document.layout);
    fields.read("deployment", document.deployment);
    fields.readArray("zones", document.zones, readZone);
    fields.readArray("services", document.services, readService);
    fields.readArray("collections", document.collections, readCollection);
    fields.allowMissingFields();
    fields.readArray("operations", document.operations, readOperation);
    if (const Json* policy = fields.find("policy"))
        document.policy = readPolicy(*policy, "/policy", reason);
    fields.rejectUnknownFields();
    return document;
}

std::int64_t wholeMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

template <typename Id> OrderedJson idsToJson(const std::vector<Id>& ids)
{
    OrderedJson array = OrderedJson::array();
    for (const Id& id : ids)
        array.push_back(id.str());
    return array;
}

OrderedJson toJson(const Policy& policy)
{
    return {
        { "default_deadline_ms", wholeMillis(policy.defaultDeadline) },
        { "max_deadline_ms", wholeMillis(policy.maxDeadline) },
        { "answer_reserve_ms", wholeMillis(policy.answerReserve) },
        { "hedge", policy.hedge },
        { "hedge_quantile", policy.hedgeQuantile },
        { "hedge_budget_percent", policy.hedgeBudgetPercent },
        { "retry_budget_percent", policy.retryBudgetPercent },
        { "queue_limit", policy.queueLimit },
        { "warmup_answers_per_step", policy.warmupAnswersPerStep },
    };
}

OrderedJson toJson(const Service& service)
{
    OrderedJson groups = OrderedJson::array();
    for (const ShardGroup& group : service.groups) {
        OrderedJson upstreams = OrderedJson::array();
        for (const Upstream& upstream : group.upstreams) {
            upstreams.push_back({
                { "id", upstream.id.str() },
                { "address", upstream.address },
                { "port", upstream.port },
                { "zone", upstream.zone.str() },
                { "draining", upstream.draining },
            });
        }
        groups.push_back({
            { "id", group.id.str() },
            { "shards", idsToJson(group.shards) },
            { "upstreams", std::move(upstreams) },
        });
    }
    return {
        { "id", service.id.str() },
        { "slots", service.slots },
        { "connections", service.connections },
        { "cold_limit", service.coldLimit },
        { "connect_time_ms", wholeMillis(service.connectTime) },
        { "groups", std::move(groups) },
    };
}

} // namespace

std::optional<Document> parseDocument(std::string_view text, Error& reason)
{
    reason = {};
    if (text.size() > maxDocumentBytes) {
        reason = { ErrorKind::InvalidInput,
            "/: the document has " + std::to_string(text.size()) + " bytes; the limit is "
                + std::to_string(maxDocumentBytes),
            "shorten ids or split the deployment; the store does not accept larger values" };
        return std::nullopt;
    }
    if (!checkSyntax(text, reason))
        return std::nullopt;
    const Json value = Json::parse(text, nullptr, false);
    Document document = readDocument(value, reason);
    if (reason || !validate(document, reason))
        return std::nullopt;
    return document;
}

std::string toJson(const Document& document)
{
    OrderedJson zones = OrderedJson::array();
    for (const Zone& zone : document.zones) {
        zones.push_back(
            { { "id", zone.id.str() }, { "region", zone.region.str() }, { "serving", zone.serving } });
    }
    OrderedJson services = OrderedJson::array();
    for (const Service& service : document.services)
        services.push_back(toJson(service));
    OrderedJson collections = OrderedJson::array();
    for (const Collection& collection : document.collections) {
        collections.push_back(
            { { "name", collection.name }, { "services", idsToJson(collection.services) } });
    }
    OrderedJson operations = OrderedJson::array();
    for (const Operation& operation : document.operations) {
        operations.push_back({
            { "name", operation.name },
            { "service", operation.service.str() },
            { "non_idempotent", operation.nonIdempotent },
        });
    }
    const OrderedJson value = {
        { "schema", Document::schemaVersion },
        { "version", document.version.value },
        { "layout_version", document.layout.value },
        { "deployment", document.deployment },
        { "policy", toJson(document.policy) },
        { "zones", std::move(zones) },
        { "services", std::move(services) },
        { "collections", std::move(collections) },
        { "operations", std::move(operations) },
    };
    return value.dump();
}

} // namespace banyancroft::config
