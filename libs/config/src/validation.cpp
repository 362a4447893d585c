#include "config/validation.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cmath>
#include <map>
#include <string>

namespace banyancroft::config {

namespace {

constexpr unsigned maxSlots = 10'000;
constexpr unsigned maxConnections = 100'000;
constexpr unsigned maxQueueLimit = 1'000'000;
constexpr unsigned maxWarmupAnswers = 1'000'000;
constexpr Duration maxConnectTime = std::chrono::seconds(10);

std::string elementPointer(std::string_view array, std::size_t index)
{
    return std::string(array) + "/" + std::to_string(index);
}

bool isIpAddress(const std::string& text)
{
    std::array<unsigned char, sizeof(in6_addr)> buffer {};
    return inet_pton(AF_INET, text.c_str(), buffer.data()) == 1
        || inet_pton(AF_INET6, text.c_str(), buffer.data()) == 1;
}

// Checks one document and keeps the first error.
class Validator {
public:
    Validator(const Document& document, Error& reason)
        : document_(document)
        , reason_(reason)
    {
    }

    bool run()
    {
        reason_ = {};
        checkHeader();
        checkPolicy();
        for (std::size_t i = 0; i < document_.zones.size(); ++i)
            checkZone(document_.zones[i], elementPointer("/zones", i));
        for (std::size_t i = 0; i < document_.services.size(); ++i)
            checkService(document_.services[i], elementPointer("/services", i));
        for (std::size_t i = 0; i < document_.collections.size(); ++i)
            checkCollection(document_.collections[i], elementPointer("/collections", i));
        for (std::size_t i = 0; i < document_.operations.size(); ++i)
            checkOperation(document_.operations[i], elementPointer("/operations", i));
        return !reason_;
    }

private:
    // JSON pointer of the first use, by id.
    using UsedIds = std::map<std::string, std::string, std::less<>>;

    void fail(const std::string& pointer, const std::string& message, const std::string& remedy)
    {
        if (!reason_)
            reason_ = { ErrorKind::InvalidInput, pointer + ": " + message, remedy };
    }

    void checkHeader()
    {
        if (!document_.version)
            fail("/version", "the version must not be 0", "use 1 for the first document");
        if (!document_.layout)
            fail("/layout_version", "the layout version must not be 0", "use 1 for the first layout");
        checkId("/deployment", document_.deployment);
        if (document_.zones.empty())
            fail("/zones", "the list is empty", "name at least one availability zone");
        if (document_.services.empty())
            fail("/services", "the list is empty", "name at least one service");
    }

    void checkId(const std::string& pointer, std::string_view id)
    {
        if (isValidId(id))
            return;
        fail(pointer, "the id is empty, too long or contains a character that is not allowed",
            "use up to " + std::to_string(maxIdLength)
                + " letters, digits, '.', '_' and '-', starting with a letter or digit");
    }

    // Checks an id that must be unique among ids of its kind and records its JSON pointer.
    void checkUnique(UsedIds& usedIds, const std::string& pointer, std::string_view id)
    {
        checkId(pointer, id);
        auto [position, inserted] = usedIds.emplace(std::string(id), pointer);
        if (!inserted) {
            fail(pointer, "'" + std::string(id) + "' is already used at " + position->second,
                "give each one its own id");
        }
    }

    void checkReference(
        const UsedIds& usedIds, const std::string& pointer, std::string_view id, const char* kind)
    {
        if (!usedIds.contains(id)) {
            fail(pointer, "'" + std::string(id) + "' is not the id of any " + kind,
                std::string("correct the id or add the ") + kind);
        }
    }

    void checkRange(const std::string& pointer, std::uint64_t value, std::uint64_t low, std::uint64_t high)
    {
        if (value < low || value > high) {
            fail(pointer, std::to_string(value) + " is out of range",
                "use a whole number from " + std::to_string(low) + " to " + std::to_string(high));
        }
    }

    void checkPercent(const std::string& pointer, double value)
    {
        if (!(value >= 0.0 && value <= 100.0))
            fail(pointer, "the value is out of range", "use a number from 0 to 100");
    }

    void checkDuration(const std::string& pointer, Duration value, Duration low, Duration high)
    {
        const auto millis = [](Duration duration) {
            return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
        };
        // The JSON format holds whole milliseconds; a fraction would be lost when the document is written.
        const bool isWhole = value % std::chrono::milliseconds(1) == Duration::zero();
        if (value < low || value > high || !isWhole) {
            fail(pointer, "the duration is out of range or not a whole number of milliseconds",
                "use whole milliseconds from " + millis(low) + " to " + millis(high));
        }
    }

    void checkPolicy()
    {
        const Policy& policy = document_.policy;
        constexpr Duration minDeadline = std::chrono::milliseconds(1);
        checkDuration("/policy/max_deadline_ms", policy.maxDeadline, minDeadline, longestRequestDeadline);
        checkDuration("/policy/default_deadline_ms", policy.defaultDeadline, minDeadline, policy.maxDeadline);
        checkDuration("/policy/answer_reserve_ms", policy.answerReserve, Duration::zero(),
            policy.defaultDeadline - minDeadline);
        if (!(policy.hedgeQuantile > 0.0 && policy.hedgeQuantile < 1.0))
            fail("/policy/hedge_quantile", "the value is out of range", "use a number between 0 and 1");
        checkPercent("/policy/hedge_budget_percent", policy.hedgeBudgetPercent);
        checkPercent("/policy/retry_budget_percent", policy.retryBudgetPercent);
        checkRange("/policy/queue_limit", policy.queueLimit, 1, maxQueueLimit);
        checkRange("/policy/warmup_answers_per_step", policy.warmupAnswersPerStep, 1, maxWarmupAnswers);
    }

    void checkZone(const Zone& zone, const std::string& pointer)
    {
        checkUnique(zones_, pointer + "/id", zone.id.view());
        checkId(pointer + "/region", zone.region.view());
    }

    void checkService(const Service& service, const std::string& pointer)
    {
        checkUnique(services_, pointer + "/id", service.id.view());
        checkRange(pointer + "/slots", service.slots, 1, maxSlots);
        checkRange(pointer + "/connections", service.connections, 1, maxConnections);
        // With a limit of 0 a cold start would never end, since only completed answers raise the limit.
        checkRange(pointer + "/cold_limit", service.coldLimit, 1, service.slots);
        checkDuration(pointer + "/connect_time_ms", service.connectTime, Duration::zero(), maxConnectTime);
        if (service.connections < service.slots) {
            fail(pointer + "/connections", "fewer connections than slots",
                "HTTP/1.1 runs one request per connection: raise connections or lower slots");
        }
        if (service.groups.empty())
            fail(pointer + "/groups", "the list is empty", "name at least one shard group");
        for (std::size_t i = 0; i < service.groups.size(); ++i)
            checkGroup(service.groups[i], elementPointer(pointer + "/groups", i));
    }

    void checkGroup(const ShardGroup& group, const std::string& pointer)
    {
        checkUnique(groups_, pointer + "/id", group.id.view());
        if (group.shards.empty())
            fail(pointer + "/shards", "the list is empty", "name at least one shard");
        if (group.upstreams.empty())
            fail(pointer + "/upstreams", "the list is empty", "name at least one upstream");
        for (std::size_t i = 0; i < group.shards.size(); ++i)
            checkUnique(shards_, elementPointer(pointer + "/shards", i), group.shards[i].view());
        for (std::size_t i = 0; i < group.upstreams.size(); ++i)
            checkUpstream(group.upstreams[i], elementPointer(pointer + "/upstreams", i));
    }

    void checkUpstream(const Upstream& upstream, const std::string& pointer)
    {
        checkUnique(upstreams_, pointer + "/id", upstream.id.view());
        checkReference(zones_, pointer + "/zone", upstream.zone.view(), "availability zone");
        checkRange(pointer + "/port", upstream.port, 1, 65'535);
        if (!isIpAddress(upstream.address))
            fail(pointer + "/address", "the address is not an IP address",
                "use an IPv4 or IPv6 address without a port");
        // Two ids for one process would each admit requests up to its limit, together twice the limit.
        const std::string endpoint = upstream.address + " port " + std::to_string(upstream.port);
        auto [position, inserted] = endpoints_.emplace(endpoint, pointer);
        if (!inserted) {
            fail(pointer + "/port", endpoint + " is already used at " + position->second,
                "give each upstream its own address or port");
        }
    }

    void checkCollection(const Collection& collection, const std::string& pointer)
    {
        checkUnique(collections_, pointer + "/name", collection.name);
        if (collection.services.empty())
            fail(pointer + "/services", "the list is empty", "name at least one service");
        UsedIds servicesInCollection;
        for (std::size_t i = 0; i < collection.services.size(); ++i) {
            const std::string servicePointer = elementPointer(pointer + "/services", i);
            checkUnique(servicesInCollection, servicePointer, collection.services[i].view());
            checkReference(services_, servicePointer, collection.services[i].view(), "service");
        }
    }

    void checkOperation(const Operation& operation, const std::string& pointer)
    {
        checkUnique(operations_, pointer + "/name", operation.name);
        checkReference(services_, pointer + "/service", operation.service.view(), "service");
    }

    const Document& document_;
    Error& reason_;
    UsedIds zones_;
    UsedIds services_;
    UsedIds groups_;
    UsedIds shards_;
    UsedIds upstreams_;
    UsedIds endpoints_;
    UsedIds collections_;
    UsedIds operations_;
};

} // namespace

bool isValidId(std::string_view text)
{
    const auto isAlphanumeric
        = [](char character) { return std::isalnum(static_cast<unsigned char>(character)) != 0; };
    return !text.empty() && text.size() <= maxIdLength && isAlphanumeric(text.front())
        && std::all_of(text.begin(), text.end(), [&](char character) {
               return isAlphanumeric(character) || character == '.' || character == '_' || character == '-';
           });
}

bool validate(const Document& document, Error& reason) { return Validator(document, reason).run(); }

} // namespace banyancroft::config
