#include "daemon/settings.h"

#include "peer_network.h"

#include <charconv>

namespace banyancroft::daemon {

namespace {

constexpr unsigned maxTrafficThreads = 64;
constexpr std::size_t maxNameLength = 128;

// Names become parts of store keys and log lines.
bool isName(std::string_view text)
{
    if (text.empty() || text.size() > maxNameLength)
        return false;
    return text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-")
        == std::string_view::npos;
}

class Checker {
public:
    explicit Checker(Error& reason)
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

    void address(std::string_view flag, const std::string& value)
    {
        require(
            parseEndpoint(value).has_value(), flag, value, "give an IP address and port, as 127.0.0.1:8080");
    }

    Duration duration(std::string_view flag, const std::string& value, Duration least, Duration most)
    {
        const auto parsed = parseDuration(value);
        const bool inRange = parsed && *parsed >= least && *parsed <= most;
        require(inRange, flag, value,
            "give a duration with unit from " + std::to_string(toMicros(least) / 1000) + "ms to "
                + std::to_string(toMicros(most) / 1000) + "ms, as 500ms or 15s");
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
    // A day is far beyond any setting and keeps the multiplication below from overflowing.
    constexpr std::int64_t mostCount = 86'400'000;
    if (parsed.ec != std::errc() || count < 0 || count > mostCount)
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
    Checker check(reason);
    Settings settings;
    constexpr std::string_view nameRemedy
        = "give a name of letters, digits, '.', '_' and '-' of at most 128 characters";
    check.require(isName(raw.vm), "vm", raw.vm, nameRemedy);
    check.require(isName(raw.zone), "zone", raw.zone, nameRemedy);
    check.address("listen", raw.listen);
    check.address("peer-listen", raw.peerListen);
    if (!raw.peerAddress.empty())
        check.address("peer-address", raw.peerAddress);
    check.address("store", raw.store);
    if (!raw.storeSource.empty())
        check.require(parseEndpoint(raw.storeSource + ":0").has_value(), "store-source", raw.storeSource,
            "give an IP address of this VM");
    settings.seeds = splitList(raw.seeds);
    for (const auto& seed : settings.seeds)
        check.address("seeds", seed);
    // Shorter leases lapse between two renewals on a busy VM; longer ones delay every take-over.
    settings.lease = check.duration("lease", raw.lease, seconds(1), seconds(300));
    settings.promise = check.duration("promise", raw.promise, milliseconds(200), seconds(30));
    settings.heartbeat = check.duration("heartbeat", raw.heartbeat, milliseconds(50), seconds(10));
    settings.stopLimit = check.duration("stop-limit", raw.stopLimit, milliseconds(100), seconds(3600));
    settings.lameDuck = check.duration("lame-duck", raw.lameDuck, milliseconds(0), seconds(60));
    unsigned threads = 0;
    const char* end = raw.trafficThreads.data() + raw.trafficThreads.size();
    const auto parsed = std::from_chars(raw.trafficThreads.data(), end, threads);
    check.require(
        parsed.ec == std::errc() && parsed.ptr == end && threads >= 1 && threads <= maxTrafficThreads,
        "traffic-threads", raw.trafficThreads, "give a number from 1 to 64");
    if (check.failed())
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
