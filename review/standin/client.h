#pragma once

#include "net.h"
#include "record.h"

#include <memory>
#include <string>

namespace review {

/** How one attempt of a client ended. */
struct AttemptEnd {
    std::string attemptId;
    /** Zero if the connection ended, or nothing came within the deadline. */
    unsigned status = 0;
    ReadEnd end = ReadEnd::TimedOut;
    std::string stamp;
    std::string body;
    Milliseconds sentAt {};
    Milliseconds endedAt {};
};

/** A client that keeps its connection open for many requests, and respects `Connection: close`. */
class Client {
public:
    Client(Address front, std::string host, Record& record)
        : front_(std::move(front))
        , host_(std::move(host))
        , record_(record)
    {
    }

    bool connect();
    bool isConnected() const { return connection_ && !connection_->isClosedByPeer(); }
    AttemptEnd send(const std::string& method, const std::string& path, const std::string& attemptId,
        Milliseconds deadline, const std::string& body = {});

private:
    const Address front_;
    const std::string host_;
    Record& record_;
    std::unique_ptr<Connection> connection_;
};

/** Attempt id of 16 hexadecimal digits. */
std::string attemptId(unsigned client, unsigned number);

} // namespace review
