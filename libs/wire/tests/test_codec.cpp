#include "wire/codec.h"

#include <boost/test/unit_test.hpp>

using namespace banyancroft;
using namespace banyancroft::wire;

namespace {

SubrequestBatch sampleBatch()
{
    SubrequestBatch batch;
    batch.query = { 7 };
    batch.remainingMicros = 120'000;
    batch.collection = "manifests";
    batch.where = "island = \"Cebu\"";
    batch.index = { 42 };
    batch.items.push_back({ { 9 }, UpstreamId("desk-01-a"), { ShardId("s1"), ShardId("s2") }, true });
    return batch;
}

} // namespace

// A field lost or swapped by the codec would send sub-requests to the wrong upstream.
BOOST_AUTO_TEST_CASE(encodedBatchDecodesToSameFields)
{
    std::string bytes;
    appendFrame(sampleBatch(), bytes);
    FrameReader reader;
    Error reason;
    // Delivered byte by byte, as on a slow network.
    for (char byte : bytes) {
        BOOST_TEST(!reader.next(reason).has_value());
        reader.append(std::string_view(&byte, 1));
    }
    auto message = reader.next(reason);
    BOOST_REQUIRE(message.has_value());
    const auto& batch = std::get<SubrequestBatch>(*message);
    BOOST_TEST(batch.query.value == 7U);
    BOOST_TEST(batch.where == sampleBatch().where);
    BOOST_REQUIRE(batch.items.size() == 1U);
    BOOST_TEST(batch.items[0].shards.size() == 2U);
    BOOST_TEST(batch.items[0].hedge);
    BOOST_TEST(!reader.next(reason).has_value());
    BOOST_TEST(!reason);
}

// Corrupt bytes must give a typed error, not a crash or a message with wrong fields.
BOOST_AUTO_TEST_CASE(truncatedOrCorruptMessageIsRejected)
{
    std::string bytes;
    appendFrame(sampleBatch(), bytes);
    const std::string_view body = std::string_view(bytes).substr(frameHeaderBytes);
    for (std::size_t length = 0; length < body.size(); ++length) {
        Error reason;
        BOOST_TEST(!decode(body.substr(0, length), reason).has_value());
        BOOST_TEST((reason.kind == ErrorKind::MalformedMessage));
    }
    Error reason;
    BOOST_TEST(!decode(std::string(body) + "x", reason).has_value());
    BOOST_TEST(!decode("\x92\x63\xc0", reason).has_value());
}

// A length prefix beyond the limit would otherwise make the reader buffer without bound.
BOOST_AUTO_TEST_CASE(oversizedFrameIsRejectedFromItsHeader)
{
    FrameReader reader;
    reader.append(std::string("\xff\xff\xff\xff", 4));
    Error reason;
    BOOST_TEST(!reader.next(reason).has_value());
    BOOST_TEST((reason.kind == ErrorKind::MalformedMessage));
}
