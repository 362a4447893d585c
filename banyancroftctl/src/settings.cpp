#include "ctl/settings.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace banyancroft::ctl {

namespace {

constexpr Duration maxTimeout = std::chrono::minutes(10);

Error invalidFlag(const char* flag, const std::string& value, const char* remedy)
{
    return { ErrorKind::InvalidInput, std::string(flag) + ": \"" + value + "\" is not allowed", remedy };
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

bool parseEndpoint(const std::string& text, Settings& settings)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    std::string address = text.substr(0, colon);
    if (address.starts_with('[') && address.ends_with(']'))
        address = address.substr(1, address.size() - 2);
    boost::system::error_code error;
    boost::asio::ip::make_address(address, error);
    const auto port = parseNumber(std::string_view(text).substr(colon + 1));
    if (error || !port || *port == 0 || *port > 65'535)
        return false;
    settings.address = address;
    settings.port = static_cast<std::uint16_t>(*port);
    return true;
}

std::optional<Duration> parseTimeout(std::string_view text)
{
    const std::size_t digitCount = std::min(text.find_first_not_of("0123456789"), text.size());
    const auto number = parseNumber(text.substr(0, digitCount));
    const std::string_view unit = text.substr(digitCount);
    if (!number || *number == 0 || *number > 1'000'000 || (unit != "ms" && unit != "s"))
        return std::nullopt;
    const Duration timeout = unit == "s" ? Duration(std::chrono::seconds(*number))
                                         : Duration(std::chrono::milliseconds(*number));
    return timeout > maxTimeout ? std::nullopt : std::optional(timeout);
}

} // namespace

std::optional<Settings> checkSettings(const RawSettings& raw, Error& reason)
{
    reason = {};
    Settings settings;
    const auto timeout = parseTimeout(raw.timeout);
    const bool tokenIsPrintable = std::all_of(raw.token.begin(), raw.token.end(),
        [](char character) { return character > ' ' && character <= '~'; });
    if (!parseEndpoint(raw.daemon, settings)) {
        reason = invalidFlag("--daemon", raw.daemon, "give an IP address and port, such as 127.0.0.1:8080");
    } else if (!timeout) {
        reason = invalidFlag("--timeout", raw.timeout, "give a duration up to 600s, such as 500ms or 10s");
    } else if (raw.format != "table" && raw.format != "json") {
        reason = invalidFlag("--format", raw.format, "give table or json");
    } else if (!tokenIsPrintable) {
        // The token is secret, so the message does not show it.
        reason = invalidFlag("--token", "…", "give printable ASCII characters without spaces");
    }
    if (reason)
        return std::nullopt;
    settings.token = raw.token;
    settings.timeout = *timeout;
    settings.format = raw.format == "json" ? Format::Json : Format::Table;
    return settings;
}

} // namespace banyancroft::ctl
