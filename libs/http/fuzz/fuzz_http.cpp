#include "http/message_reader.h"
#include "http/message_writer.h"

#include <cstdint>
#include <cstdlib>
#include <string>

namespace {

using namespace banyancroft::http;

struct Outcome {
    ReadState state = ReadState::Incomplete;
    std::size_t consumed = 0;
    std::string body;
};

Outcome readInPieces(MessageReader& reader, std::string_view bytes, std::size_t piece)
{
    Outcome outcome;
    std::string unread;
    for (std::size_t offset = 0; offset < bytes.size() && outcome.state == ReadState::Incomplete;
         offset += piece) {
        unread.append(bytes.substr(offset, piece));
        std::size_t consumed = 0;
        outcome.state = reader.read(unread, consumed);
        unread.erase(0, consumed);
        outcome.consumed += consumed;
    }
    outcome.body = reader.body();
    return outcome;
}

} // namespace

// The result must not depend on how the bytes are split, and a forwarded request must parse to the same
// request.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size < 2)
        return 0;
    const auto kind = data[0] % 2 == 0 ? MessageReader::Kind::Request : MessageReader::Kind::Response;
    const std::size_t piece = data[1] % 32 + 1;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 2, size - 2);
    const ReadLimits limits { 1024, 2048 };
    MessageReader wholeReader(kind, limits);
    const auto whole = readInPieces(wholeReader, bytes, bytes.size() + 1);
    MessageReader piecesReader(kind, limits);
    const auto pieces = readInPieces(piecesReader, bytes, piece);
    const bool complete = whole.state == ReadState::Complete;
    if (complete != (pieces.state == ReadState::Complete))
        std::abort();
    if (!complete)
        return 0;
    if (whole.body != pieces.body)
        std::abort();
    if (kind == MessageReader::Kind::Response)
        return 0;
    const auto& head = wholeReader.request();
    const auto text = serialiseRequest(head.method, head.target, head.fields, {}, wholeReader.body());
    MessageReader forwardedReader(kind, { 64 * 1024, 64 * 1024 });
    const auto forwarded = readInPieces(forwardedReader, text, text.size() + 1);
    if (forwarded.state != ReadState::Complete || forwarded.consumed != text.size()
        || forwarded.body != whole.body)
        std::abort();
    if (forwardedReader.request().method != head.method || forwardedReader.request().target != head.target)
        std::abort();
    return 0;
}
