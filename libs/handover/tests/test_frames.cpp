#include "handover/frames.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace banyancroft;
using namespace banyancroft::handover;
using namespace std::chrono_literals;

namespace {

std::vector<Frame> allFrames()
{
    http::Response response;
    response.status = 503;
    response.fields = { { "Retry-After", "0.2" }, { "X", "" } };
    response.body = std::string("\0\xff body", 7);
    Status status { true, 1500ms, 0.25 };
    return { Offer { 7, 12, "GET / HTTP/1.1\r\n\r\n" }, Acceptance { 7, 13 },
        Decline { 7, DeclineReason::OlderConfiguration, 11 }, Begin { 7, 12ms, 2ms, true },
        Answer { 7, response }, Cancel { 7 }, status, Status {}, StatusQuery {},
        UpstreamLeaving { UpstreamId("r-1"), 1788649863330 } };
}

} // namespace

BOOST_AUTO_TEST_CASE(framesSurviveAnySplitOfTheirBytes)
{
    std::string bytes;
    for (const auto& frame : allFrames())
        bytes.append(encode(frame));
    for (std::size_t step = 1; step < 9; ++step) {
        FrameReader reader(1024);
        std::vector<Frame> read;
        Error reason;
        for (std::size_t at = 0; at < bytes.size(); at += step) {
            reader.append(std::string_view(bytes).substr(at, step));
            while (auto frame = reader.next(reason))
                read.push_back(std::move(*frame));
        }
        BOOST_TEST(!reason);
        BOOST_REQUIRE(read.size() == allFrames().size());
        for (std::size_t i = 0; i < read.size(); ++i)
            BOOST_TEST(encode(read[i]) == encode(allFrames()[i]));
    }
    FrameReader reader(1024);
    reader.append(encode(allFrames()[4]));
    Error reason;
    const auto answer = std::get<Answer>(*reader.next(reason));
    BOOST_TEST(answer.response.status == 503U);
    BOOST_TEST(answer.response.fields.at(0).second == "0.2");
    BOOST_TEST(answer.response.body.size() == 7U);
}

BOOST_AUTO_TEST_CASE(framesAboveTheLimitAndOtherBytesAreErrors)
{
    Error reason;
    FrameReader small(10);
    // Already the length is rejected, so that no more than the limit is ever held.
    small.append(encode(Offer { 1, 1, std::string(100, 'x') }).substr(0, 4));
    BOOST_TEST(!small.next(reason));
    BOOST_TEST((reason.kind == ErrorKind::MalformedMessage));

    FrameReader http(1024);
    reason = {};
    http.append("HTTP/1.1 200 OK\r\n\r\n");
    BOOST_TEST(!http.next(reason));
    BOOST_TEST((reason.kind == ErrorKind::MalformedMessage));
}

// Guards against a frame within the limit on its size that ends the process by its nesting.
BOOST_AUTO_TEST_CASE(deeplyNestedFrameIsAnError)
{
    constexpr std::size_t bytes = 4 * 1024 * 1024;
    FrameReader reader(bytes);
    reader.append(std::string("\x00\x40\x00\x00", 4) + std::string(bytes, '\x91'));
    Error reason;
    BOOST_TEST(!reader.next(reason));
    BOOST_TEST((reason.kind == ErrorKind::MalformedMessage));
    BOOST_TEST(reason.message.find("nested") != std::string::npos);
}

// Any byte of a frame may be wrong; the reader must report an error or a frame, and never throw.
BOOST_AUTO_TEST_CASE(damagedFramesNeverThrow)
{
    std::mt19937 random(20261204);
    for (const auto& frame : allFrames()) {
        const auto bytes = encode(frame);
        for (int round = 0; round < 2000; ++round) {
            auto damaged = bytes;
            for (int changes = 0; changes < 1 + round % 3; ++changes)
                damaged[4 + random() % (damaged.size() - 4)] = static_cast<char>(random());
            FrameReader reader(4096);
            reader.append(damaged);
            Error reason;
            const auto read = reader.next(reason);
            BOOST_REQUIRE((read || reason));
        }
    }
}

// Guards against a discarded frame after which the next one is read from the wrong place, or is charged to
// another request.
BOOST_AUTO_TEST_CASE(frameAfterASkippedOneIsRead)
{
    for (const std::uint64_t number :
        { std::uint64_t { 5 }, std::uint64_t { 200 }, std::uint64_t { 70'000 }, ~std::uint64_t { 0 } }) {
        const auto bytes = encode(Offer { number, 1, std::string(50'000, 'x') });
        FrameReader reader(100'000);
        Error reason;
        reader.append(std::string_view(bytes).substr(0, 10));
        BOOST_TEST(!reader.next(reason).has_value());
        BOOST_TEST(reader.incompleteBytes() == bytes.size());
        BOOST_TEST(!reader.skipIncomplete().has_value());
        reader.append(std::string_view(bytes).substr(10, 5'000));
        BOOST_TEST(!reader.next(reason).has_value());
        const auto skipped = reader.skipIncomplete();
        BOOST_REQUIRE(skipped.has_value());
        BOOST_TEST(skipped->isOffer);
        BOOST_TEST(!skipped->isAnswer);
        BOOST_TEST(skipped->number == number);
        BOOST_TEST(reader.bufferedBytes() == 0U);
        reader.append(std::string_view(bytes).substr(5'010));
        reader.append(encode(Cancel { 7 }));
        const auto next = reader.next(reason);
        BOOST_REQUIRE(next.has_value());
        BOOST_TEST(std::get<Cancel>(*next).number == 7U);
    }
}
