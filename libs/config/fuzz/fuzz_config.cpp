#include "config/document_json.h"

#include <cstdint>
#include <cstdlib>

// Every input gives either a document or an error with a remedy, and a document equals its copy after being
// serialised and parsed again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace banyancroft;
    Error reason;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const auto document = config::parseDocument(text, reason);
    if (!document) {
        if (!reason || reason.remedy.empty())
            std::abort();
        return 0;
    }
    if (config::parseDocument(config::toJson(*document), reason) != document)
        std::abort();
    return 0;
}
