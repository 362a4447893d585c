#include "wire/codec.h"

#include <cstdint>
#include <cstdlib>

// Decoding gives a message or a typed error for any input, and a decoded message re-encodes to the same
// frame.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace banyancroft;
    Error reason;
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    const auto message = wire::decode(bytes, reason);
    if (!message) {
        if (!reason)
            std::abort();
        return 0;
    }
    std::string frame;
    wire::appendFrame(*message, frame);
    wire::FrameReader reader;
    reader.append(frame);
    const auto decoded = reader.next(reason);
    if (!decoded || decoded->index() != message->index())
        std::abort();
    std::string reencodedFrame;
    wire::appendFrame(*decoded, reencodedFrame);
    if (reencodedFrame != frame)
        std::abort();
    return 0;
}
