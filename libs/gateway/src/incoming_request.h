#pragma once

#include "base/time.h"
#include "caller_connection.h"
#include "http/message_reader.h"
#include "http/message_writer.h"

#include <functional>
#include <string>

namespace banyancroft::gateway {

/** A request to be served, from a caller of this VM or from another VM that hands it over. */
struct IncomingRequest {
    /** Takes the response; `close` asks the caller to open a new connection for its next request. */
    std::function<void(const http::Response&, bool close)> respond;
    /** Sets the handler for a caller that leaves before the response. */
    std::function<void(std::function<void()>)> onDisconnect;
    const http::RequestHead& head;
    const std::string& body;
    /** Arrival time of the first byte at the VM that the caller is connected to. */
    TimePoint arrivedAt {};
    /** First request on the caller's connection, so the caller also waited for the handshake. */
    bool openedConnection = false;
    /** Time that the response takes to the VM that the caller is connected to. */
    Duration returnDelay {};
};

inline IncomingRequest incomingRequest(const CallerRequest& request)
{
    const auto& connection = request.connection;
    return { [connection](
                 const http::Response& response, bool close) { connection->respond(response, close); },
        [connection](std::function<void()> handler) { connection->onDisconnect(std::move(handler)); },
        request.head, request.body, request.arrivedAt, request.isFirstOnConnection, Duration::zero() };
}

} // namespace banyancroft::gateway
