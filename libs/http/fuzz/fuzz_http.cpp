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

Outcome readIn(MessageReader& reader, std::string_view bytes, std::size_t piece)
{
    Outcome outcome;
    std::string inbox;
    for (std::size_t at = 0; at < bytes.size() && outcome.state == ReadState::Incomplete; at += piece) {
        inbox.append(bytes.substr(at, piece));
        std::size_t consumed = 0;
        outcome.state = reader.read(inbox, consumed);
        inbox.erase(0, consumed);
        outcome.consumed += consumed;
    }
    outcome.body = reader.body();
    return outcome;
}

} // namespace

// A message is read alike whatever way its bytes arrive, and a request that is passed on reads the same.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    if (size < 2)
        return 0;
    const auto kind = data[0] % 2 == 0 ? MessageReader::Kind::Request : MessageReader::Kind::Response;
    const std::size_t piece = data[1] % 32 + 1;
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 2, size - 2);
    const ReadLimits limits { 1024, 2048 };
    MessageReader whole(kind, limits);
    const auto once = readIn(whole, bytes, bytes.size() + 1);
    MessageReader pieces(kind, limits);
    const auto parts = readIn(pieces, bytes, piece);
    const bool complete = once.state == ReadState::Complete;
    if (complete != (parts.state == ReadState::Complete))
        std::abort();
    if (!complete)
        return 0;
    if (once.body != parts.body)
        std::abort();
    if (kind == MessageReader::Kind::Response)
        return 0;
    const auto& head = whole.request();
    const auto text = serialiseRequest(head.method, head.target, head.fields, {}, whole.body());
    MessageReader again(kind, { 64 * 1024, 64 * 1024 });
    const auto passed = readIn(again, text, text.size() + 1);
    if (passed.state != ReadState::Complete || passed.consumed != text.size() || passed.body != once.body)
        std::abort();
    if (again.request().method != head.method || again.request().target != head.target)
        std::abort();
    return 0;
}
