#include "store.h"

#include <nlohmann/json.hpp>

#include <array>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxItems = 500;
constexpr Milliseconds connectionIdle(600'000);
constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string toBase64(std::string_view bytes)
{
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        const auto chunk = bytes.substr(at, 3);
        std::uint32_t bits = 0;
        for (std::size_t i = 0; i < 3; ++i)
            bits = bits << 8 | (i < chunk.size() ? static_cast<unsigned char>(chunk[i]) : 0);
        for (std::size_t i = 0; i < 4; ++i)
            text.push_back(i <= chunk.size() ? alphabet[bits >> (18 - 6 * i) & 63] : '=');
    }
    return text;
}

std::string fromBase64(std::string_view text)
{
    std::string bytes;
    std::uint32_t bits = 0;
    unsigned count = 0;
    for (const char c : text) {
        const auto value = alphabet.find(c);
        if (value == std::string_view::npos)
            break;
        bits = bits << 6 | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            bytes.push_back(static_cast<char>(bits >> count & 0xFF));
        }
    }
    return bytes;
}

std::string percentDecoded(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result.push_back(static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16)));
            i += 2;
        } else {
            result.push_back(text[i]);
        }
    }
    return result;
}

std::map<std::string, std::string> parseQuery(std::string_view target)
{
    std::map<std::string, std::string> query;
    const auto mark = target.find('?');
    auto rest = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto pair = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        const auto equals = std::min(pair.find('='), pair.size());
        query[std::string(pair.substr(0, equals))]
            = percentDecoded(pair.substr(std::min(equals + 1, pair.size())));
    }
    return query;
}

std::uint64_t number(const std::map<std::string, std::string>& query, const std::string& name)
{
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::stoull(found->second);
}

std::string text(const std::map<std::string, std::string>& query, const std::string& name)
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

template <typename Item> Json itemJson(const std::string& key, const Item& item)
{
    return { { "key", key }, { "value", toBase64(item.value) }, { "revision", item.revision },
        { "createRevision", item.createRevision }, { "lease", item.lease } };
}

} // namespace

Store::Store(const std::string& ip)
    : server_(std::make_unique<Server>(
        ip, [this](Connection& connection, const std::atomic<bool>& stop) { serve(connection, stop); }))
{
}

Store::~Store() { server_.reset(); }

void Store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    write(key, value, 0, ++revision_);
}

void Store::remove(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    erase(key, ++revision_);
}

void Store::write(const std::string& key, std::string value, std::uint64_t lease, std::uint64_t revision)
{
    auto& item = items_[key];
    item.createRevision = item.createRevision == 0 ? revision : item.createRevision;
    item.value = std::move(value);
    item.revision = revision;
    item.lease = lease;
    events_.push_back({ revision, key, std::make_shared<const Item>(item) });
    changed_.notify_all();
}

void Store::erase(const std::string& key, std::uint64_t revision)
{
    if (items_.erase(key) == 0)
        return;
    events_.push_back({ revision, key, nullptr });
    changed_.notify_all();
}

void Store::eraseKeysOf(std::uint64_t lease)
{
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    for (const auto& key : keys)
        erase(key, ++revision_);
}

void Store::expireLeases()
{
    std::vector<std::uint64_t> ended;
    for (const auto& [id, lease] : leases_) {
        if (lease.endsAt <= Clock::now())
            ended.push_back(id);
    }
    for (const auto id : ended) {
        leases_.erase(id);
        eraseKeysOf(id);
    }
}

void Store::serve(Connection& connection, const std::atomic<bool>& stop)
{
    Message request;
    while (!stop && connection.read(request, false, connectionIdle, &stop) == ReadEnd::Complete) {
        const auto answer = handle(request, stop);
        const Fields fields { { "Content-Type", "application/json" },
            { "Content-Length", std::to_string(answer.body.size()) } };
        if (!connection.write(
                serialise("HTTP/1.1 " + std::to_string(answer.status) + " -", fields, answer.body)))
            return;
    }
}

Store::Answer Store::handle(const Message& request, const std::atomic<bool>& stop)
{
    const auto target = request.target();
    const auto path = target.substr(0, target.find('?'));
    const auto query = parseQuery(target);
    const auto afterPrefix = [&](const std::string& prefix) -> std::optional<std::uint64_t> {
        if (!path.starts_with(prefix))
            return std::nullopt;
        return std::stoull(path.substr(prefix.size()));
    };
    if (path == "/-/kv-range")
        return range(query);
    if (path == "/-/kv-watch")
        return watch(query, stop);
    if (path == "/-/kv-txn")
        return transact(request.body);
    if (path == "/-/kv-lease")
        return grantLease(request.body);
    if (const auto id = afterPrefix("/-/kv-keep/"))
        return renewLease(*id);
    if (const auto id = afterPrefix("/-/kv-lease-end/"))
        return endLease(*id);
    return { 404, "{}" };
}

Store::Answer Store::range(const std::map<std::string, std::string>& query)
{
    const std::lock_guard lock(mutex_);
    expireLeases();
    const auto prefix = text(query, "prefix");
    const auto after = text(query, "after");
    auto items = Json::array();
    bool more = false;
    for (const auto& [key, item] : items_) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after))
            continue;
        more = items.size() == maxItems;
        if (more)
            break;
        items.push_back(itemJson(key, item));
    }
    const Json body { { "items", std::move(items) }, { "hasMore", more }, { "asOf", revision_ } };
    return { 200, body.dump() };
}

Store::Answer Store::watch(const std::map<std::string, std::string>& query, const std::atomic<bool>& stop)
{
    const auto prefix = text(query, "prefix");
    const auto after = number(query, "after");
    const auto until = Clock::now() + Milliseconds(number(query, "waitMs"));
    std::unique_lock lock(mutex_);
    while (true) {
        expireLeases();
        auto events = Json::array();
        for (const auto& event : events_) {
            if (event.revision <= after || !event.key.starts_with(prefix))
                continue;
            events.push_back(event.item
                    ? itemJson(event.key, *event.item)
                    : Json { { "key", event.key }, { "revision", event.revision }, { "tombstone", true } });
        }
        if (!events.empty() || Clock::now() >= until || stop)
            return { 200, Json { { "events", std::move(events) }, { "asOf", revision_ } }.dump() };
        changed_.wait_for(lock, Milliseconds(20));
    }
}

Store::Answer Store::transact(const std::string& body)
{
    const auto call = Json::parse(body);
    const std::lock_guard lock(mutex_);
    expireLeases();
    auto unequal = false;
    auto current = Json::array();
    for (const auto& row : call.value("expectedRev", Json::array())) {
        const auto key = row.at("key").get<std::string>();
        const auto found = items_.find(key);
        unequal = unequal
            || row.at("revision").get<std::uint64_t>()
                != (found == items_.end() ? 0 : found->second.revision);
        if (found != items_.end())
            current.push_back(itemJson(key, found->second));
    }
    if (unequal)
        return { 412, Json { { "items", current } }.dump() };
    for (const auto& entry : call.value("puts", Json::array())) {
        const auto key = entry.at("key").get<std::string>();
        if (key.starts_with("op/") || key.starts_with("servers/"))
            return { 403, "{}" };
        if (const auto lease = entry.value("lease", std::uint64_t { 0 });
            lease != 0 && !leases_.contains(lease))
            return { 404, "{}" };
    }
    ++revision_;
    for (const auto& entry : call.value("puts", Json::array()))
        write(entry.at("key"), fromBase64(entry.at("value").get<std::string>()),
            entry.value("lease", std::uint64_t { 0 }), revision_);
    for (const auto& key : call.value("delete", Json::array()))
        erase(key, revision_);
    return { 200, Json { { "revision", revision_ } }.dump() };
}

Store::Answer Store::grantLease(const std::string& body)
{
    const Milliseconds timeToLive(Json::parse(body).at("ttlMs").get<std::int64_t>());
    const std::lock_guard lock(mutex_);
    leases_[++lastLease_] = { timeToLive, Clock::now() + timeToLive };
    return { 200, Json { { "lease", lastLease_ }, { "ttlMs", timeToLive.count() } }.dump() };
}

Store::Answer Store::renewLease(std::uint64_t id)
{
    const std::lock_guard lock(mutex_);
    expireLeases();
    const auto found = leases_.find(id);
    if (found == leases_.end())
        return { 404, "{}" };
    found->second.endsAt = Clock::now() + found->second.timeToLive;
    return { 200, Json { { "lease", id }, { "ttlMs", found->second.timeToLive.count() } }.dump() };
}

Store::Answer Store::endLease(std::uint64_t id)
{
    const std::lock_guard lock(mutex_);
    leases_.erase(id);
    eraseKeysOf(id);
    return { 200, "{}" };
}

} // namespace review
