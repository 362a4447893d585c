#include "view_codec.h"

#include "json/bounded_parser.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <span>
#include <vector>

namespace banyancroft::gateway {

namespace {

using Json = nlohmann::json;

/** Sent as the age of a time that is not set; far above any relevant age. */
constexpr Duration maxAge = std::chrono::hours(24);

std::int64_t ageMicros(TimePoint at, TimePoint now)
{
    const auto age = at == TimePoint {} ? maxAge : std::clamp<Duration>(now - at, Duration::zero(), maxAge);
    return std::chrono::duration_cast<std::chrono::microseconds>(age).count();
}

TimePoint timeFromAge(std::int64_t micros, TimePoint now)
{
    const Duration age = std::chrono::microseconds(micros);
    if (micros < 0)
        throw std::invalid_argument("negative age: " + std::to_string(micros) + " us");
    return age >= maxAge ? TimePoint {} : now - age;
}

Json encodeItems(std::span<const store::KeyValue> entries)
{
    auto items = Json::array();
    for (const auto& entry : entries)
        items.push_back(Json::array({ entry.key, entry.modified.value, entry.value }));
    return items;
}

std::vector<store::KeyValue> decodeItems(const Json& items)
{
    std::vector<store::KeyValue> entries;
    for (const auto& item : items) {
        store::KeyValue entry;
        item.at(0).get_to(entry.key);
        entry.modified = { item.at(1).get<std::uint64_t>() };
        item.at(2).get_to(entry.value);
        entries.push_back(std::move(entry));
    }
    return entries;
}

} // namespace

std::string encodeUpdate(const ViewUpdate& update, TimePoint now)
{
    Json message { { "full", update.isFull }, { "revision", update.content.revision.value },
        { "age_us", ageMicros(update.currentAt, now) }, { "items", encodeItems(update.content.entries) } };
    // Left out for stores that were never restored, so that VMs of earlier releases see no difference.
    if (update.content.era)
        message["era"] = update.content.era.value;
    if (!update.retained.empty())
        message["retained"] = encodeItems(update.retained);
    std::string bytes;
    Json::to_msgpack(message, bytes);
    return bytes;
}

std::optional<ViewUpdate> decodeUpdate(std::string_view bytes, TimePoint requestedAt, Error& reason)
{
    try {
        const auto message = json::parseMessagePack(bytes);
        ViewUpdate update;
        update.isFull = message.at("full").get<bool>();
        update.content.revision = { message.at("revision").get<std::uint64_t>() };
        update.currentAt = timeFromAge(message.at("age_us").get<std::int64_t>(), requestedAt);
        update.content.entries = decodeItems(message.at("items"));
        if (const auto era = message.find("era"); era != message.end())
            update.content.era = { era->get<std::uint64_t>() };
        if (const auto retained = message.find("retained"); retained != message.end())
            update.retained = decodeItems(*retained);
        return update;
    } catch (const std::exception& error) {
        reason = { ErrorKind::MalformedMessage, error.what(), "check that all VMs run the same version" };
        return std::nullopt;
    }
}

std::string encodeQuestion(const RelayQuestion& question)
{
    auto target = std::string(relayPath) + "?after=" + std::to_string(question.known.revision.value);
    if (question.known.era)
        target += "&era=" + std::to_string(question.known.era.value);
    if (question.knownRetained != 0)
        target += "&retained=" + std::to_string(question.knownRetained);
    return target;
}

std::optional<RelayQuestion> decodeQuestion(std::string_view target)
{
    const auto queryAt = target.find('?');
    if (queryAt == std::string_view::npos || target.substr(0, queryAt) != relayPath)
        return std::nullopt;
    auto query = target.substr(queryAt + 1);
    RelayQuestion question;
    bool hasRevision = false;
    while (!query.empty()) {
        const auto parameter = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(parameter.size() + 1, query.size()));
        const auto name = parameter.substr(0, parameter.find('='));
        std::uint64_t number = 0;
        const auto* const end = parameter.data() + parameter.size();
        const auto* const begin = parameter.data() + std::min(name.size() + 1, parameter.size());
        const auto [last, failure] = std::from_chars(begin, end, number);
        if (failure != std::errc() || last != end)
            return std::nullopt;
        if (name == "after") {
            question.known.revision = { number };
            hasRevision = true;
        } else if (name == "era") {
            question.known.era = { number };
        } else if (name == "retained") {
            question.knownRetained = number;
        }
    }
    return hasRevision ? std::optional(question) : std::nullopt;
}

} // namespace banyancroft::gateway
