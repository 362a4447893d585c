#pragma once

#include <ostream>
#include <string>
#include <string_view>

namespace banyancroft {

/** What went wrong, by the remedy it calls for. */
enum class ErrorKind {
    None,
    /** A setting, configuration document or statement is wrong; correct the input. */
    InvalidInput,
    /** A message of a peer, upstream or the store does not follow its protocol. */
    MalformedMessage,
    /** Another writer changed the value first; read it again and decide anew. */
    Conflict,
    /** Nothing answered in time; a write may have taken effect. */
    TimedOut,
    /** The connection could not be made or broke; a write may have taken effect. */
    Unavailable,
    NotFound,
    /** The caller lacks the credential for this command. */
    Forbidden,
    /** A limit of this daemon was reached; try again later or at another daemon. */
    Overloaded,
    Internal,
};

std::string_view toString(ErrorKind kind);

/**
 * The last reason of a failed call. Functions that can fail return an empty std::optional and fill the
 * Error that the caller passed:
 *
 *     Error reason;
 *     auto document = config::parseDocument(text, reason);
 *     if (!document)
 *         log(reason.message, reason.remedy);
 */
struct Error {
    ErrorKind kind = ErrorKind::None;
    /** What happened and where. */
    std::string message;
    /** What the reader can do about it. */
    std::string remedy;

    explicit operator bool() const { return kind != ErrorKind::None; }
};

/** Prints "kind: message; remedy". */
std::ostream& operator<<(std::ostream& out, const Error& error);
std::string toString(const Error& error);

} // namespace banyancroft
