#include "claims/claims.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <array>

namespace banyancroft::claims {

namespace {

constexpr std::array<std::string_view, 4> stateNames { "pending", "done", "unknown", "released" };

std::optional<ClaimState> stateFromString(std::string_view text)
{
    for (std::size_t i = 0; i < stateNames.size(); ++i) {
        if (stateNames[i] == text)
            return static_cast<ClaimState>(i);
    }
    return std::nullopt;
}

} // namespace

std::string_view toString(ClaimState state) { return stateNames.at(static_cast<std::size_t>(state)); }

std::string toJson(const ClaimRecord& record)
{
    nlohmann::ordered_json json { { "nonce", record.nonce }, { "state", toString(record.state) },
        { "fingerprint", record.fingerprint }, { "result", record.result } };
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::optional<ClaimRecord> parseClaimRecord(std::string_view text, Error& reason)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    auto field = [&json](const char* name) -> std::optional<std::string> {
        auto position = json.find(name);
        if (position == json.end() || !position->is_string())
            return std::nullopt;
        return position->get<std::string>();
    };
    if (json.is_object()) {
        auto nonce = field("nonce");
        auto stateText = field("state");
        auto fingerprint = field("fingerprint");
        auto result = field("result");
        auto state = stateText ? stateFromString(*stateText) : std::nullopt;
        if (nonce && state && fingerprint && result)
            return ClaimRecord { *nonce, *state, *fingerprint, *result };
    }
    reason = { ErrorKind::MalformedMessage,
        "claim record at the store is not a JSON object with the text fields nonce, state, fingerprint and "
        "result",
        "inspect the key at the store; the request is treated as possibly run" };
    return std::nullopt;
}

std::string fingerprintOf(std::string_view operation, std::string_view payload)
{
    std::string text(operation);
    text.push_back('\0');
    text.append(payload);
    const XXH128_hash_t hash = XXH3_128bits(text.data(), text.size());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    for (std::uint64_t half : { hash.high64, hash.low64 }) {
        for (int shift = 60; shift >= 0; shift -= 4)
            out.push_back(digits[(half >> shift) & 0xf]);
    }
    return out;
}

} // namespace banyancroft::claims
