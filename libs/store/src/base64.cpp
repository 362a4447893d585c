#include "store/base64.h"

#include <array>
#include <cstdint>

namespace banyancroft::store {

namespace {

constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::uint8_t invalid = 0xff;

constexpr std::array<std::uint8_t, 256> makeDecodeTable()
{
    std::array<std::uint8_t, 256> table {};
    for (auto& entry : table)
        entry = invalid;
    for (std::size_t index = 0; index < alphabet.size(); ++index)
        table[static_cast<unsigned char>(alphabet[index])] = static_cast<std::uint8_t>(index);
    return table;
}

constexpr auto decodeTable = makeDecodeTable();

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        const auto count = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t index = 0; index < 3; ++index)
            group = group << 8 | (index < count ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        for (std::size_t index = 0; index < 4; ++index)
            text.push_back(index <= count ? alphabet[group >> (18 - 6 * index) & 63] : '=');
    }
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    std::string bytes;
    bytes.reserve(text.size() / 4 * 3);
    for (std::size_t at = 0; at < text.size(); at += 4) {
        const auto pads = at + 4 == text.size() ? padding : 0;
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 4; ++index) {
            const auto value = index >= 4 - pads ? std::uint8_t { 0 }
                                                 : decodeTable[static_cast<unsigned char>(text[at + index])];
            if (value == invalid)
                return std::nullopt;
            group = group << 6 | value;
        }
        for (std::size_t index = 0; index < 3 - pads; ++index)
            bytes.push_back(static_cast<char>(group >> (16 - 8 * index) & 0xff));
    }
    return bytes;
}

} // namespace banyancroft::store
