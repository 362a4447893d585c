#include "base/error.h"

#include <sstream>

namespace banyancroft {

std::string_view toString(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::None:
        return "none";
    case ErrorKind::InvalidInput:
        return "invalid_input";
    case ErrorKind::MalformedMessage:
        return "malformed_message";
    case ErrorKind::Conflict:
        return "conflict";
    case ErrorKind::TimedOut:
        return "timed_out";
    case ErrorKind::Unavailable:
        return "unavailable";
    case ErrorKind::NotFound:
        return "not_found";
    case ErrorKind::Forbidden:
        return "forbidden";
    case ErrorKind::Overloaded:
        return "overloaded";
    case ErrorKind::Internal:
        return "internal";
    }
    return "internal";
}

std::ostream& operator<<(std::ostream& out, const Error& error)
{
    out << toString(error.kind) << ": " << error.message;
    if (!error.remedy.empty())
        out << "; " << error.remedy;
    return out;
}

std::string toString(const Error& error)
{
    std::ostringstream out;
    out << error;
    return out.str();
}

} // namespace banyancroft
