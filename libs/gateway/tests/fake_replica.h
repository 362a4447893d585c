#pragma once

#include "http/message_reader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace banyancroft::gateway {

/** Scripted reaction of a fake replica to a request. */
struct FakeResponse {
    /** Bytes to write; if empty, the request stays unanswered. */
    std::string bytes;
    /** Closes the connection after the bytes. */
    bool close = false;
};

/** Replica on the loopback interface with scripted responses. Runs on the test's io_context. */
class FakeReplica {
public:
    using Script = std::function<FakeResponse(const http::RequestHead&, const std::string& body)>;

    FakeReplica(boost::asio::io_context& ioContext, std::string name, Script script)
        : acceptor_(ioContext, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , name_(std::move(name))
        , script_(std::move(script))
    {
        accept();
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    const std::string& name() const { return name_; }
    /** Number of complete requests received. */
    int receivedRequests() const { return receivedRequests_; }
    /** Number of connections that the gateway closed while a request was unanswered. */
    int abandonedRequests() const { return abandonedRequests_; }
    /** Number, from 1, of the connection of the request that the script responds to. */
    int currentConnection() const { return currentConnection_; }
    int openConnections() const { return openConnections_; }
    /** Deadline header fields of the received requests. */
    const std::vector<std::string>& deadlines() const { return deadlines_; }

private:
    struct Connection {
        Connection(boost::asio::ip::tcp::socket accepted, int connectionNumber)
            : socket(std::move(accepted))
            , number(connectionNumber)
        {
        }

        boost::asio::ip::tcp::socket socket;
        const int number;
        http::MessageReader reader { http::MessageReader::Kind::Request, {} };
        std::array<char, 4096> chunk {};
        std::string readBuffer;
        bool unanswered = false;
    };

    void accept()
    {
        acceptor_.async_accept([this](const auto& failure, boost::asio::ip::tcp::socket socket) {
            if (failure)
                return;
            ++openConnections_;
            read(std::make_shared<Connection>(std::move(socket), ++acceptedConnections_));
            accept();
        });
    }

    void read(const std::shared_ptr<Connection>& connection)
    {
        connection->socket.async_read_some(boost::asio::buffer(connection->chunk),
            [this, connection](const auto& failure, std::size_t count) {
                if (failure) {
                    --openConnections_;
                    abandonedRequests_ += connection->unanswered;
                    return;
                }
                connection->readBuffer.append(connection->chunk.data(), count);
                std::size_t consumed = 0;
                const auto state = connection->reader.read(connection->readBuffer, consumed);
                connection->readBuffer.erase(0, consumed);
                if (state == http::ReadState::Complete)
                    respond(connection);
                if (connection->socket.is_open()) {
                    read(connection);
                } else {
                    --openConnections_;
                }
            });
    }

    void respond(const std::shared_ptr<Connection>& connection)
    {
        ++receivedRequests_;
        currentConnection_ = connection->number;
        const auto& head = connection->reader.request();
        deadlines_.emplace_back(head.fields.find("Deadline").value_or(""));
        const auto response = script_(head, connection->reader.body());
        connection->reader.begin();
        connection->unanswered = response.bytes.empty();
        boost::system::error_code ignored;
        boost::asio::write(connection->socket, boost::asio::buffer(response.bytes), ignored);
        if (response.close)
            connection->socket.close(ignored);
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    std::string name_;
    Script script_;
    int receivedRequests_ = 0;
    int abandonedRequests_ = 0;
    int acceptedConnections_ = 0;
    int openConnections_ = 0;
    int currentConnection_ = 0;
    std::vector<std::string> deadlines_;
};

} // namespace banyancroft::gateway
