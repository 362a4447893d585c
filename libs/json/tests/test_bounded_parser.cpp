#include "json/bounded_parser.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <stdexcept>
#include <string>

using namespace banyancroft;
using Json = nlohmann::json;

namespace {

std::string nested(std::size_t depth, bool closed)
{
    return std::string(depth, '[') + (closed ? std::string(depth, ']') : "");
}

/** MessagePack of an array that holds one array, and so on. */
std::string nestedMessagePack(std::size_t depth) { return std::string(depth, '\x91') + '\xc0'; }

std::string failureOf(const std::string& text)
{
    try {
        json::parseJson(text);
    } catch (const std::invalid_argument& error) {
        return error.what();
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_CASE(documentsAreParsedAsByTheLibrary)
{
    const std::array<std::string, 9> texts { "null", "true", "-7", "18446744073709551615", "1.5e3",
        "\"a\\u00e9\"", "[]", R"({"a":[1,{"b":[[]],"c":{}},"x"],"d":null,"a":2})",
        R"([{"k":[1,2,[3,[4]]]},{},[],"",0])" };
    for (const auto& text : texts) {
        const auto expected = Json::parse(text);
        BOOST_TEST((json::parseJson(text) == expected), text);
        std::string bytes;
        Json::to_msgpack(expected, bytes);
        BOOST_TEST((json::parseMessagePack(bytes) == expected), text);
    }
    Json binary = Json::binary({ 1, 2, 255 });
    std::string bytes;
    Json::to_msgpack(binary, bytes);
    BOOST_TEST((json::parseMessagePack(bytes) == binary));
}

// Guards against a document of another writer that ends the process, by its stack or by its memory.
BOOST_AUTO_TEST_CASE(nestingIsLimited)
{
    BOOST_TEST(json::parseJson(nested(json::maxDepth, true)).is_array());
    BOOST_TEST(json::parseMessagePack(nestedMessagePack(json::maxDepth)).is_array());
    for (const std::size_t depth : { json::maxDepth + 1, std::size_t { 1'000'000 } }) {
        for (const bool closed : { true, false })
            BOOST_TEST(failureOf(nested(depth, closed)).find("nested") != std::string::npos);
        BOOST_CHECK_THROW(json::parseMessagePack(nestedMessagePack(depth)), std::invalid_argument);
        std::string objects;
        for (std::size_t i = 0; i < depth; ++i)
            objects += "{\"a\":";
        BOOST_TEST(failureOf(objects).find("nested") != std::string::npos);
    }
}

BOOST_AUTO_TEST_CASE(numberOfValuesIsLimited)
{
    // An array of 2^32 - 1 elements, of which those that are there are empty arrays.
    BOOST_CHECK_THROW(
        json::parseMessagePack("\xdd\xff\xff\xff\xff" + std::string(2 * json::maxValues, '\x90')),
        std::invalid_argument);
}

BOOST_AUTO_TEST_CASE(otherTextsAreErrorsWithShortMessages)
{
    const std::array<std::string, 8> texts { "", "{", "[1,", "nul", "\xff\xfe", "[1e999]", "1 2",
        "\"" + std::string(1'000'000, 'x') };
    for (const auto& text : texts) {
        const auto failure = failureOf(text);
        BOOST_TEST(!failure.empty());
        BOOST_TEST(failure.size() < 300U);
    }
    BOOST_CHECK_THROW(json::parseMessagePack(""), std::invalid_argument);
    BOOST_CHECK_THROW(json::parseMessagePack("\xc0\xc0"), std::invalid_argument);
}

// Messages become log lines, and documents hold keys of customers. Guards against a message that quotes a
// part of the text.
BOOST_AUTO_TEST_CASE(messagesDoNotQuoteTheText)
{
    for (const std::string text : { "[\"secret", "[\"secret\xff\"]", "[secret]", "[\"a\" \"secret\"]",
             "{\"secret", "[\"secret\n\"]", "[123456e999]" }) {
        const auto failure = failureOf(text);
        BOOST_TEST(failure.find("position") != std::string::npos, failure);
        for (const std::string quotation : { "last read", "secret", "1234" })
            BOOST_TEST(failure.find(quotation) == std::string::npos, failure);
    }
}
