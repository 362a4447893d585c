#include "query/parser.h"

#include <cstdint>
#include <cstdlib>

// Every input gives either a statement or an error with a remedy, and a statement equals its copy after being
// formatted and parsed again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace banyancroft;
    Error reason;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const auto statement = query::parseStatement(text, reason);
    if (!statement) {
        if (!reason || reason.remedy.empty())
            std::abort();
        return 0;
    }
    const std::string normalised = query::toString(*statement);
    // The normalised form can be longer than the input and exceed the limit.
    if (normalised.size() <= query::maxStatementBytes
        && query::parseStatement(normalised, reason) != statement)
        std::abort();
    return 0;
}
