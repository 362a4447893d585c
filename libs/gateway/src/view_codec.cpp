#include "view_codec.h"

#include "json/bounded_parser.h"

#include <nlohmann/json.hpp>

#include <algorithm>

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

} // namespace

std::string encodeUpdate(const ViewUpdate& update, TimePoint now)
{
    auto items = Json::array();
    for (const auto& entry : update.content.entries)
        items.push_back(Json::array({ entry.key, entry.modified.value, entry.value }));
    const Json message { { "full", update.isFull }, { "revision", update.content.revision.value },
        { "age_us", ageMicros(update.currentAt, now) }, { "items", std::move(items) } };
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
        for (const auto& item : message.at("items")) {
            store::KeyValue entry;
            item.at(0).get_to(entry.key);
            entry.modified = { item.at(1).get<std::uint64_t>() };
            item.at(2).get_to(entry.value);
            update.content.entries.push_back(std::move(entry));
        }
        return update;
    } catch (const std::exception& error) {
        reason = { ErrorKind::MalformedMessage, error.what(), "check that all VMs run the same version" };
        return std::nullopt;
    }
}

} // namespace banyancroft::gateway
