#include "client.h"

#include <array>
#include <cstdio>

namespace review {

bool Client::connect()
{
    if (isConnected())
        return true;
    connection_ = Connection::open(front_, Milliseconds(1000));
    return connection_ != nullptr;
}

AttemptEnd Client::send(const std::string& method, const std::string& path, const std::string& attemptId,
    Milliseconds deadline, const std::string& body)
{
    AttemptEnd result;
    result.attemptId = attemptId;
    if (!connect()) {
        result.end = ReadEnd::Closed;
        return result;
    }
    Fields fields { { "Host", host_ }, { "X-Attempt-Id", attemptId },
        { "X-Deadline-Ms", std::to_string(deadline.count()) } };
    if (!body.empty())
        fields.emplace_back("Content-Length", std::to_string(body.size()));
    std::string startLine = method;
    startLine.append(" ").append(path).append(" HTTP/1.1");
    record_.line("client sends " + attemptId);
    result.sentAt = record_.elapsed();
    Message response;
    result.end = connection_->write(serialise(startLine, fields, body))
        ? connection_->read(response, true, deadline)
        : ReadEnd::Closed;
    result.endedAt = record_.elapsed();
    if (result.end == ReadEnd::Complete) {
        result.status = response.status();
        result.stamp = response.field("X-Response-Stamp");
        result.body = response.body;
    }
    record_.line("client got "
        + (result.status != 0 ? std::to_string(result.status) : std::string("no answer")) + " for "
        + attemptId + (result.stamp.empty() ? std::string() : " stamp " + result.stamp));
    if (result.end != ReadEnd::Complete || response.field("Connection") == "close")
        connection_.reset();
    return result;
}

std::string attemptId(unsigned client, unsigned number)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%04x%04x%08x", client, 0xA7U, number);
    return text.data();
}

} // namespace review
