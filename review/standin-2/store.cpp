#include "store.h"

#include <algorithm>
#include <string_view>

namespace banyancroft::review2 {

namespace {

using nlohmann::json;

constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encoded(std::string_view bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const auto part = bytes.substr(i, 3);
        unsigned bits = 0;
        for (std::size_t j = 0; j < 3; ++j)
            bits = bits << 8U | (j < part.size() ? static_cast<unsigned char>(part[j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text.push_back(j <= part.size() ? alphabet[bits >> (18 - 6 * j) & 63U] : '=');
    }
    return text;
}

std::string decodedText(std::string_view text)
{
    std::string bytes;
    unsigned bits = 0;
    unsigned count = 0;
    for (const char c : text) {
        const auto digit = alphabet.find(c);
        if (digit == std::string_view::npos)
            break;
        bits = bits << 6U | static_cast<unsigned>(digit);
        count += 6;
        if (count >= 8) {
            count -= 8;
            bytes.push_back(static_cast<char>(bits >> count & 255U));
        }
    }
    return bytes;
}

std::string jsonResponse(unsigned status, const json& body)
{
    return response(status, { { "Content-Type", "application/json" } }, body.dump());
}

std::int64_t number(const std::map<std::string, std::string>& query, const std::string& name)
{
    const auto found = query.find(name);
    return found == query.end() || found->second.empty() ? 0 : std::stoll(found->second);
}

std::string text(const std::map<std::string, std::string>& query, const std::string& name)
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

} // namespace

Store::Store(const std::string& ip, std::size_t vms, Record& record)
    : record_(record)
{
    for (std::size_t vm = 0; vm < vms; ++vm) {
        entries_.push_back(std::make_unique<Entry>());
        entries_.back()->listener = std::make_unique<Listener>(
            ip, [this, vm](const std::shared_ptr<Connection>& connection) { serve(vm, connection); });
    }
}

double Store::put(const std::string& key, const json& value)
{
    const std::lock_guard lock(mutex_);
    setItem(key, value.dump(), 0);
    record_.line("store: acknowledges " + key + " = " + value.dump());
    return seconds();
}

double Store::erase(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    eraseItem(key);
    record_.line("store: acknowledges the removal of " + key);
    return seconds();
}

std::vector<std::string> Store::keys(const std::string& prefix) const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> result;
    for (const auto& [key, item] : items_) {
        if (key.starts_with(prefix))
            result.push_back(key);
    }
    return result;
}

void Store::refuse(std::size_t vm, bool refused)
{
    const std::lock_guard lock(mutex_);
    entries_[vm]->isRefused = refused;
    if (refused) {
        for (const auto& connection : entries_[vm]->connections)
            connection->reset();
    }
    record_.line(format("store: %s VM %zu", refused ? "refuses" : "serves", vm));
}

std::size_t Store::idleConnections(std::size_t vm) const
{
    const std::lock_guard lock(mutex_);
    return entries_[vm]->idle;
}

std::size_t Store::callsAtWork(std::size_t vm) const
{
    const std::lock_guard lock(mutex_);
    return entries_[vm]->atWork;
}

double Store::lastAnswer(std::size_t vm, const std::string& path) const
{
    const std::lock_guard lock(mutex_);
    double result = 0;
    for (const auto& [name, at] : entries_[vm]->lastAnswers) {
        if (name.starts_with(path))
            result = std::max(result, at);
    }
    return result;
}

void Store::serve(std::size_t vm, const std::shared_ptr<Connection>& connection)
{
    auto& entry = *entries_[vm];
    {
        const std::lock_guard lock(mutex_);
        entry.connections.insert(connection);
    }
    bool isIdle = false;
    const auto setIdle = [&](bool idle) {
        const std::lock_guard lock(mutex_);
        entry.idle = entry.idle - (isIdle ? 1 : 0) + (idle ? 1 : 0);
        isIdle = idle;
    };
    while (const auto call = connection->read(std::chrono::seconds(60))) {
        setIdle(false);
        bool isRefused = false;
        {
            const std::lock_guard lock(mutex_);
            isRefused = entry.isRefused;
            ++entry.atWork;
        }
        const auto bytes = isRefused ? response(503, {}, "") : answer(*call);
        const bool isWritten = connection->write(bytes);
        record_.line(
            format("store: VM %zu ", vm) + call->startLine.substr(0, 120) + " -> " + bytes.substr(9, 3));
        {
            const std::lock_guard lock(mutex_);
            --entry.atWork;
            entry.lastAnswers[call->path()] = seconds();
        }
        if (!isWritten)
            break;
        setIdle(true);
    }
    setIdle(false);
    const std::lock_guard lock(mutex_);
    entry.connections.erase(connection);
}

std::string Store::answer(const Message& call)
{
    const auto path = call.path();
    if (path == "/-/kv-watch")
        return watch(call);
    const std::lock_guard lock(mutex_);
    expire();
    if (path == "/-/kv-range")
        return range(call);
    if (path == "/-/kv-key") {
        const auto key = text(call.query(), "key");
        const auto found = items_.find(key);
        if (found == items_.end())
            return jsonResponse(404, { { "asOf", revision_ } });
        auto body = itemJson(key, found->second);
        body["asOf"] = revision_;
        return jsonResponse(200, body);
    }
    if (path == "/-/kv-txn")
        return transaction(call);
    if (path == "/-/kv-lease")
        return grant(call);
    const auto slash = path.rfind('/');
    const auto lease = slash + 1 < path.size() ? std::atoll(path.c_str() + slash + 1) : 0;
    const auto found = leases_.find(lease);
    if (path.starts_with("/-/kv-keep/")) {
        if (found == leases_.end())
            return jsonResponse(404, json::object());
        found->second.end = Clock::now() + found->second.duration;
        return jsonResponse(200, { { "lease", lease }, { "ttlMs", found->second.duration.count() } });
    }
    if (path.starts_with("/-/kv-lease-end/")) {
        if (found != leases_.end()) {
            found->second.end = Clock::now();
            expire();
        }
        return jsonResponse(200, json::object());
    }
    return jsonResponse(404, json::object());
}

std::string Store::range(const Message& call)
{
    constexpr std::size_t pageSize = 500;
    const auto query = call.query();
    const auto prefix = text(query, "prefix");
    const auto after = text(query, "after");
    auto page = json::array();
    bool hasMore = false;
    for (const auto& [key, item] : items_) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after))
            continue;
        if (page.size() == pageSize) {
            hasMore = true;
            break;
        }
        page.push_back(itemJson(key, item));
    }
    return jsonResponse(200, { { "items", page }, { "hasMore", hasMore }, { "asOf", revision_ } });
}

std::string Store::watch(const Message& call)
{
    const auto query = call.query();
    const auto prefix = text(query, "prefix");
    const auto after = number(query, "after");
    const auto end = Clock::now() + Milliseconds(number(query, "waitMs"));
    std::unique_lock lock(mutex_);
    while (true) {
        expire();
        auto events = json::array();
        for (const auto& event : history_) {
            if (event.revision > after && event.key.starts_with(prefix))
                events.push_back(event.json);
        }
        if (!events.empty() || Clock::now() >= end)
            return jsonResponse(200, { { "events", events }, { "asOf", revision_ } });
        changed_.wait_until(lock, std::min(end, Clock::now() + Milliseconds(50)));
    }
}

std::string Store::transaction(const Message& call)
{
    const auto body = json::parse(call.body, nullptr, false);
    if (!body.is_object())
        return jsonResponse(400, json::object());
    const auto rows = [&body](const char* name) { return body.value(name, json::array()); };
    bool holds = true;
    auto current = json::array();
    for (const auto& row : rows("expectedRev")) {
        const auto key = row.at("key").get<std::string>();
        const auto found = items_.find(key);
        holds = holds
            && row.at("revision").get<std::int64_t>() == (found == items_.end() ? 0 : found->second.revision);
        if (found != items_.end())
            current.push_back(itemJson(key, found->second));
    }
    if (!holds)
        return jsonResponse(412, { { "items", current }, { "asOf", revision_ } });
    const auto isForeign
        = [](const std::string& key) { return key.starts_with("op/") || key.starts_with("servers/"); };
    for (const auto& row : rows("puts")) {
        const auto lease = row.value("lease", std::int64_t(0));
        if (isForeign(row.at("key").get<std::string>()))
            return jsonResponse(403, json::object());
        if (lease != 0 && !leases_.contains(lease))
            return jsonResponse(404, json::object());
    }
    for (const auto& row : rows("puts"))
        setItem(row.at("key"), decodedText(row.at("value").get<std::string>()),
            row.value("lease", std::int64_t(0)));
    for (const auto& key : rows("delete"))
        eraseItem(key.get<std::string>());
    return jsonResponse(200, { { "revision", revision_ } });
}

std::string Store::grant(const Message& call)
{
    const auto body = json::parse(call.body, nullptr, false);
    const auto duration
        = Milliseconds(std::clamp<std::int64_t>(body.value("ttlMs", std::int64_t(0)), 1000, 600'000));
    const auto lease = nextLease_++;
    leases_[lease] = { duration, Clock::now() + duration };
    return jsonResponse(200, { { "lease", lease }, { "ttlMs", duration.count() } });
}

void Store::setItem(const std::string& key, const std::string& value, std::int64_t lease)
{
    auto& item = items_[key];
    ++revision_;
    item = { value, revision_, item.created == 0 ? revision_ : item.created, lease };
    history_.push_back({ revision_, key, itemJson(key, item) });
    changed_.notify_all();
}

void Store::eraseItem(const std::string& key)
{
    if (items_.erase(key) == 0)
        return;
    ++revision_;
    history_.push_back(
        { revision_, key, { { "key", key }, { "revision", revision_ }, { "tombstone", true } } });
    changed_.notify_all();
}

void Store::expire()
{
    const auto now = Clock::now();
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (lease->second.end > now) {
            ++lease;
            continue;
        }
        std::vector<std::string> ended;
        for (const auto& [key, item] : items_) {
            if (item.lease == lease->first)
                ended.push_back(key);
        }
        for (const auto& key : ended)
            eraseItem(key);
        lease = leases_.erase(lease);
    }
}

json Store::itemJson(const std::string& key, const Item& item)
{
    return { { "key", key }, { "value", encoded(item.value) }, { "revision", item.revision },
        { "createRevision", item.created }, { "lease", item.lease } };
}

} // namespace banyancroft::review2
