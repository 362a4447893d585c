#pragma once

#include <ostream>
#include <string>
#include <string_view>

namespace banyancroft {

/** Category of an error, by the remedy that it requires. */
enum class ErrorKind {
    None,
    /** A setting, configuration document or statement is invalid; the input has to be corrected. */
    InvalidInput,
    /** A message from a peer, an upstream or the store violates the protocol. */
    MalformedMessage,
    /** Another writer changed the value concurrently; read it again and retry. */
    Conflict,
    /** No answer before the deadline; a write may have taken effect. */
    TimedOut,
    /** The connection could not be established or was lost; a write may have taken effect. */
    Unavailable,
    NotFound,
    /** The caller does not have the credential for this command. */
    Forbidden,
    /** A limit of this daemon was reached; try again later or at another daemon. */
    Overloaded,
    Internal,
};

std::string_view toString(ErrorKind kind);

/**
 * Describes why a call failed. Functions that can fail return an empty std::optional and fill the Error that
 * the caller passed:
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
    /** What the user can do about it. */
    std::string remedy;

    explicit operator bool() const { return kind != ErrorKind::None; }
};

/** Prints "kind: message; remedy". */
std::ostream& operator<<(std::ostream& out, const Error& error);
std::string toString(const Error& error);

} // namespace banyancroft
