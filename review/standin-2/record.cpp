#include "record.h"

#include "net.h"

#include <cstdarg>

namespace banyancroft::review2 {

void Record::line(std::string_view text)
{
    const std::lock_guard lock(mutex_);
    if (!file_)
        return;
    std::fprintf(file_, "%9.3f %.*s\n", seconds(), static_cast<int>(text.size()), text.data());
    std::fflush(file_);
}

void Record::say(std::string_view text)
{
    line(text);
    std::printf("%.*s\n", static_cast<int>(text.size()), text.data());
    std::fflush(stdout);
}

std::string format(const char* pattern, ...)
{
    char text[1024];
    va_list arguments;
    va_start(arguments, pattern);
    std::vsnprintf(text, sizeof text, pattern, arguments);
    va_end(arguments);
    return text;
}

} // namespace banyancroft::review2
