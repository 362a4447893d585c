#include "query/parser.h"

#include <cstdint>
#include <cstdlib>

// Any text is a statement or an error with a place; a statement survives being written and read again.
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
    // The normal form may be longer than the statement, and longer than the limit.
    if (normalised.size() <= query::maxStatementBytes
        && query::parseStatement(normalised, reason) != statement)
        std::abort();
    return 0;
}
