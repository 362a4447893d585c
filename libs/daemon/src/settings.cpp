#include "daemon/settings.h"

#include "peer_network.h"

#include <charconv>

namespace banyancroft::daemon {

namespace {

constexpr unsigned maxTrafficThreads = 64;
constexpr std::size_t maxNameLength = 128;

// Names become parts of store keys and log lines.
bool isValidName(std::string_view text)
{
    if (text.empty() || text.size() > maxNameLength)
        return false;
    return text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-")
        == std::string_view::npos;
}

class SettingsChecker {
public:
    explicit SettingsChecker(Error& reason)
        : reason_(reason)
    {
    }

    bool failed() const { return static_cast<bool>(reason_); }

    void require(bool condition, std::string_view flag, std::string_view value, std::string_view remedy)
    {
        if (condition || failed())
            return;
        reason_ = { ErrorKind::InvalidInput,
            "--" + std::string(flag) + ": \"" + std::string(value) + "\" is not allowed",
            std::string(remedy) };
    }

    void checkAddress(std::string_view flag, const std::string& value)
    {
        require(parseEndpoint(value).has_value(), flag, value,
            "give an IP address and port, for example 127.0.0.1:8080");
    }

    Duration checkDuration(std::string_view flag, const std::string& value, Duration min, Duration max)
    {
        const auto parsed = parseDuration(value);
        const bool inRange = parsed && *parsed >= min && *parsed <= max;
        require(inRange, flag, value,
            "give a duration with unit from " + std::to_string(toMicros(min) / 1000) + "ms to "
                + std::to_string(toMicros(max) / 1000) + "ms, for example 500ms or 15s");
        return parsed.value_or(Duration::zero());
    }

private:
    Error& reason_;
};

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const std::size_t comma = std::min(text.find(','), text.size());
        if (comma > 0)
            parts.emplace_back(text.substr(0, comma));
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return parts;
}

} // namespace

std::optional<Duration> parseDuration(std::string_view text)
{
    std::int64_t count = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, count);
    // One day in milliseconds: far above any valid setting, and small enough for a conversion from minutes.
    constexpr std::int64_t maxCount = 86'400'000;
    if (parsed.ec != std::errc() || count < 0 || count > maxCount)
        return std::nullopt;
    const std::string_view unit(parsed.ptr, static_cast<std::size_t>(end - parsed.ptr));
    if (unit == "us")
        return std::chrono::microseconds(count);
    if (unit == "ms")
        return std::chrono::milliseconds(count);
    if (unit == "s")
        return std::chrono::seconds(count);
    if (unit == "m")
        return std::chrono::minutes(count);
    return std::nullopt;
}

std::optional<Settings> checkSettings(const RawSettings& raw, Error& reason)
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    reason = {};
    SettingsChecker checker(reason);
    Settings settings;
    constexpr std::string_view nameRemedy
        = "give a name of letters, digits, '.', '_' and '-' of at most 128 characters";
    checker.require(isValidName(raw.vm), "vm", raw.vm, nameRemedy);
    checker.require(isValidName(raw.zone), "zone", raw.zone, nameRemedy);
    checker.checkAddress("listen", raw.listen);
    checker.checkAddress("peer-listen", raw.peerListen);
    if (!raw.peerAddress.empty())
        checker.checkAddress("peer-address", raw.peerAddress);
    checker.checkAddress("store", raw.store);
    if (!raw.storeSource.empty())
        checker.require(parseEndpoint(raw.storeSource + ":0").has_value(), "store-source", raw.storeSource,
            "give an IP address of this VM");
    settings.seeds = splitList(raw.seeds);
    for (const auto& seed : settings.seeds)
        checker.checkAddress("seeds", seed);
    // A shorter lease can expire between two renewals on a busy VM; a longer one delays every takeover.
    settings.lease = checker.checkDuration("lease", raw.lease, seconds(1), seconds(300));
    settings.promise = checker.checkDuration("promise", raw.promise, milliseconds(200), seconds(30));
    settings.heartbeat = checker.checkDuration("heartbeat", raw.heartbeat, milliseconds(50), seconds(10));
    settings.stopLimit = checker.checkDuration("stop-limit", raw.stopLimit, milliseconds(100), seconds(3600));
    settings.lameDuck = checker.checkDuration("lame-duck", raw.lameDuck, milliseconds(0), seconds(60));
    unsigned threads = 0;
    const char* end = raw.trafficThreads.data() + raw.trafficThreads.size();
    const auto parsed = std::from_chars(raw.trafficThreads.data(), end, threads);
    checker.require(
        parsed.ec == std::errc() && parsed.ptr == end && threads >= 1 && threads <= maxTrafficThreads,
        "traffic-threads", raw.trafficThreads, "give a number from 1 to 64");
    if (checker.failed())
        return std::nullopt;
    settings.vm = VmId(raw.vm);
    settings.zone = AvailabilityZone(raw.zone);
    settings.listen = raw.listen;
    settings.peerListen = raw.peerListen;
    settings.peerAddress = raw.peerAddress;
    settings.store = raw.store;
    settings.storeSource = raw.storeSource;
    settings.operatorToken = raw.operatorToken;
    settings.trafficThreads = threads;
    settings.testDirect = raw.testDirect;
    settings.testNoHedge = raw.testNoHedge;
    return settings;
}

} // namespace banyancroft::daemon
